package pgserver

import (
	"testing"

	"flaxrelay/internal/metrics"
	"flaxrelay/internal/pgproto"
)

// The budget may be lowered while portals hold more than it permits. An Execute that leaves no
// rows in its portal is then still served, with one final message.
func TestPortal_ExecuteThatLeavesNoRowsNeedsNoBudget(t *testing.T) {
	const held, lowered = 10, 5
	server := &Server{counters: metrics.New()}
	server.rowBudget.SetLimit(held)
	if !server.rowBudget.TryReserve(held) {
		t.Fatal("the budget is smaller than its limit")
	}
	server.rowBudget.SetLimit(lowered)
	for name, tt := range map[string]struct {
		result *pgproto.Result
		want   []string // kinds of the messages, or the code of the error, of each Execute
	}{
		"rows":    {&pgproto.Result{RowDescription: []byte{0, 0}, CommandTag: "SELECT 0"}, []string{"C", "C"}},
		"no rows": {&pgproto.Result{CommandTag: "INSERT 0 1"}, []string{"C", codeObjectNotInState}},
	} {
		p := &portal{statement: &statement{}, result: tt.result}
		c := &connection{server: server, portals: map[string]*portal{"": p}}
		for _, want := range tt.want {
			e := c.execute(append(pgproto.CString(""), pgproto.Int32(0)...))
			got := ""
			for len(c.output) > 0 {
				kind, _, size, _ := pgproto.ParseMessage(c.output, len(c.output))
				got += string(kind)
				c.output = c.output[size:]
			}
			if e != nil {
				got += e.Code
			}
			if got != want {
				t.Errorf("%s: got %q, want %q", name, got, want)
			}
		}
	}
}
