package pgserver

import (
	"encoding/json"
	"log/slog"
	"os"
	"strings"
	"testing"

	"flaxrelay/internal/config"
	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/growthtest"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/metrics"
	"flaxrelay/internal/pgproto"
	"flaxrelay/internal/stmtstats"
)

// newIdleServer returns a server whose event loop does not run.
func newIdleServer(t *testing.T) *Server {
	t.Helper()
	raw, err := os.ReadFile("../../../deploy/postgres-settings.json")
	if err != nil {
		t.Fatal(err)
	}
	var settings config.Settings
	if err := json.Unmarshal(raw, &settings); err != nil {
		t.Fatal(err)
	}
	loop, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	const (
		seed       = 1
		cacheBytes = 1 << 20
	)
	counters := metrics.New()
	log := slog.New(slog.DiscardHandler)
	dispatcher, err := lifecycle.NewDispatcher(settings.Policy, seed, loop, loop.Timers, counters, log)
	if err != nil {
		t.Fatal(err)
	}
	shapes := stmtstats.Settings{MaxBytes: cacheBytes}
	estimator, err := stmtstats.NewService(shapes, settings.Policy.Classes, loop, counters, log)
	if err != nil {
		t.Fatal(err)
	}
	options := Options{
		DefaultClass: "lookup", WriteClass: "write", Estimator: estimator,
		Rules: []Rule{{Prefix: "insert into", Class: "load", KeyParameter: 1}},
	}
	return New(loop, dispatcher, options, counters)
}

// checkStatementIsLinear checks that a Query and a Parse with such a text take a time that is linear in its length.
func checkStatementIsLinear(t *testing.T, server *Server, prefix, pattern string) {
	t.Helper()
	const length = 8 << 10
	growthtest.CheckLinear(t, length, func(length int) func() {
		query := prefix + strings.Repeat(pattern, length/len(pattern))
		connection := newConnection(server, nil, 1)
		body := pgproto.CString(query)
		parseBody := append(append(pgproto.CString("s"), body...), noParameterTypes...)
		return func() {
			_, _ = connection.simple.serve(body)
			_ = connection.extended.parse(parseBody)
		}
	})
}

// Guards against a statement that stops the front end for all clients: the class, the effect and the settings of a
// statement are read from its text.
func TestStatement_TakesLinearTime(t *testing.T) {
	server := newIdleServer(t)
	for _, prefix := range []string{"", "SELECT ", "SET statement_timeout ", "/*", "insert into t values (1), "} {
		for _, pattern := range []string{
			"+-", "=", " ", "; ", "SESSION ", "class=", ",", "key=$1 ", "'", "(1), ", "a", "/* */", "--\n",
		} {
			t.Run(prefix+pattern, func(t *testing.T) { checkStatementIsLinear(t, server, prefix, pattern) })
		}
	}
}

// messagesOf returns messages of some size bytes in total: the same ones again and again.
func messagesOf(size int, messages ...[]byte) (input []byte) {
	for len(input) < size {
		for _, message := range messages {
			input = append(input, message...)
		}
	}
	return input
}

// Guards against messages that stop the front end because each one takes a time that grows with the messages before it.
func TestMessages_TakeLinearTime(t *testing.T) {
	message := func(kind byte, body ...[]byte) []byte { return pgproto.AppendMessage(nil, kind, body...) }
	name := pgproto.CString("s")
	unnamed := pgproto.CString("")
	parse := message(pgproto.ClientParse, unnamed, pgproto.CString(""), noParameterTypes)
	bind := message(pgproto.ClientBind, unnamed, unnamed, emptyBind)
	execute := message(pgproto.ClientExecute, executeBody(""))
	sync := message(pgproto.ClientSync)
	server := newIdleServer(t)
	for name, messages := range map[string][][]byte{
		"Flush":             {message(pgproto.ClientFlush)},
		"Sync":              {sync},
		"Parse":             {parse},
		"Parse with a name": {message(pgproto.ClientParse, name, pgproto.CString("SELECT 1"), noParameterTypes)},
		"Bind":              {parse, bind},
		"Execute":           {parse, bind, execute, sync},
		"Describe and Close": {
			parse, message(pgproto.ClientDescribe, describeBody('S', "")),
			message(pgproto.ClientClose, describeBody('S', "")),
		},
		"empty Query":   {message(pgproto.ClientQuery, pgproto.CString(";"))},
		"invalid Query": {message(pgproto.ClientQuery, pgproto.CString("BEGIN"))},
		"SET":           {message(pgproto.ClientQuery, pgproto.CString("SET statement_timeout = 5"))},
	} {
		t.Run(name, func(t *testing.T) {
			const size = 8 << 10
			growthtest.CheckLinear(t, size, func(size int) func() {
				connection := newConnection(server, nil, 1)
				connection.state = stateReady
				input := messagesOf(size, messages...)
				return func() {
					for served := 0; served < len(input); {
						size, err := connection.serveSessionMessage(input[served:])
						if err != nil || size == 0 {
							t.Errorf("size %d, %v", size, err)
							return
						}
						served += size
					}
				}
			})
		})
	}
}

// Guards against a Bind or a startup packet whose fields take a time that grows faster than their number.
func TestFields_TakeLinearTime(t *testing.T) {
	const values = 4 << 10
	growthtest.CheckLinear(t, values, func(values int) func() {
		count := []byte{byte(values >> 8), byte(values)}
		body := append([]byte{0, 0}, count...)
		for range values {
			body = append(body, 0xff, 0xff, 0xff, 0xff)
		}
		body = append(body, 0, 0)
		return func() { _, _, _ = readBind(&pgproto.Reader{Unread: body}) }
	})
	const size = 1 << 10
	for _, option := range []string{"-c ", "--a=b ", "-c a=b ", "-", " "} {
		growthtest.CheckLinear(t, size, func(size int) func() {
			body := packet("user", "desk", "options", strings.Repeat(option, size/len(option)))
			return func() { _ = (&startupPhase{}).readPacket(pgproto.ProtocolVersion, body) }
		})
	}
}
