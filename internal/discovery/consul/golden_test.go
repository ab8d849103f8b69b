package consul

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"regexp"
	"strings"
	"sync"
	"testing"

	"flaxrelay/internal/discovery/discoverytest"
	"flaxrelay/internal/golden"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/tcptest"
	"flaxrelay/policy"
)

const goldenFile = "testdata/golden/exchange.txt"

// transcript is a sink that sends each notification as text, with one line for each engine.
type transcript chan string

func (c transcript) UpdateEndpoints(mode policy.UpdateMode, engines []lifecycle.Endpoint) {
	text := fmt.Sprintf("= changes %t, of %d\n", mode == policy.UpdateDelta, len(engines))
	for _, engine := range engines {
		text += fmt.Sprintf("= %s at %s, zone %q, kind %q, %s, late start %t at %v\n",
			engine.ID, engine.Address, engine.Zone, engine.Kind, discoverytest.StateNames[engine.State],
			engine.StartKnown, engine.StartedAt)
	}
	c <- text
}

// scriptedAgent is a Consul agent that sends predefined responses. The queries on its two paths are
// concurrent and may use any connection, so each path has its own responses and its own log.
type scriptedAgent struct {
	mu        sync.Mutex
	logs      map[string]*bytes.Buffer // guarded by mu
	responses map[string]chan string
	queried   map[string]chan struct{}
}

func newScriptedAgent() *scriptedAgent {
	agent := &scriptedAgent{
		logs:      map[string]*bytes.Buffer{},
		responses: map[string]chan string{},
		queried:   map[string]chan struct{}{},
	}
	for _, path := range []string{catalogPath, healthPath} {
		agent.logs[path] = &bytes.Buffer{}
		agent.responses[path] = make(chan string)
		agent.queried[path] = make(chan struct{}, 100)
	}
	return agent
}

// hostHeader matches the header with the port, which is the only part of a request that differs between runs.
var hostHeader = regexp.MustCompile(`(?m)^Host: 127\.0\.0\.1:[0-9]+\r$`)

func (a *scriptedAgent) serve(conn net.Conn) {
	in := bufio.NewReader(conn)
	for {
		var request string
		for !strings.HasSuffix(request, "\r\n\r\n") {
			line, err := in.ReadString('\n')
			if err != nil {
				return
			}
			request += line
		}
		path := healthPath
		if strings.Contains(request, catalogPath) {
			path = catalogPath
		}
		a.record(path, ">", hostHeader.ReplaceAllString(request, "Host: 127.0.0.1:PORT\r"))
		a.queried[path] <- struct{}{}
		response, open := <-a.responses[path]
		if !open {
			return
		}
		a.record(path, "<", response)
		if _, err := io.WriteString(conn, response); err != nil {
			return
		}
	}
}

func (a *scriptedAgent) record(path, side, text string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	fmt.Fprintf(a.logs[path], "%s %q\n", side, text)
}

func response(status, index, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nX-Consul-Index: %s\r\nContent-Length: %d\r\n\r\n%s",
		status, index, len(body), body)
}

func jsonList(elements ...string) string { return "[" + strings.Join(elements, ",") + "]" }

const (
	firstEngine = `{"Node":"n1","Address":"127.0.0.1","Datacenter":"dc1","ServiceID":"e1","ServicePort":70,
		"ServiceMeta":{"kind":"std-8","boot_ms":"5000"},"NodeMeta":null}`
	secondEngine = `{"Node":"n2","Address":"127.0.0.2","Datacenter":"dc1","ServiceID":"e2",` +
		`"ServiceAddress":"127.0.0.9","ServicePort":71,
		"ServiceMeta":{"zone":"hall-b"},"NodeMeta":{"kind":"std-4"}}`
	engineWithoutPort   = `{"Node":"n3","Address":"127.0.0.3","ServiceID":"e3","ServicePort":0}`
	engineWithoutHealth = `{"Node":"n4","Address":"127.0.0.4","ServiceID":"e4","ServicePort":72}`
)

func health(node, service, meta, checks string) string {
	return fmt.Sprintf(`{"Node":{"Node":%q},"Service":{"ID":%q,"Meta":{%s}},"Checks":[%s]}`,
		node, service, meta, checks)
}

const (
	passing         = `{"CheckID":"serf","Status":"passing"}`
	critical        = `{"CheckID":"serf","Status":"critical"}`
	maintenance     = `{"CheckID":"_service_maintenance:e1","Status":"critical"}`
	nodeMaintenance = `{"CheckID":"_node_maintenance","Status":"critical"}`
)

// steps are the responses in the order in which they are sent. If notified is true, the response makes
// the watcher notify the sink.
var steps = []struct {
	path, response string
	notified       bool
}{
	{catalogPath, response("200 OK", "7", jsonList(
		firstEngine, secondEngine, engineWithoutPort, engineWithoutHealth)), false},
	{healthPath, response("200 OK", "9", jsonList(
		health("n1", "e1", "", passing), health("n2", "e2", `"draining":"true"`, passing))), true},
	{healthPath, response("200 OK", "9", jsonList()), false}, // no change within the wait
	{healthPath, response("200 OK", "10", jsonList(
		health("n1", "e1", "", maintenance), health("n2", "e2", "", critical))), true},
	{healthPath, response("500 Internal Server Error", "11", "no leader"), false},
	{healthPath, response("200 OK", "x", "[]"), false},
	{healthPath, response("200 OK", "11", "{"), false},
	{healthPath, response("200 OK", "12", jsonList(
		health("n1", "e1", "", nodeMaintenance), health("n2", "e2", "", passing))), true},
	{healthPath, response("200 OK", "3", jsonList( // the index goes back: Consul was restored from a backup
		health("n1", "e1", "", passing), health("n2", "e2", "", passing))), true},
	{healthPath, response("200 OK", "0", jsonList(
		health("n1", "e1", "", critical), health("n2", "e2", "", passing))), false}, // the query had index 0 too
	{catalogPath, response("200 OK", "8", jsonList(secondEngine)), true},
}

// The golden file contains the bytes of all requests, except for the port in Host, and the notification
// after each response.
func TestWatcher_ExchangeMatchesTheGoldenFile(t *testing.T) {
	listener := tcptest.Listen(t, tcptest.AnyLoopbackPort)
	agent := newScriptedAgent()
	go tcptest.Serve(listener, agent.serve)
	notifications := make(transcript, 10)
	startWatcher(t, Options{
		Address: listener.Addr().String(), Service: "stock-engine", Token: "secret", Zone: "hall-a", Kind: "std-2",
	}, notifications)

	var log bytes.Buffer
	discoverytest.Receive(t, agent.queried[catalogPath], "first query")
	discoverytest.Receive(t, agent.queried[healthPath], "first query")
	for i, step := range steps {
		agent.responses[step.path] <- step.response
		discoverytest.Receive(t, agent.queried[step.path], "the next query") // the response has been handled
		text := "= nothing\n"
		select {
		case text = <-notifications:
		default:
		}
		if step.notified != (text != "= nothing\n") {
			t.Errorf("step %d: notified of %q", i, text)
		}
		fmt.Fprintf(&log, "after step %d on %s\n%s", i, step.path, text)
	}
	agent.mu.Lock()
	for _, path := range []string{catalogPath, healthPath} {
		fmt.Fprintf(&log, "%s\n%s", path, agent.logs[path])
	}
	agent.mu.Unlock()
	close(agent.responses[catalogPath])
	close(agent.responses[healthPath])
	golden.Compare(t, goldenFile, log.Bytes())
}
