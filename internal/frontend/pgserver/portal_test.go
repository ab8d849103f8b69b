package pgserver

import (
	"testing"

	"flaxrelay/internal/memorybudget"
	"flaxrelay/internal/pgproto"
)

// dataRow returns a DataRow message with one column.
func dataRow(value string) []byte {
	return pgproto.AppendMessage(nil, 'D', []byte{0, 1}, pgproto.Int32(len(value)), []byte(value))
}

// resultOfRows returns the result of a SELECT with one column.
func resultOfRows(values ...string) *pgproto.Result {
	result := &pgproto.Result{RowDescription: []byte{0, 1}, RowCount: len(values), CommandTag: "SELECT 2"}
	for _, value := range values {
		result.DataRows = append(result.DataRows, dataRow(value)...)
	}
	return result
}

// takeMessageKinds returns the kinds of the messages in the output, and empties it.
func takeMessageKinds(t *testing.T, output *messageWriter) string {
	t.Helper()
	text := ""
	for unread := output.buffer; len(unread) > 0; {
		kind, _, size, err := pgproto.ParseMessage(unread, len(unread))
		if err != nil || size == 0 {
			t.Fatalf("the output is not a sequence of messages: %q, %v", output.buffer, err)
		}
		text += string(kind)
		unread = unread[size:]
	}
	output.discard()
	return text
}

// A portal runs once. It sends as many rows as an Execute requests, and its completion after the last row.
func TestPortal_SendsRowsInPartsAndThenItsCompletion(t *testing.T) {
	insert := &pgproto.Result{CommandTag: "INSERT 0 1"}
	emptyQuery := &pgproto.Result{EmptyQuery: true}
	for name, tt := range map[string]struct {
		result  *pgproto.Result
		maxRows []int
		want    []string // kinds of messages; "55000": an error with this code
		state   portalState
	}{
		"all":              {resultOfRows("a", "b"), []int{allRows}, []string{"DDC"}, portalCompleted},
		"negative":         {resultOfRows("a", "b"), []int{-1}, []string{"DDC"}, portalCompleted},
		"in parts":         {resultOfRows("a", "b"), []int{1, 2}, []string{"Ds", "DC"}, portalCompleted},
		"suspended":        {resultOfRows("a", "b"), []int{2}, []string{"DDs"}, portalSuspended},
		"nothing left":     {resultOfRows("a", "b"), []int{2, 1}, []string{"DDs", "C"}, portalCompleted},
		"after completion": {resultOfRows("a", "b"), []int{allRows, allRows}, []string{"DDC", "C"}, portalCompleted},
		"without rows":     {insert, []int{1, allRows}, []string{"C", "55000"}, portalCompleted},
		"empty response":   {emptyQuery, []int{allRows, 1}, []string{"I", "55000"}, portalCompleted},
	} {
		t.Run(name, func(t *testing.T) {
			var output messageWriter
			p := portal{statement: &statement{}}
			p.setResult(tt.result)
			for i, maxRows := range tt.maxRows {
				failure := p.sendRows(&output, maxRows)
				got := takeMessageKinds(t, &output)
				if failure != nil {
					got += failure.Code
				}
				if got != tt.want[i] {
					t.Errorf("execution %d: got %q, want %q", i+1, got, tt.want[i])
				}
			}
			if p.state != tt.state {
				t.Errorf("the portal is in state %d, want %d", p.state, tt.state)
			}
		})
	}
}

// The command tag contains the number of rows that the latest Execute has sent.
func TestCommandTag_CountsTheRowsOfOneExecute(t *testing.T) {
	for _, tt := range []struct {
		tag   string
		count int
		want  string
	}{
		{"SELECT 3", 3, "SELECT 3"},
		{"SELECT 3", 1, "SELECT 1"},
		{"CREATE", 0, "CREATE"},
	} {
		const rows = 3
		got := commandTag(&pgproto.Result{CommandTag: tt.tag, RowCount: rows}, tt.count)
		if got != tt.want {
			t.Errorf("%s after %d rows: got %q, want %q", tt.tag, tt.count, got, tt.want)
		}
	}
}

// The limit of the budget may be lowered while portals have reserved more. An Execute that leaves no rows in its portal
// is then still served, with one final message.
func TestPortalSet_ExecuteThatLeavesNoRowsNeedsNoBudget(t *testing.T) {
	const (
		reserved = 10
		lowered  = 5
	)
	var budget memorybudget.Budget
	budget.SetLimit(reserved)
	if !budget.TryReserve(reserved) {
		t.Fatal("the budget is smaller than its limit")
	}
	budget.SetLimit(lowered)
	for name, tt := range map[string]struct {
		result *pgproto.Result
		want   []string // kinds of the messages, or the code of the error, of each Execute
	}{
		"rows":    {resultOfRows(), []string{"C", "C"}},
		"no rows": {&pgproto.Result{CommandTag: "INSERT 0 1"}, []string{"C", codeObjectNotInState}},
	} {
		var output messageWriter
		portals := portalSet{byName: map[string]*portal{}, budget: &budget, memory: newTestMemory()}
		p := &portal{statement: &statement{}}
		p.setResult(tt.result)
		for _, want := range tt.want {
			failure := portals.sendFurtherRows(p, &output, allRows)
			got := takeMessageKinds(t, &output)
			if failure != nil {
				got += failure.Code
			}
			if got != want {
				t.Errorf("%s: got %q, want %q", name, got, want)
			}
		}
	}
}

// testPortals returns a set of portals and its budget, which is enough for one row.
func testPortals(t *testing.T) (portals *portalSet, budget *memorybudget.Budget) {
	t.Helper()
	budget = &memorybudget.Budget{}
	budget.SetLimit(len(dataRow("a")))
	return &portalSet{byName: map[string]*portal{}, budget: budget, memory: newTestMemory()}, budget
}

// openAndFetchOne opens a portal and fetches the first of its two rows.
func openAndFetchOne(portals *portalSet, name string, output *messageWriter) (*portal, *pgproto.Error) {
	opened := &portal{statement: &statement{}}
	if failure := portals.open(name, opened); failure != nil {
		return nil, failure
	}
	return opened, portals.sendFirstRows(opened, resultOfRows("a", "b"), output, 1)
}

// When a portal ends, the bytes of its unsent rows are returned to the budget.
func TestPortalSet_EndedPortalReturnsItsRows(t *testing.T) {
	for name, end := range map[string]func(portals *portalSet, p *portal){
		"closed":     func(portals *portalSet, _ *portal) { portals.close("p") },
		"all closed": func(portals *portalSet, _ *portal) { portals.closeAll() },
		"replaced": func(portals *portalSet, _ *portal) {
			if failure := portals.open("p", &portal{statement: &statement{}}); failure != nil {
				t.Error(failure)
			}
		},
		"fetched": func(portals *portalSet, p *portal) {
			if failure := portals.sendFurtherRows(p, &messageWriter{}, allRows); failure != nil {
				t.Error(failure)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			var output messageWriter
			portals, budget := testPortals(t)
			opened, failure := openAndFetchOne(portals, "p", &output)
			if failure != nil {
				t.Fatal(failure)
			}
			if _, failure := openAndFetchOne(portals, "q", &output); failure == nil || failure.Code != codeOutOfMemory {
				t.Errorf("a portal that exceeds the budget: %v", failure)
			}
			end(portals, opened)
			if !budget.TryReserve(len(dataRow("a"))) {
				t.Error("the rows are still reserved")
			}
		})
	}
}

// newTestMemory returns the memory of a session that may keep no more than its allowance.
func newTestMemory() *sessionMemory { return &sessionMemory{budget: &memorybudget.Budget{}} }
