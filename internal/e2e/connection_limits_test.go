package e2e

import (
	"testing"
	"time"

	"flaxrelay/policy"
)

// At the limit of client connections, a new client evicts a connection that has not sent a valid request. If every
// connection has sent a valid request, the new client evicts the connection that has been idle longest. A connection
// with a request in flight is never evicted, and below the limit no connection is evicted.
func TestConnectionLimit_EvictsTheLongestIdleClient(t *testing.T) {
	addr, seen := startLineEngine(t, noReply)
	front := newFrontEnd(t, nil)
	front.httpOptions.MaxClients = 4
	front.httpOptions.ReadTimeout = time.Minute
	front.serveHTTP(addr)
	connectHTTP(t, front.addr).send(queryRequest("lookup", ""))
	await(t, seen)
	var idle []*httpClient
	for range 2 {
		client := connectHTTP(t, front.addr)
		client.roundTrip(bareHealthRequest)
		idle = append(idle, client)
	}
	silent := connectHTTP(t, front.addr)
	next := connectHTTP(t, front.addr)
	next.roundTrip(bareHealthRequest)
	silent.assertClosed()
	connectHTTP(t, front.addr).roundTrip(bareHealthRequest)
	idle[0].assertClosed()
	for _, client := range []*httpClient{idle[1], next} {
		got, _ := client.roundTrip(bareHealthRequest)
		assertEqual(t, "client that was idle for less time", got, "200 {}")
	}
	front.assertCount("requests.disconnected.", 0)
}

// At the limit of engine connections, a new connection evicts the connection that has been idle longest. If all
// connections are in use, a request is rejected at once and no connection is opened.
func TestConnectionLimit_EvictsTheLongestIdleEngineConnection(t *testing.T) {
	first, _ := startLineEngine(t, emptyReply)
	second, _ := startLineEngine(t, emptyReply)
	unresponsive, seen := startLineEngine(t, noReply)
	last, _ := startLineEngine(t, emptyReply)
	front := newFrontEnd(t, nil)
	front.maxEngineConnections = 2
	front.settings.MaxStreams = 1
	front.serveHTTP()
	client := connectHTTP(t, front.addr)
	queryOnly := func(addr string) string { // sends a request while no other engine is ready
		front.updateEndpoints(policy.EngineReady, addr)
		defer front.updateEndpoints(policy.EngineDraining, addr)
		got, _ := client.roundTrip(queryRequest("lookup", ""))
		return got
	}
	assertEqual(t, "first", queryOnly(first), emptyResult)
	assertEqual(t, "second", queryOnly(second), emptyResult)
	front.assertCount("engine-connections.evicted", 0)
	front.updateEndpoints(policy.EngineReady, unresponsive)
	for n := range 2 { // each needs a separate connection
		connectHTTP(t, front.addr).send(withID(queryRequest("lookup", ""), numberedID(n+1)))
		await(t, seen)
	}
	front.updateEndpoints(policy.EngineDraining, unresponsive)
	front.assertCount("engine-connections.evicted", 2)
	dialed := front.count("engine-connections.dialed")
	assertEqual(t, "all in use", queryOnly(last), busyResult)
	front.assertCount("engine-connections.dialed", dialed)
}

// evictAfterReading starts a front end, which reads the text of a new client. Before the front end handles the text, it
// evicts the connection of this client to accept another client.
func evictAfterReading(t *testing.T, text string) (*frontEnd, *httpClient) {
	t.Helper()
	addr, _ := startLineEngine(t, emptyReply)
	front := newFrontEnd(t, nil)
	front.httpOptions.MaxClients = 1
	front.serveHTTP(addr)
	client := connectHTTP(t, front.addr)
	front.awaitCount("http.connections", 1)
	const pastMinOpenTime = 30 * time.Millisecond // longer than a new connection is protected from eviction
	time.Sleep(pastMinOpenTime)
	front.onLoop(func() { // the next turn of the loop accepts the new client before it handles the text
		dial(t, front.addr)
		time.Sleep(pastMinOpenTime)
		front.deliver(client.conn, text)
	})
	return front, client
}

// A request that was read just before the eviction of its connection has a response.
func TestConnectionLimit_RequestReadBeforeEvictionHasAResponse(t *testing.T) {
	_, client := evictAfterReading(t, queryRequest("lookup", ""))
	assertEqual(t, "response", client.receive(), busyResult)
}

// Pipelined requests that were read just before the eviction of their connection all have a response, including the
// incomplete request after them.
func TestConnectionLimit_AllRequestsReadBeforeEvictionHaveResponses(t *testing.T) {
	request := queryRequest("lookup", "")
	front, client := evictAfterReading(t, request+withID(request, numberedID(2))+request[:len(request)/2])
	for range 3 {
		assertEqual(t, "response", client.receive(), busyResult)
	}
	client.assertClosed()
	front.assertCount("attempts.started.", 0)
}
