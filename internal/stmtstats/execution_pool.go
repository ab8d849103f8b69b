package stmtstats

// maxFreeExecutions is the maximum number of released executions in a pool. More requests are seldom in
// flight. The garbage collector frees the executions for which the pool has no room.
const maxFreeExecutions = 512

// executionPool reuses released executions, which saves an allocation for each request. It is not safe for
// concurrent use.
type executionPool struct{ free []*Execution }

// get returns an empty execution, if possible a released one.
func (p *executionPool) get() *Execution {
	last := len(p.free) - 1
	if last < 0 {
		return &Execution{}
	}
	execution := p.free[last]
	p.free = p.free[:last]
	return execution
}

// put releases an execution. The caller must not use it after that.
func (p *executionPool) put(execution *Execution) {
	if len(p.free) < maxFreeExecutions {
		*execution = Execution{}
		p.free = append(p.free, execution)
	}
}
