package e2e

import (
	"bufio"
	"net"
	"testing"

	"flaxrelay/policy"
)

// While a request waits for a connection to an engine, the engine begins to drain, or a full update no longer names the
// engine. Nothing is written to the connection once it is established, and another engine serves the client.
func TestDiscovery_RequestAwaitingConnectionMovesWhenEngineDrains(t *testing.T) {
	for name, withdraw := range map[string]func(front *frontEnd, draining, other string){
		"begins to drain": func(front *frontEnd, draining, _ string) {
			front.updateEndpoints(policy.EngineDraining, draining)
		},
		"missing from a full update": func(front *frontEnd, _, other string) { front.replaceEndpoints(other) },
	} {
		t.Run(name, func(t *testing.T) {
			received := make(chan string, seenCapacity)
			draining, accept := listenWithFullBacklog(t, func(conn net.Conn) {
				for in := bufio.NewReader(conn); ; {
					line, err := in.ReadString('\n')
					if err != nil {
						received <- "end"
						return
					}
					received <- line
				}
			})
			other, _ := startLineEngine(t, emptyReply)
			front := newFrontEnd(t, nil)
			front.settings.ConnectTimeout = waitLimit
			front.serveHTTP(draining)
			client := connectHTTP(t, front.addr)
			client.send(withWait(queryRequest("lookup", ""), longWait))
			front.awaitCount("attempts.started.", 1)
			front.updateEndpoints(policy.EngineReady, other)
			withdraw(front, draining, other)
			assertEqual(t, "response", client.receive(), emptyResult)
			front.assertCount("attempts.ended.not-sent", 1)
			accept()
			front.updateEndpoints(policy.EngineRemoved, draining)
			assertEqual(t, "the draining engine received", await(t, received), "end")
		})
	}
}

// A full update that no longer names an engine closes the connections to the engine: no request would use these
// connections, and nothing else would close them.
func TestDiscovery_FullUpdateClosesConnectionsToRemovedEngines(t *testing.T) {
	removed, _ := startLineEngine(t, emptyReply)
	remaining, _ := startLineEngine(t, emptyReply)
	front := startHTTP(t, removed)
	client := connectHTTP(t, front.addr)
	client.roundTrip(queryRequest("lookup", ""))
	front.replaceEndpoints(remaining)
	front.awaitCount("engine-connections.closed.idle-closed", 1)
	got, _ := client.roundTrip(queryRequest("lookup", ""))
	assertEqual(t, "response", got, emptyResult)
}
