package pgclient_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"flaxrelay/internal/engine/enginetest"
	"flaxrelay/internal/pgproto"
)

// exchangeScripts are the exchanges by the name of their golden file.
var exchangeScripts = map[string]script{
	"query": {play: func(x exchange) {
		attempt := x.connectAndStart(lookupStatement)
		x.respond(
			attempt, parseComplete, bindComplete, rowDescription,
			dataRow, noticeResponse, dataRow, commandComplete, readyForQuery,
		)
		x.respond(x.startOnIdle(lookupStatement), reusedResponse...)
		attempt = x.startOnIdle(&pgproto.Statement{
			Query:          lookupStatement.Query,
			ParameterTypes: []byte{0, 1, 0, 0, 0, 25},
			Bind:           []byte("\x00\x01\x00\x01\x00\x01\x00\x00\x00\x02k\xff\x00\x01\x00\x01"),
		})
		x.respond(attempt, parseComplete, bindComplete, noData, emptyQueryResponse, readyForQuery)
		attempt = x.startOnIdle(statement(strings.Repeat("x", 5000))) // too long to stay prepared
		x.respond(attempt, parseComplete, bindComplete, noData, commandComplete, readyForQuery)
		x.RemoveEngineAndAwaitClose()
	}},
	"describe": {play: func(x exchange) {
		described := *lookupStatement
		described.DescribeOnly = true
		x.respond(x.connectAndStart(&described), parseComplete, parameterDescription, rowDescription, readyForQuery)
		x.RemoveEngineAndAwaitClose()
	}},
	"cancel": {play: func(x exchange) {
		x.Abandon(x.connectAndStart(lookupStatement))
		x.AwaitClose()
		x.acceptPacket() // the CancelRequest, on a separate connection
		x.AwaitClose()
		x.respond(x.connectAndStart(lookupStatement), emptyResponse...)
		x.RemoveEngineAndAwaitClose()
	}},
	// Guards against a query that is sent to its end after it has been abandoned: the connection is closed within it.
	"abandoned-while-blocked": {play: func(x exchange) {
		x.respond(x.connectAndStart(lookupStatement), emptyResponse...)
		attempt := x.start(statement(strings.Repeat("x", blockingSize)))
		x.Abandon(attempt)
		x.awaitCloseWithinQuery()
		x.acceptPacket() // the CancelRequest, on a separate connection
		x.AwaitClose()
	}},
	"cancel-without-key": {play: func(x exchange) {
		attempt := x.start(lookupStatement)
		x.acceptPacket()
		x.Write(authenticationOK, readyForQuery)
		x.readQuery()
		x.Abandon(attempt)
		x.AwaitClose()
		// No CancelRequest is sent: the next connection is dialed for the next attempt.
		x.respond(x.connectAndStart(lookupStatement), emptyResponse...)
		x.RemoveEngineAndAwaitClose()
	}},
	"withdrawn-before-startup": {play: func(x exchange) {
		attempt := x.start(lookupStatement)
		x.acceptPacket()
		x.Withdraw(attempt)
		x.startDuringStartup(statement("SELECT 2"))
		x.RemoveEngineAndAwaitClose()
	}},
	"errors": {play: func(x exchange) {
		for number, code := range []string{
			tooManyConnections, adminShutdown, cannotConnectNow, queryCanceled, idleSessionTimeout,
			serializationFailure, connectionFailure, ioError, internalError, configFileError,
			undefinedTable, divisionByZero, featureNotSupported,
		} {
			attempt := x.start(statement(fmt.Sprintf("SELECT %d", number)))
			if number == 0 {
				x.acceptStartup()
			}
			x.readQuery()
			x.respond(attempt, parseComplete, bindComplete, errorResponse("ERROR", code), readyForQuery)
		}
		// A statement that is not idempotent may have had an effect and must not be retried.
		attempt := x.newAttempt("write", statement("INSERT 1"))
		x.Start(attempt)
		x.readQuery()
		x.respond(attempt, parseComplete, bindComplete, errorResponse("ERROR", diskFull), readyForQuery)
		x.RemoveEngineAndAwaitClose()
	}},
	"forgotten-statement": {play: func(x exchange) {
		x.respond(x.connectAndStart(lookupStatement), emptyResponse...)
		x.respond(x.startOnIdle(lookupStatement), errorResponse("ERROR", invalidStatementName), readyForQuery)
		x.respond(x.startOnIdle(lookupStatement), emptyResponse...) // parsed again
		x.RemoveEngineAndAwaitClose()
	}},
	"fatal": {play: func(x exchange) {
		for _, code := range []string{adminShutdown, queryCanceled, tooManyConnections} {
			x.respond(x.connectAndStart(lookupStatement), errorResponse("FATAL", code))
			x.AwaitClose()
		}
	}},
	"fatal-at-startup": {play: func(x exchange) {
		for _, code := range []string{tooManyConnections, cannotConnectNow, invalidAuthorization, invalidCatalogName} {
			attempt := x.start(lookupStatement)
			x.acceptPacket()
			x.respond(attempt, errorResponse("FATAL", code))
			x.AwaitClose()
		}
	}},
	"unreadable": {play: func(x exchange) {
		for _, response := range [][]byte{
			message('?', ""),             // of an unknown kind
			message('G', "\x00\x00\x00"), // CopyInResponse
			message('Z', "T"),            // ReadyForQuery within a transaction
			readyForQuery,                // before the end of the response
			message('C', "SELECT"),       // CommandComplete whose text is not terminated
			message('E', "x"),            // ErrorResponse whose field is not terminated
			{'D', 0, 0, 0, 3},            // shorter than its length field
			{'D', 0x7f, 0, 0, 0},         // longer than maxMessageBytes
		} {
			x.respond(x.connectAndStart(lookupStatement), response)
			x.AwaitClose()
		}
	}},
	"unreadable-at-startup": {play: func(x exchange) {
		for _, response := range [][]byte{
			message('R', "\x00\x00\x00\x03"), // AuthenticationCleartextPassword
			message('T', ""),                 // RowDescription
			message('Z', "E"),                // ReadyForQuery within a failed transaction
		} {
			attempt := x.start(lookupStatement)
			x.acceptPacket()
			x.respond(attempt, response)
			x.AwaitClose()
		}
	}},
}

// TestClient_ExchangesMatchTheGoldenFiles checks the bytes of both sides and the reports of the
// client.
func TestClient_ExchangesMatchTheGoldenFiles(t *testing.T) {
	enginetest.PlayScripts(t, exchangeScripts)
}

// shortTimeout and smallBudget are exceeded on purpose.
const (
	shortTimeout = 50 * time.Millisecond
	smallBudget  = 40 // bytes; less than three rows of these tests
	// readDelay is longer than bytes take to reach the client's read buffer.
	readDelay = 200 * time.Millisecond
)

// connectionScripts are the exchanges in which connections are dialed, retired and closed, by the
// name of their golden file.
var connectionScripts = map[string]script{
	"retired-during-startup": {play: func(x exchange) {
		attempt := x.start(lookupStatement)
		x.acceptPacket()
		x.Do(x.RestartEngine)
		x.Write(authenticationOK, backendKeyData, readyForQuery)
		x.readQuery()
		x.respond(attempt, emptyResponse...)
		x.AwaitClose()
		x.PrintConnections()
	}},
	"retired-during-startup-unused": {play: func(x exchange) {
		attempt := x.start(lookupStatement)
		x.acceptPacket()
		x.Withdraw(attempt)
		x.Do(x.RestartEngine) // the connection has no attempt: it is closed at once
		x.AwaitClose()
		x.PrintConnections()
	}},
	"retired-while-dialing-unused": {play: func(x exchange) {
		attempt := x.newAttempt("lookup", lookupStatement)
		x.StartThen(attempt, func() {
			x.Client.Abandon(attempt) // the query is not written: nothing is cancelled
			x.RestartEngine()
		})
		x.acceptPacket()
		x.Write(authenticationOK, backendKeyData, readyForQuery)
		x.AwaitClose()
		x.PrintConnections()
	}},
	"statement-not-forgotten": {play: func(x exchange) {
		// The query that fails has parsed the statement itself, so the statement is not stale.
		x.respond(x.connectAndStart(lookupStatement), errorResponse("ERROR", invalidStatementName), readyForQuery)
		x.respond(x.startOnIdle(lookupStatement), emptyResponse...)
		// The error arrives after BindComplete, so the statement may have run.
		attempt := x.startOnIdle(lookupStatement)
		x.respond(attempt, bindComplete, errorResponse("ERROR", featureNotSupported), readyForQuery)
		x.respond(x.startOnIdle(lookupStatement), reusedResponse...)
		x.RemoveEngineAndAwaitClose()
	}},
	"retired-while-busy": {play: func(x exchange) {
		attempt := x.connectAndStart(lookupStatement)
		x.Do(x.RestartEngine)
		x.respond(attempt, emptyResponse...)
		x.AwaitClose()
		x.PrintConnections()
	}},
	"abandoned-before-startup": {play: func(x exchange) {
		attempt := x.start(lookupStatement)
		x.acceptPacket()
		x.Abandon(attempt) // the query is not written: nothing is cancelled, and the connection is reused
		x.startDuringStartup(statement("SELECT 2"))
		x.RemoveEngineAndAwaitClose()
		x.PrintConnections()
	}},
	"removed-before-write": {play: func(x exchange) {
		attempt := x.start(lookupStatement)
		x.acceptPacket()
		x.Do(x.RemoveEngine)
		x.respond(attempt, authenticationOK, backendKeyData, readyForQuery)
		x.AwaitClose()
		x.PrintConnections()
	}},
	"closed-during-startup": {play: func(x exchange) {
		attempt := x.start(lookupStatement)
		x.acceptPacket()
		x.Disconnect()
		x.AwaitEnd(attempt)
		x.PrintConnections()
	}},
	"closed-in-response": {play: func(x exchange) {
		attempt := x.connectAndStart(lookupStatement)
		x.Write(parseComplete, bindComplete, rowDescription, errorResponse("ERROR", undefinedTable)) // no ReadyForQuery
		x.Disconnect()
		x.AwaitEnd(attempt)
		attempt = x.connectAndStart(lookupStatement)
		x.Write(emptyResponse...) // the client reads and handles these before it detects the close
		x.Disconnect()
		x.AwaitEnd(attempt)
		x.PrintConnections()
	}},
	// Guards against a duplicate of a response that is taken for the response to the next query: responses are matched
	// to queries by their order alone.
	"duplicate-response": {play: func(x exchange) {
		x.respond(x.connectAndStart(lookupStatement), emptyResponse...)
		first := x.startOnIdle(lookupStatement)
		next := x.newAttempt("lookup", lookupStatement)
		x.Do(func() {
			x.OnServed(func() { // the duplicate has been received and not been handled
				x.OnServed(nil)
				x.Client.Start(next)
			})
		})
		x.Write(append(slices.Clone(reusedResponse), reusedResponse...)...)
		x.AwaitEnd(first)
		x.AwaitClose() // the duplicate arrives on an idle connection
		x.acceptStartup()
		x.readQuery()
		x.respond(next, emptyResponse...)
		x.RemoveEngineAndAwaitClose()
		x.PrintConnections()
	}},
	// Guards against the same duplicate that is still to be passed to the client.
	// Guards against a late duplicate that is taken for the response to the next query, so that all later responses of
	// the connection go to the query after their own: the next query is written on another connection.
	"duplicate-response-late": {reuseDelay: time.Second, play: func(x exchange) {
		x.respond(x.connectAndStart(lookupStatement), emptyResponse...)
		next := x.start(lookupStatement)
		x.Write(emptyResponse...)
		x.AwaitClose()
		x.acceptStartup()
		x.readQuery()
		x.respond(next, emptyResponse...)
		time.Sleep(time.Second) // the reuse delay
		x.respond(x.startOnIdle(lookupStatement), emptyResponse...)
		x.RemoveEngineAndAwaitClose()
	}},
	"duplicate-response-unread": {play: func(x exchange) {
		x.respond(x.connectAndStart(lookupStatement), emptyResponse...)
		next := x.newAttempt("lookup", lookupStatement)
		x.BlockLoop(func() {
			x.Write(emptyResponse...)
			time.Sleep(readDelay)
		}, func() { // the client has read the duplicate and not handled it
			x.Client.Start(next)
		})
		x.AwaitClose()
		x.acceptStartup()
		x.readQuery()
		x.respond(next, emptyResponse...)
		x.RemoveEngineAndAwaitClose()
		x.PrintConnections()
	}},
	"startup-timeout": {
		connectTimeout: shortTimeout,
		play: func(x exchange) {
			attempt := x.start(lookupStatement)
			x.acceptPacket()
			x.AwaitEnd(attempt)
			x.AwaitClose()
			x.PrintConnections()
		},
	},
	"buffer-budget": {
		maxBufferedBytes: smallBudget,
		play: func(x exchange) {
			for range 2 { // the second time, the budget is unused again: the first attempt has released its bytes
				attempt := x.connectAndStart(lookupStatement)
				x.respond(attempt, responseWithRows(3)...)
				x.AwaitClose()
				x.acceptPacket() // the CancelRequest
				x.AwaitClose()
			}
			x.respond(x.connectAndStart(lookupStatement), responseWithRows(2)...)
			x.RemoveEngineAndAwaitClose()
			x.PrintConnections()
		},
	},
	"fatal-while-idle": {play: func(x exchange) {
		for _, code := range []string{adminShutdown, idleSessionTimeout} {
			x.respond(x.connectAndStart(lookupStatement), emptyResponse...)
			x.Write(errorResponse("FATAL", code))
			x.AwaitClose()
			x.PrintConnections()
		}
		// No query was written on these connections.
		for _, code := range []string{adminShutdown, idleSessionTimeout} {
			attempt := x.start(lookupStatement)
			x.acceptPacket()
			x.Withdraw(attempt)
			x.Write(authenticationOK, readyForQuery, errorResponse("FATAL", code))
			x.AwaitClose()
			x.PrintConnections()
		}
	}},
}

// TestClient_ConnectionsMatchTheGoldenFiles checks how connections are dialed, retired and closed,
// and how the attempts on them end.
func TestClient_ConnectionsMatchTheGoldenFiles(t *testing.T) {
	enginetest.PlayScripts(t, connectionScripts)
}
