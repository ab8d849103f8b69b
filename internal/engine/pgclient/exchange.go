package pgclient

import (
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/pgproto"
)

// exchangeState is the progress of the query on a connection.
//
//	event                                          from                              to
//	the connection is dialed                                                         exchangeNone
//	an attempt is put on the connection            exchangeNone, exchangeEnded       exchangePending
//	the startup is complete, the query is written  exchangePending                   exchangeWritten
//	BindComplete arrives                           exchangeWritten                   exchangeBound
//	the attempt ends or is abandoned               exchangePending                   exchangeNone
//	the attempt ends or is abandoned               exchangeWritten, exchangeBound    exchangeEnded
//
// In exchangeNone and exchangeEnded the connection is idle.
type exchangeState uint8

const (
	exchangeNone    exchangeState = iota // no attempt; nothing was written for the previous attempt, if any
	exchangePending                      // an attempt whose query is not written yet
	exchangeWritten                      // the query is written; BindComplete has not arrived
	exchangeBound                        // BindComplete has arrived: the statement may be running
	exchangeEnded                        // no attempt; the query of the previous attempt was written
)

// exchange is the query on a connection with the part of its response that has arrived. The zero
// value belongs to a connection that has had no attempt.
type exchange struct {
	state         exchangeState
	attempt       *lifecycle.Attempt // nil: the connection is idle
	result        *pgproto.Result    // nil: the connection is idle
	prepared      preparation        // how the query refers to its statement; set when the query is written
	complete      bool               // CommandComplete or EmptyQueryResponse has arrived
	errorResponse *pgproto.Error     // the latest; nil: none
}

// newExchange returns the exchange of an attempt whose query is not written yet.
func newExchange(attempt *lifecycle.Attempt) exchange {
	return exchange{state: exchangePending, attempt: attempt, result: &pgproto.Result{}}
}

// idle reports whether the connection has no attempt.
func (e *exchange) idle() bool { return e.attempt == nil }

// written reports whether the query of the attempt was written. If the connection is idle, it
// reports whether the query of the previous attempt was written.
func (e *exchange) written() bool { return e.state != exchangeNone && e.state != exchangePending }

// clear removes the attempt.
func (e *exchange) clear() {
	if e.written() {
		e.state = exchangeEnded
	} else {
		e.state = exchangeNone
	}
	e.attempt = nil
	e.result = nil
	e.errorResponse = nil
}
