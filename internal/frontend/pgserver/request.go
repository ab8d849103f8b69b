package pgserver

import (
	"fmt"
	"time"

	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/pgproto"
	"flaxrelay/internal/sqltext"
	"flaxrelay/internal/stmtstats"
	"flaxrelay/policy"
)

// execution is one run, or one description, of a statement.
type execution struct {
	statement      *statement
	message        *pgproto.Statement // for the engine
	idempotencyKey string
	binds          *sqltext.Binds          // nil without values
	onServed       func(r *pgproto.Result) // continues with the result
}

// forward passes an execution to the dispatcher, which may respond before it returns.
func (c *connection) forward(exec execution) {
	dispatcher := c.server.dispatcher
	class, shapeExecution := c.server.executionClass(exec)
	request := &lifecycle.Request{
		ID: fmt.Sprintf("pg%d", c.processID), Class: class.Name, IdempotencyKey: exec.idempotencyKey, Statement: exec.message,
		Deadline: dispatcher.Now() + c.timeout(class), Client: c,
	}
	c.server.estimate(request, exec, shapeExecution)
	c.request, c.onServed, c.state = request, exec.onServed, stateInFlight
	dispatcher.Accept(request)
}

// Respond continues the message that made the request, and goes on reading.
func (c *connection) Respond(_ *lifecycle.Request, response lifecycle.Response) {
	if c.state != stateInFlight {
		return
	}
	onServed := c.onServed
	c.endRequest()
	result, ok := response.Result.(*pgproto.Result)
	if response.Verdict == lifecycle.VerdictServed && ok {
		onServed(result)
	} else {
		c.sendError(responseError(response))
	}
	c.resume()
}

// endRequest leaves stateInFlight.
func (c *connection) endRequest() {
	c.request, c.onServed, c.state = nil, nil, stateReady
}

// resume reads what the client has sent ahead.
func (c *connection) resume() {
	c.flush()
	c.socket.LimitReadAhead(false)
	if c.state != stateClosing {
		c.socket.Redeliver()
	}
}

// timeout returns how long the client waits for a request of the class.
func (c *connection) timeout(class policy.Class) time.Duration {
	if c.statementTimeout > 0 {
		return c.statementTimeout
	}
	return class.Deadline
}

// executionClass returns the class of an execution. Where its query shape determines the
// class, the estimator's execution is returned too.
func (s *Server) executionClass(exec execution) (policy.Class, *stmtstats.Execution) {
	if exec.message.DescribeOnly {
		// A description runs nothing, whatever its statement would do.
		if class, ok := s.dispatcher.Class(s.options.DefaultClass); ok && class.Effect == policy.Idempotent {
			return class, nil
		}
		return exec.statement.class, nil
	}
	if s.options.Estimator != nil && exec.statement.parsed != nil && exec.statement.classByShape {
		if class, shapeExecution, ok := s.options.Estimator.Classify(exec.statement.parsed, exec.binds); ok {
			return class, shapeExecution
		}
	}
	return exec.statement.class, nil
}

// estimate sets what is known of the request's data and its cost.
func (s *Server) estimate(request *lifecycle.Request, exec execution, shapeExecution *stmtstats.Execution) {
	estimator, parsed := s.options.Estimator, exec.statement.parsed
	if parsed == nil || estimator == nil {
		request.Dataset, _ = sqltext.DatasetOf(exec.statement.query)
		return
	}
	request.Dataset, _ = parsed.Dataset()
	if shapeExecution != nil {
		estimator.ApplyClassified(request, shapeExecution)
	} else if !exec.message.DescribeOnly {
		estimator.EstimateRequest(request, parsed, exec.binds)
	}
}
