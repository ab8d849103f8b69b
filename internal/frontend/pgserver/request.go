package pgserver

import (
	"fmt"

	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/pgproto"
	"flaxrelay/internal/sqltext"
	"flaxrelay/internal/stmtstats"
	"flaxrelay/policy"
)

// queryProtocol is the part of the protocol that a message belongs to. It determines how the response to the message
// ends.
type queryProtocol uint8

const (
	// simpleProtocol: the response to a Query ends with a ReadyForQuery, even after an error.
	simpleProtocol queryProtocol = iota
	// extendedProtocol: after an error, all messages up to the next Sync are skipped.
	extendedProtocol
)

// execution is one run, or one description, of a statement by an engine.
type execution struct {
	protocol       queryProtocol
	statement      *statement
	message        *pgproto.Statement // the message to the engine
	idempotencyKey string
	binds          *sqltext.Binds // the values bound to a portal; nil for a Query and for a description
	keptBytes      int            // bytes of the session's memory that are released when the execution ends
	// onServed writes the response to the client's message that led to the execution.
	onServed func(*pgproto.Result) *pgproto.Error
}

// complete writes the result of the execution, or returns the error to send instead.
func (e *execution) complete(response lifecycle.Response) *pgproto.Error {
	result, ok := response.Result.(*pgproto.Result)
	if response.Verdict != lifecycle.VerdictServed || !ok {
		return responseError(response)
	}
	return e.onServed(result)
}

// forward passes an execution to the dispatcher, which may respond before Accept returns.
func (c *connection) forward(exec *execution) {
	request := c.server.newRequest(exec, c)
	c.request = request
	c.execution = exec
	c.state = stateInFlight
	c.server.dispatcher.Accept(request)
}

// Respond finishes the message that led to the request, and resumes reading.
func (c *connection) Respond(_ *lifecycle.Request, response lifecycle.Response) {
	if c.state != stateInFlight {
		return
	}
	_, exec := c.endRequest()
	c.finish(exec.protocol, exec.complete(response))
	c.resume()
}

// cancel ends the request in flight for a CancelRequest, and resumes reading.
func (c *connection) cancel() {
	dispatcher := c.server.dispatcher
	request, exec := c.endRequest()
	failure := newError(codeQueryCanceled, "canceling statement due to user request")
	if dispatcher.MayHaveHadEffect(request) {
		failure = errCompletionUnknown()
	}
	dispatcher.ClientDisconnected(request)
	c.finish(exec.protocol, failure)
	c.resume()
}

// endRequest moves the connection to stateReady. It returns the request and the execution that were in flight, or nil.
func (c *connection) endRequest() (*lifecycle.Request, *execution) {
	request := c.request
	exec := c.execution
	c.request = nil
	c.execution = nil
	c.state = stateReady
	if exec != nil {
		c.memory.release(exec.keptBytes)
	}
	return request, exec
}

// resume writes the output and resumes reading, starting with what the client has sent during the request.
func (c *connection) resume() {
	c.flush()
	c.socket.LiftReadAheadLimit()
	if c.state != stateClosing {
		c.socket.Redeliver()
	}
}

// newRequest returns the request for an execution of a connection.
func (s *Server) newRequest(exec *execution, c *connection) *lifecycle.Request {
	class, shapeExecution := s.executionClass(exec)
	request := &lifecycle.Request{
		ID:             fmt.Sprintf("pg%d", c.key.processID),
		Class:          class.Name,
		IdempotencyKey: exec.idempotencyKey,
		Statement:      exec.message,
		Deadline:       s.dispatcher.Now() + c.settings.timeout(class),
		Client:         c,
	}
	s.estimate(request, exec, shapeExecution)
	return request
}

// executionClass returns the class of an execution. If the statement shape determines the class, it returns the
// estimator's execution, too.
func (s *Server) executionClass(exec *execution) (policy.Class, *stmtstats.Execution) {
	if exec.message.DescribeOnly {
		// A description does not run the statement, even if the statement would write.
		if class, ok := s.dispatcher.Class(s.options.DefaultClass); ok && class.Effect == policy.Idempotent {
			return class, nil
		}
		return exec.statement.class, nil
	}
	if s.options.Estimator != nil && exec.statement.parsed != nil && exec.statement.classByShape {
		if class, shapeExecution, ok := s.options.Estimator.EstimateClass(exec.statement.parsed, exec.binds); ok {
			return class, shapeExecution
		}
	}
	return exec.statement.class, nil
}

// estimate sets the request's data set, and its estimates if there is an estimator.
func (s *Server) estimate(request *lifecycle.Request, exec *execution, shapeExecution *stmtstats.Execution) {
	estimator := s.options.Estimator
	parsed := exec.statement.parsed
	if parsed == nil || estimator == nil {
		request.Dataset, _ = sqltext.DatasetOf(exec.statement.query)
		return
	}
	request.Dataset, _ = parsed.Dataset()
	if shapeExecution != nil {
		estimator.ApplyEstimate(request, shapeExecution)
	} else if !exec.message.DescribeOnly {
		estimator.EstimateRequest(request, parsed, exec.binds)
	}
}
