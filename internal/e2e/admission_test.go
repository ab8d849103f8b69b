package e2e

import (
	"net"
	"testing"

	"flaxrelay/policy"
)

// If the settings name tenants, a tenant within its quota may use the full limit. Requests without a tenant have no
// quota, and may use only a part of the limit.
func TestAdmission_TenantWithinItsQuotaHasTheFullLimit(t *testing.T) {
	const requests = 80
	const (
		tenantHeader = "Req-Owner: north\r\n"
		noHeader     = ""
	)
	started := map[string]int64{}
	for _, header := range []string{tenantHeader, noHeader} {
		addr, _ := startLineEngine(t, noReply)
		front := newFrontEnd(t, func(s *policy.Settings) {
			s.Replicas = 1
			s.Tenants = []policy.Tenant{{Name: "north", Quota: 500, Share: 1}}
		}).serveHTTP(addr)
		for n := 1; n <= requests; n++ {
			connectHTTP(t, front.addr).send(withID(queryRequest("lookup", header), numberedID(n)))
			front.awaitCount("requests.accepted.", int64(n))
		}
		started[header] = front.count("attempts.started.")
	}
	const minRatio = 1.5 // ratio of the full limit to the part of it for requests beyond a quota
	within := started[tenantHeader]
	beyond := started[noHeader]
	if float64(within) < minRatio*float64(beyond) {
		t.Errorf("%d attempts within the quota, %d beyond; want a ratio of %v at least", within, beyond, minRatio)
	}
}

// Requests with the same ordering key run one at a time, in the order of their arrival. If a client disconnects while
// its request is queued, the request is not forwarded.
func TestAdmission_RequestsOfOneOrderingKeyRunOneAtATime(t *testing.T) {
	running := make(chan string, seenCapacity)
	finish := make(chan string)
	addr := listen(t, func(conn net.Conn) {
		go func() {
			for id := range finish {
				writeEmptyResult(conn, id)
			}
		}()
		readRequestIDs(conn, func(id string) bool {
			running <- id
			return true
		})
	})
	front := newFrontEnd(t, func(s *policy.Settings) {
		for i := range s.Classes {
			s.Classes[i].Ordered = true
		}
	})
	front.serveHTTP(addr)
	request := withWait(queryRequest("lookup", "Req-Key: k\r\n"), longWait)
	send := func(number int) *httpClient {
		client := connectHTTP(t, front.addr)
		client.send(withID(request, numberedID(number)))
		front.awaitCount("requests.accepted.", int64(number))
		return client
	}
	first := send(1)
	assertEqual(t, "first at the engine", await(t, running), numberedID(1))
	disconnecting := send(2)
	last := send(3)
	front.assertCount("attempts.started.", 1)
	disconnecting.close()
	front.awaitCount("requests.disconnected.", 1)
	finish <- numberedID(1)
	assertEqual(t, "first response", first.receive(), emptyResult)
	assertEqual(t, "next at the engine", await(t, running), numberedID(3))
	finish <- numberedID(3)
	assertEqual(t, "last response", last.receive(), emptyResult)
}
