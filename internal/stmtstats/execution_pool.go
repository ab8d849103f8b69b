package stmtstats

// maxFreeExecutions bounds the released executions in a pool. More requests are
// seldom in flight at once; further executions are left to the garbage collector.
const maxFreeExecutions = 512

// executionPool holds released executions for reuse, because each request needs one. It may be used
// by one goroutine at a time.
type executionPool struct{ free []*Execution }

// get returns an empty execution, a released one if possible.
func (p *executionPool) get() *Execution {
	last := len(p.free) - 1
	if last < 0 {
		return &Execution{}
	}
	execution := p.free[last]
	p.free = p.free[:last]
	return execution
}

// put releases an execution, which nothing may refer to any more.
func (p *executionPool) put(execution *Execution) {
	if len(p.free) < maxFreeExecutions {
		*execution = Execution{}
		p.free = append(p.free, execution)
	}
}
