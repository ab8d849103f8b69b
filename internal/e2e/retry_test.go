package e2e

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"

	"flaxrelay/internal/lifecycle"
	"flaxrelay/policy"

	"github.com/google/go-cmp/cmp"
)

// addrWithoutListener returns an address at which connections are refused until the end of the test. A socket is bound
// to the address and does not listen, so that no other process gets the port.
func addrWithoutListener(t *testing.T) string {
	t.Helper()
	fd := bindLoopback(t)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	inet4, ok := bound.(*syscall.SockaddrInet4)
	if !ok {
		t.Fatalf("a socket is bound to an address of type %T", bound)
	}
	return fmt.Sprintf("127.0.0.1:%d", inet4.Port)
}

// A refused connection proves that nothing ran, so even a load is retried on another engine. If there is no other
// engine, the load is rejected at once, with a time after which to retry.
func TestRetry_RefusedConnectionIsRetriedEvenForALoad(t *testing.T) {
	load := queryRequest("load", "Req-Token: k\r\n")
	front := startHTTP(t, addrWithoutListener(t))
	client := connectHTTP(t, front.addr)
	got, header := client.roundTrip(load)
	assertEqual(t, "response", got, busyResult)
	if header.Get("Srv-Wait-Ms") == "" {
		t.Error("a rejection without Srv-Wait-Ms")
	}
	if n := front.count("attempts.ended.connection-refused"); n == 0 {
		t.Error("no attempt ended as refused")
	}
	addr, _ := startLineEngine(t, emptyReply)
	front.updateEndpoints(policy.EngineReady, addr)
	got, _ = client.roundTrip(load)
	assertEqual(t, "response", got, emptyResult)
}

// An engine resets an idle connection just before a request is written to the connection. No byte of the request was
// sent, so even a non-idempotent request is retried.
func TestRetry_UnsentNonIdempotentRequestIsRetriedAfterReset(t *testing.T) {
	conns := make(chan net.Conn, seenCapacity)
	addr := listen(t, func(conn net.Conn) {
		conns <- conn
		readRequestIDs(conn, func(id string) bool { return writeEmptyResult(conn, id) })
	})
	front := newFrontEnd(t, func(s *policy.Settings) {
		for i := range s.Classes {
			s.Classes[i].Effect = policy.NonIdempotent
		}
	}).serveHTTP(addr)
	client := connectHTTP(t, front.addr)
	got, _ := client.roundTrip(withID(queryRequest("lookup", ""), numberedID(1)))
	assertEqual(t, "first response", got, emptyResult)
	idle := tcpConn(t, await(t, conns))
	front.onLoop(func() {
		front.deliver(client.conn, queryRequest("lookup", "")) // the loop handles this before the reset
		_ = idle.SetLinger(0)                                  // so that Close resets the connection
		_ = idle.Close()
	})
	assertEqual(t, "response", client.receive(), emptyResult)
	front.assertCount("attempts.ended.not-sent", 1)
}

// An engine sends a rejection twice. The retry has the same id as the rejected attempt. The duplicate must not end the
// retry, or a third attempt would be sent while the retry runs.
func TestRetry_DuplicateRejectionDoesNotEndTheRetry(t *testing.T) {
	attempts := 0
	other := numberedID(2)
	addr, seen := startLineEngine(t, func(line string) string {
		words := strings.Fields(line)
		switch {
		case words[0] != "want":
			return ""
		case words[1] == other: // proves that the engine still serves the connection
			return doneReply(line, "")
		}
		if attempts++; attempts == 1 {
			return strings.Repeat(words[1]+" WAIT - 0\r\n\r\n", 2)
		}
		return ""
	})
	front := startHTTP(t, addr)
	connectHTTP(t, front.addr).send(queryRequest("lookup", ""))
	await(t, seen)
	await(t, seen)
	got, _ := connectHTTP(t, front.addr).roundTrip(withID(queryRequest("lookup", ""), other))
	assertEqual(t, "response to the other request", got, emptyResult)
	front.assertCount("attempts.started.lookup", 3) // two for the first request, one for the other request
	front.assertCount("attempts.ended.overloaded", 1)
}

// Every status of an attempt maps to one result for the policy. Only a status that proves that nothing ran may map to
// ResultNotSent.
func TestRetry_OnlyStatusesThatProveNothingRanCountAsNotSent(t *testing.T) {
	got := map[string]policy.Result{}
	for status := lifecycle.StatusUnknown; status <= lifecycle.StatusIdleClosed; status++ {
		got[status.String()] = status.Result()
	}
	want := map[string]policy.Result{
		"unknown":            policy.ResultUnknown,
		"served":             policy.ResultServed,
		"statement-rejected": policy.ResultNotSent,
		"result-too-large":   policy.ResultServed,
		"engine-error":       policy.ResultFailed,
		"overloaded":         policy.ResultOverloaded,
		"deadline-passed":    policy.ResultNotSent,
		"pages-lost":         policy.ResultFailed,
		"timeout":            policy.ResultTimedOut,
		"connection-refused": policy.ResultConnectFailed,
		"connect-timeout":    policy.ResultConnectFailed,
		"no-descriptor":      policy.ResultNotSent,
		"local-failure":      policy.ResultNotSent,
		"unknown-engine":     policy.ResultConnectFailed,
		"connection-reset":   policy.ResultConnectionLost,
		"protocol-error":     policy.ResultUnknown,
		"cancelled":          policy.ResultCancelled,
		"not-sent":           policy.ResultNotSent,
		"idle-closed":        policy.ResultUnknown,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
