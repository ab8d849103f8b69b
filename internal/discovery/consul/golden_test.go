package consul_test

import (
	"bufio"
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"flaxrelay/internal/discovery/consul"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/metrics"
	"flaxrelay/policy"
)

var update = flag.Bool("update", false, "write the golden file anew")

const (
	patience   = 10 * time.Second
	goldenFile = "testdata/golden/exchange.txt"
	catalog    = "/v1/catalog/service/"
	health     = "/v1/health/service/"
)

var states = map[policy.EngineState]string{policy.EngineReady: "ready", policy.EngineDraining: "draining", policy.EngineRemoved: "gone"}

// events words what is told of the engines, one line each.
type events chan string

func (e events) UpdateEndpoints(mode policy.UpdateMode, list []lifecycle.Endpoint) {
	text := fmt.Sprintf("= changes %t, of %d\n", mode == policy.UpdateDelta, len(list))
	for _, one := range list {
		text += fmt.Sprintf("= %s at %s, zone %q, kind %q, %s, late start %t at %v\n",
			one.ID, one.Address, one.Zone, one.Kind, states[one.State], one.StartKnown, one.StartedAt)
	}
	e <- text
}

// agent is a scripted Consul agent. Queries on the two paths come side by side, and on
// any connection: each path has its own answers and its own record.
type agent struct {
	mu      sync.Mutex
	logs    map[string]*bytes.Buffer
	answers map[string]chan string
	asked   map[string]chan struct{}
}

// port is the only part of a request that differs from run to run.
var port = regexp.MustCompile(`(?m)^Host: 127\.0\.0\.1:[0-9]+\r$`)

func (a *agent) serve(conn net.Conn) {
	defer conn.Close()
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
		path := health
		if strings.Contains(request, catalog) {
			path = catalog
		}
		a.note(path, ">", port.ReplaceAllString(request, "Host: 127.0.0.1:PORT\r"))
		a.asked[path] <- struct{}{}
		answer, ok := <-a.answers[path]
		if !ok {
			return
		}
		a.note(path, "<", answer)
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

func (a *agent) note(path, side, text string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	fmt.Fprintf(a.logs[path], "%s %q\n", side, text)
}

func answer(status string, index, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nX-Consul-Index: %s\r\nContent-Length: %d\r\n\r\n%s", status, index, len(body), body)
}

func registered(services ...string) string { return "[" + strings.Join(services, ",") + "]" }

const (
	one = `{"Node":"n1","Address":"127.0.0.1","Datacenter":"dc1","ServiceID":"e1","ServicePort":70,
		"ServiceMeta":{"kind":"std-8","boot_ms":"5000"},"NodeMeta":null}`
	two = `{"Node":"n2","Address":"127.0.0.2","Datacenter":"dc1","ServiceID":"e2","ServiceAddress":"127.0.0.9","ServicePort":71,
		"ServiceMeta":{"zone":"hall-b"},"NodeMeta":{"kind":"std-4"}}`
	noPort = `{"Node":"n3","Address":"127.0.0.3","ServiceID":"e3","ServicePort":0}`
	unsaid = `{"Node":"n4","Address":"127.0.0.4","ServiceID":"e4","ServicePort":72}`
)

func checked(node, service, meta, checks string) string {
	return fmt.Sprintf(`{"Node":{"Node":%q},"Service":{"ID":%q,"Meta":{%s}},"Checks":[%s]}`, node, service, meta, checks)
}

const (
	passing     = `{"CheckID":"serf","Status":"passing"}`
	critical    = `{"CheckID":"serf","Status":"critical"}`
	maintenance = `{"CheckID":"_service_maintenance:e1","Status":"critical"}`
	nodeDown    = `{"CheckID":"_node_maintenance","Status":"critical"}`
)

// steps are the answers in their order, and whether an event comes of each.
var steps = []struct {
	path, answer string
	told         bool
}{
	{catalog, answer("200 OK", "7", registered(one, two, noPort, unsaid)), false},
	{health, answer("200 OK", "9", registered(checked("n1", "e1", "", passing), checked("n2", "e2", `"draining":"true"`, passing))), true},
	{health, answer("200 OK", "9", registered()), false}, // the wait was over: no news
	{health, answer("200 OK", "10", registered(checked("n1", "e1", "", maintenance), checked("n2", "e2", "", critical))), true},
	{health, answer("500 Internal Server Error", "11", "no leader"), false},
	{health, answer("200 OK", "x", "[]"), false},
	{health, answer("200 OK", "11", "{"), false},
	{health, answer("200 OK", "12", registered(checked("n1", "e1", "", nodeDown), checked("n2", "e2", "", passing))), true},
	{health, answer("200 OK", "3", registered(checked("n1", "e1", "", passing), checked("n2", "e2", "", passing))), true}, // restored
	{health, answer("200 OK", "0", registered(checked("n1", "e1", "", critical), checked("n2", "e2", "", passing))), false},
	{catalog, answer("200 OK", "8", registered(two)), true},
}

// All requests are held byte for byte (but for the port in Host), and the events that come of the answers.
func TestGoldenExchange(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	defer listener.Close()
	a := &agent{
		logs:    map[string]*bytes.Buffer{catalog: {}, health: {}},
		answers: map[string]chan string{catalog: make(chan string), health: make(chan string)},
		asked:   map[string]chan struct{}{catalog: make(chan struct{}, 100), health: make(chan struct{}, 100)},
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go a.serve(conn)
		}
	}()
	told := make(events, 10)
	var owner sync.Mutex
	post := func(f func()) { owner.Lock(); defer owner.Unlock(); f() }
	follower := consul.New(post, told, metrics.New(), slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	opts := consul.Options{Address: listener.Addr().String(), Service: "stock-engine", Token: "secret", Zone: "hall-a", Kind: "std-2"}
	post(func() { follower.Watch(ctx, opts) })

	var log bytes.Buffer
	wait(t, a.asked[catalog])
	wait(t, a.asked[health])
	for n, step := range steps {
		a.answers[step.path] <- step.answer
		wait(t, a.asked[step.path]) // the next query: the answer has been taken
		text := "= nothing\n"
		select {
		case text = <-told:
		default:
		}
		if step.told != (text != "= nothing\n") {
			t.Errorf("step %d: told %q", n, text)
		}
		fmt.Fprintf(&log, "after step %d on %s\n%s", n, step.path, text)
	}
	a.mu.Lock()
	for _, path := range []string{catalog, health} {
		fmt.Fprintf(&log, "%s\n%s", path, a.logs[path])
	}
	a.mu.Unlock()
	close(a.answers[catalog])
	close(a.answers[health])
	compareGolden(t, log.Bytes())
}

func wait(t *testing.T, c chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(patience):
		t.Fatal("no further query came")
	}
}

func compareGolden(t *testing.T, got []byte) {
	t.Helper()
	if *update {
		must(t, os.MkdirAll("testdata/golden", 0o700))
		must(t, os.WriteFile(goldenFile, got, 0o600))
	}
	want, err := os.ReadFile(goldenFile)
	must(t, err)
	if !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%s\nwant\n%s", goldenFile, got, want)
	}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
