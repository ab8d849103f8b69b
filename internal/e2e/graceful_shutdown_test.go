package e2e

import "testing"

// rowResult is the status and the body of the response to a request that rowReply serves.
const rowResult = `200 {"result":[["a","b","c"]]}`

// rowReply is the script of an engine that serves each request with one row.
func rowReply(line string) string { return doneReply(line, "a\tb\tc\n") }

// A request arrives on an idle connection just as a graceful shutdown closes idle connections: the request has one
// response, after which its connection is closed.
func TestGracefulShutdown_RequestInTransitIsServed(t *testing.T) {
	const partLength = len("POST /rpc/lookup HTT")
	addr, seen := startLineEngine(t, rowReply)
	front := startHTTP(t, addr)
	complete := connectHTTP(t, front.addr)
	partial := connectHTTP(t, front.addr)
	idle := connectHTTP(t, front.addr)
	for _, client := range []*httpClient{complete, partial, idle} {
		client.roundTrip(bareHealthRequest)
	}
	text := queryRequest("lookup", "")
	front.onLoop(func() {
		front.deliver(complete.conn, text)
		front.deliver(partial.conn, text[:partLength])
		front.server.Drain()
	})
	assertEqual(t, "the request that arrived just before the shutdown", complete.receive(), rowResult)
	got, _ := partial.roundTrip(text[partLength:])
	assertEqual(t, "the request that had arrived in part", got, rowResult)
	for _, client := range []*httpClient{complete, partial, idle} {
		client.assertClosed()
	}
	await(t, seen)
	await(t, seen)
	front.assertCount("attempts.started.", 2)
	front.assertCount("requests.disconnected.", 0)
}

// In a graceful shutdown, all pipelined requests have a response. The connection is closed after the last response.
func TestGracefulShutdown_PipelinedRequestsAllHaveResponses(t *testing.T) {
	addr, _ := startLineEngine(t, rowReply)
	front := startHTTP(t, addr)
	client := connectHTTP(t, front.addr)
	client.roundTrip(bareHealthRequest)
	front.onLoop(func() {
		text := ""
		for n := range 3 {
			text += withID(queryRequest("lookup", ""), numberedID(n))
		}
		front.deliver(client.conn, text)
		front.server.Drain()
	})
	for range 3 {
		assertEqual(t, "response", client.receive(), rowResult)
	}
	client.assertClosed()
}

// At the end of a shutdown, a request in flight and each request that its client has pipelined after it are rejected.
func TestGracefulShutdown_PipelinedRequestsAtItsEndAreRejected(t *testing.T) {
	addr, seen := startLineEngine(t, noReply)
	front := startHTTP(t, addr)
	client := connectHTTP(t, front.addr)
	client.send(queryRequest("lookup", ""))
	await(t, seen)
	front.onLoop(func() {
		front.server.Drain()
		request := queryRequest("lookup", "")
		front.deliver(client.conn, withID(request, numberedID(1))+withID(request, numberedID(2)))
		front.dispatcher.CompleteAll()
		front.server.Finish()
	})
	for range 3 {
		assertEqual(t, "response", client.receive(), busyResult)
	}
	client.assertClosed()
}
