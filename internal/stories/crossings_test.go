package stories

import (
	"io"
	"runtime"
	"testing"
)

// arrive writes text and holds the loop until the poller has read it: what the loop
// does next on its own crosses with it.
func (g *gateway) arrive(k *httpClient, text string) {
	g.t.Helper()
	before := g.loop.Buffered()
	if _, err := io.WriteString(k.c, text); err != nil {
		g.t.Error(err)
	}
	for g.loop.Buffered() < before+int64(len(text)) {
		runtime.Gosched()
	}
}

// A call arrives on a resting connection in the moment in which a planned stop closes
// those: it is answered, once, and its connection ends behind the answer.
func TestCallCrossesDrain(t *testing.T) {
	addr, seen := lineEngine(t, func(line string) string { return done(line, "a\tb\tc\n") })
	g := platform(t, addr)
	whole, half, rest := httpConnect(t, g.addr), httpConnect(t, g.addr), httpConnect(t, g.addr)
	for _, k := range []*httpClient{whole, half, rest} {
		k.call("GET /health HTTP/1.1\r\n\r\n")
	}
	text := post("lookup", "")
	g.do(func() {
		g.arrive(whole, text)
		g.arrive(half, "POST /rpc/lookup HTT")
		g.rest.Drain()
	})
	got, _ := whole.call("")
	same(t, "the call that came just before", got, `200 {"result":[["a","b","c"]]}`)
	got, _ = half.call(text[len("POST /rpc/lookup HTT"):])
	same(t, "the call of which a part had come", got, `200 {"result":[["a","b","c"]]}`)
	for _, k := range []*httpClient{whole, half, rest} {
		if _, err := k.r.ReadByte(); err != io.EOF {
			t.Errorf("a connection goes on: %v", err)
		}
	}
	await(t, seen)
	await(t, seen)
	if n := g.count("sent."); n != 2 {
		t.Errorf("%d sent, want 2", n)
	}
	if n := g.count("gone."); n != 0 {
		t.Errorf("%d clients given up", n)
	}
}
