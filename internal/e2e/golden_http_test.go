package e2e

import (
	"strings"
	"testing"

	"flaxrelay/policy"
)

// The cases are requests that an engine serves, requests that are accepted and then rejected or failed, and requests
// for which the front end needs no engine: health checks, and requests for the further pages of a result.
func TestGoldenHTTP_EachRequestHasItsRecordedResponse(t *testing.T) {
	const token = "Req-Token: k-1\r\n"
	for name, requests := range map[string][]string{
		"health":         {healthRequest},
		"served":         {queryRequest("lookup", "")},
		"served-no-rows": {tableRequest("lookup", "no_rows", "")},
		"served-load": {
			tableRequest("load", "orders", token+"Req-Kb: 96\r\nReq-Cost: 820.0\r\nReq-Retry: 1\r\n"),
		},
		"served-lower-case-field": {strings.Replace(queryRequest("lookup", ""), "Req-Id", "req-id", 1)},
		"served-twice":            {queryRequest("lookup", ""), tableRequest("report", "orders", "")},
		"several-pages": {
			tableRequest("report", "several_pages", ""),
			"GET MORE HTTP/1.1\r\n\r\n",
			"GET MORE HTTP/1.1\r\n\r\n",
		},
		"delete-open-path": {
			tableRequest("report", "several_pages", ""),
			"DELETE MORE HTTP/1.1\r\n\r\n",
			healthRequest,
		},
		"delete-twice": {
			tableRequest("report", "several_pages", ""),
			"DELETE MORE HTTP/1.1\r\n\r\n",
			"DELETE /more/unknown-1/1 HTTP/1.1\r\n\r\n",
		},
		"path-of-nothing":   {"GET /more/unknown-1/1 HTTP/1.1\r\n\r\n"},
		"path-without-part": {"GET /more/ HTTP/1.1\r\n\r\n"},
		"refused-load":      {tableRequest("load", "broken", token)},
		"failed-write":      {tableRequest("write", "broken", "")},
		"failed-unreadable": {tableRequest("write", "unreadable", "")},
		"failed-reset":      {tableRequest("write", "hangs_up", "")},
		"refused-full":      {tableRequest("write", "turned_away", "")},
	} {
		t.Run(name, func(t *testing.T) {
			addr, _ := startLineEngine(t, goldenEngine)
			recorder := newTranscript(t).recordHTTP("", startHTTP(t, addr).addr)
			for _, request := range requests {
				recorder.roundTrip(request)
			}
			recorder.disconnect()
			recorder.compare("http/" + name)
		})
	}
}

// Without engines, a request is rejected.
func TestGoldenHTTP_RequestIsRejectedWithoutEngines(t *testing.T) {
	recorder := newTranscript(t).recordHTTP("", startHTTP(t).addr)
	recorder.roundTrip(queryRequest("lookup", ""))
	recorder.roundTrip(healthRequest)
	recorder.disconnect()
	recorder.compare("http/refused-no-engine")
}

// If the settings forbid a Retry-After, a rejection has no header field that says when to retry.
func TestGoldenHTTP_RejectionHasNoRetryAfterWhereSettingsForbidIt(t *testing.T) {
	front := newFrontEnd(t, func(s *policy.Settings) { s.Limits.RetryAfter = false })
	recorder := newTranscript(t).recordHTTP("", front.serveHTTP().addr)
	recorder.roundTrip(queryRequest("lookup", ""))
	recorder.disconnect()
	recorder.compare("http/refused-unsaid")
}

// An engine does not respond before the client's wait is over: the request fails.
func TestGoldenHTTP_UnresponsiveEngineFailsTheRequest(t *testing.T) {
	addr, _ := startLineEngine(t, goldenEngine)
	recorder := newTranscript(t).recordHTTP("", startHTTP(t, addr).addr)
	recorder.roundTrip(withWait(tableRequest("write", "silent", ""), "100"))
	recorder.disconnect()
	recorder.compare("http/failed-timeout")
}

// A malformed request has an error response, after which its connection is closed. Requests that follow it have no
// response.
func TestGoldenHTTP_MalformedRequestEndsItsConnection(t *testing.T) {
	addr, _ := startLineEngine(t, goldenEngine)
	valid := queryRequest("lookup", "")
	with := func(header string) string { return queryRequest("lookup", header) }
	front := startHTTP(t, addr)
	recorders := map[string]*httpRecorder{}
	for name, request := range map[string]string{
		"unknown-path":          "GET /nowhere HTTP/1.1\r\n\r\n",
		"unknown-class":         tableRequest("nope", "orders", ""),
		"unknown-method":        "PATCH /rpc/lookup HTTP/1.1\r\n\r\n",
		"method-of-health":      "DELETE /health HTTP/1.1\r\n\r\n",
		"method-of-more":        "POST /more/x-1/1 HTTP/1.1\r\nContent-Length: 1\r\n\r\nx",
		"get-of-class":          "GET /rpc/lookup HTTP/1.1\r\n\r\n",
		"no-id":                 strings.Replace(valid, "Req-Id: "+requestID+"\r\n", "", 1),
		"short-id":              strings.Replace(valid, requestID, requestID[1:], 1),
		"id-not-hex":            strings.Replace(valid, requestID, "g"+requestID[1:], 1),
		"id-twice":              with("Req-Id: " + requestID + "\r\n"),
		"no-wait":               strings.Replace(valid, "Req-Wait-Ms: "+defaultWait+"\r\n", "", 1),
		"wait-no-number":        strings.Replace(valid, "2000", "NaN", 1),
		"wait-zero":             strings.Replace(valid, "2000", "0", 1),
		"wait-too-long":         strings.Replace(valid, "2000", "600001", 1),
		"length-no-number":      "POST /rpc/lookup HTTP/1.1\r\nContent-Length: x\r\n\r\n",
		"length-negative":       "POST /rpc/lookup HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
		"length-signed":         "POST /rpc/lookup HTTP/1.1\r\nContent-Length: +1\r\n\r\nx",
		"length-past-64-bits":   "POST /rpc/lookup HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
		"length-huge":           "POST /rpc/lookup HTTP/1.1\r\nContent-Length: 98305\r\n\r\n",
		"length-zero":           "POST /rpc/lookup HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
		"length-missing":        "POST /rpc/lookup HTTP/1.1\r\n\r\n",
		"length-twice":          with("Content-Length: 1\r\n"),
		"length-too-small":      valid + " and more",
		"length-and-encoding":   with("Transfer-Encoding: chunked\r\n"),
		"encoding":              "POST /rpc/lookup HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"header-line-too-long":  "GET /health HTTP/1.1\r\nHost: " + strings.Repeat("x", 17000),
		"request-line-too-long": "GET /" + strings.Repeat("x", 17000),
		"request-line-words":    "GET /health\r\n\r\n",
		"request-line-empty":    "\r\n\r\n",
		"request-line-path":     "GET health HTTP/1.1\r\n\r\n",
		"request-line-no-http":  "hello\r\n\r\n",
		"version":               "GET /health HTTP/2.0\r\n\r\n",
		"header-no-colon":       "GET /health HTTP/1.1\r\nHost\r\n\r\n",
		"header-space":          "GET /health HTTP/1.1\r\nContent-Length : 1\r\n\r\n",
		"header-folded":         "GET /health HTTP/1.1\r\nHost: a\r\n b\r\n\r\n",
		"header-stray-lf":       "GET /health HTTP/1.1\r\nHost: a\nb: c\r\n\r\n",
		"header-nul":            "GET /health HTTP/1.1\r\nHost: a\x00\r\n\r\n",
		"statement-no-text":     strings.Replace(valid, "day", "d\xffy", 1),
		"statement-nul":         strings.Replace(valid, "day", "d\x00y", 1),
		"retry-no-number":       with("Req-Retry: x\r\n"),
		"cost-zero":             with("Req-Cost: 0\r\n"),
		"memory-no-number":      with("Req-Kb: much\r\n"),
		"load-no-token":         tableRequest("load", "orders", ""),
		"load-bad-token":        tableRequest("load", "orders", "Req-Token: a,b\r\n"),
		"followed-by-others":    tableRequest("nope", "orders", "") + healthRequest + healthRequest,
	} {
		recorder := newTranscript(t).recordHTTP("", front.addr)
		recorder.roundTrip(request)
		recorders[name] = recorder
	}
	for name, recorder := range recorders { // the front end delays each close, so that the client can read the response
		recorder.recordClose()
		recorder.compare("http/bad-" + name)
	}
	front.assertCount("requests.accepted.", 0)
}

// Requests that arrive in one piece have their responses one after the other, in the order of the requests.
func TestGoldenHTTP_PipelinedRequestsHaveResponsesInOrder(t *testing.T) {
	addr, _ := startLineEngine(t, goldenEngine)
	recorder := newTranscript(t).recordHTTP("", startHTTP(t, addr).addr)
	recorder.send(queryRequest("lookup", "") + healthRequest + tableRequest("report", "no_rows", "") + healthRequest)
	for range 4 {
		recorder.receive()
	}
	recorder.disconnect()
	recorder.compare("http/pipelined")
}

// The cases are requests that ask for their connection to be closed after the response.
func TestGoldenHTTP_ConnectionClosesAfterTheResponseOnRequest(t *testing.T) {
	addr, _ := startLineEngine(t, goldenEngine)
	front := startHTTP(t, addr)
	for name, request := range map[string]string{
		"http-1.0":        "GET /health HTTP/1.0\r\n\r\n",
		"http-1.0-served": strings.Replace(queryRequest("lookup", ""), "HTTP/1.1", "HTTP/1.0", 1),
		"close":           "GET /health HTTP/1.1\r\nConnection: Close\r\n\r\n",
		"close-served":    tableRequest("lookup", "orders", "Connection: close\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			recorder := newTranscript(t).recordHTTP("", front.addr)
			recorder.send(request)
			recorder.receive()
			recorder.recordClose()
			recorder.compare("http/last-" + name)
		})
	}
}

// A second request with the id of a request in flight is rejected, and the first request continues.
func TestGoldenHTTP_DuplicateOfAnIDInFlightIsRejected(t *testing.T) {
	release := make(chan struct{})
	addr, seen := startLineEngine(t, func(line string) string {
		<-release
		return goldenEngine(line)
	})
	tr := newTranscript(t)
	front := startHTTP(t, addr)
	first := tr.recordHTTP("1", front.addr)
	second := tr.recordHTTP("2", front.addr)
	first.send(queryRequest("lookup", ""))
	front.awaitCount("attempts.started.", 1)
	second.roundTrip(queryRequest("lookup", ""))
	second.recordClose()
	close(release)
	first.receive()
	await(t, seen)
	first.disconnect()
	tr.compare("http/bad-open-id")
}

// A graceful shutdown closes idle connections at once, and other connections after their responses.
func TestGoldenHTTP_GracefulShutdownClosesConnectionsAfterTheirResponses(t *testing.T) {
	release := make(chan struct{})
	addr, _ := startLineEngine(t, func(line string) string {
		if strings.Contains(line, "orders") {
			<-release
		}
		return goldenEngine(line)
	})
	tr := newTranscript(t)
	front := startHTTP(t, addr)
	idle := tr.recordHTTP("idle", front.addr)
	fetching := tr.recordHTTP("fetching", front.addr)
	busy := tr.recordHTTP("busy", front.addr)
	idle.roundTrip(healthRequest)
	fetching.roundTrip(tableRequest("report", "several_pages", ""))
	busy.send(queryRequest("lookup", ""))
	front.awaitCount("attempts.started.", 2)
	front.onLoop(front.server.Drain)
	tr.addEvent("", "the drain begins")
	idle.recordClose()
	fetching.roundTrip("GET MORE HTTP/1.1\r\n\r\n")
	fetching.roundTrip("GET MORE HTTP/1.1\r\n\r\n")
	fetching.recordClose()
	close(release)
	busy.receive()
	busy.recordClose()
	late := tr.recordHTTP("late", front.addr)
	late.roundTrip(healthRequest)
	late.recordClose()
	tr.compare("http/drain")
}
