package e2e

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"flaxrelay/internal/decision/costmodel"
	"flaxrelay/internal/metrics"
	"flaxrelay/internal/stmtstats"
)

const (
	// lookupLimit is the largest work of a lookup in milliseconds. A statement with more work is a report.
	lookupLimit = 60
	// reportTime is how long the engine works on a report, in real time. It is well above lookupLimit.
	reportTime = 150 * time.Millisecond
)

// enableStatementShapes makes a front end, which must not serve yet, learn statement shapes.
func enableStatementShapes(t *testing.T, front *frontEnd, settings stmtstats.Settings) *stmtstats.Service {
	t.Helper()
	settings.MaxBytes = 256 << 10
	settings.CostModel = costmodel.Config{
		Classes: []costmodel.Class{{Name: "lookup", MaxWorkMillis: lookupLimit}, {Name: "report"}},
	}
	classes := front.settings.Policy.Classes
	service, err := stmtstats.NewService(settings, classes, front.loop, front.counters, front.logger)
	if err != nil {
		t.Fatal(err)
	}
	front.dispatcher.SetCostObserver(service)
	front.pgOptions.Estimator = service
	return service
}

// After a few executions, the class of a statement depends on its bound values: with a short list the statement is a
// lookup, and with a long list it is a report. A comment that names a class overrides this class. A statement that may
// write is never classified by its shape.
func TestStatementShapes_ClassFollowsBoundValues(t *testing.T) {
	const (
		longListLength    = 78
		warmupExecutions  = 8 // executions with each list before their classes are counted
		countedExecutions = 4
	)
	longList := "{" + strings.Repeat("d,", longListLength-1) + "d}"
	addr, _ := startPgEngine(t, func(request pgRequest) []byte {
		if strings.Contains(request.bind, longList) {
			time.Sleep(reportTime)
		}
		return pgRows("a")
	})
	front := newFrontEnd(t, nil)
	enableStatementShapes(t, front, stmtstats.Settings{})
	front.servePostgres(addr)
	client := connectPostgres(t, front.addr)
	const text = "SELECT part FROM stock_4.parts WHERE district = ANY($1)"
	client.send(parse("s", text), syncMessage)
	client.receiveUntilReady()
	executeWith := func(list string) {
		t.Helper()
		client.send(bind("", "s", list), execute("", 0), syncMessage)
		assertEqual(t, "response", client.receiveUntilReady(), "2 D(a) C(SELECT 1) Z")
	}
	for range warmupExecutions {
		executeWith("{d1,d2}")
		executeWith(longList)
	}
	before := front.count("requests.accepted.report")
	for range countedExecutions {
		executeWith(longList)
		executeWith("{d3}")
	}
	if n := front.count("requests.accepted.report") - before; n != countedExecutions {
		t.Errorf("%d of %d long lists were classified as reports", n, countedExecutions)
	}
	before = front.count("requests.accepted.lookup")
	client.send(query("/* class=lookup */ "+strings.Replace(text, "$1", "'"+longList+"'", 1)), syncMessage)
	client.receiveUntilReady()
	if n := front.count("requests.accepted.lookup") - before; n != 1 {
		t.Errorf("%d classified as lookups by their comment, want 1", n)
	}
	client = connectPostgres(t, front.addr)
	client.send(query("SELECT part FROM stock_4.parts WHERE district = ANY('{d1}') FOR UPDATE"))
	client.receiveUntilReady()
	front.assertCount("requests.accepted.write", 1)
}

// A damaged snapshot is renamed. The front end starts without it, and the next snapshot of the front end is complete.
func TestStatementShapes_DamagedSnapshotIsSetAside(t *testing.T) {
	path := filepath.Join(t.TempDir(), "shapes")
	damaged := []byte("RWSHAPES no longer")
	writeFile(t, path, damaged)
	addr, _ := startPgEngine(t, oneRowReply)
	front := newFrontEnd(t, nil)
	service := enableStatementShapes(t, front, stmtstats.Settings{SnapshotPath: path, SnapshotInterval: time.Hour})
	if n := front.counters.Get(metrics.ShapesSnapshotUnusable); n != 1 {
		t.Errorf("%d unusable snapshots, want 1", n)
	}
	if got := readFile(t, path+".unusable"); got != string(damaged) {
		t.Errorf("the renamed snapshot contains %q", got)
	}
	front.servePostgres(addr)
	client := connectPostgres(t, front.addr)
	for i := range 5 {
		client.send(query(fmt.Sprintf("SELECT part FROM stock_4.parts WHERE id = %d", i)))
		client.receiveUntilReady()
	}
	front.onLoop(service.SaveSnapshot)
	front.awaitCount("shapes.snapshots", 1)
	snapshot, err := stmtstats.ReadSnapshot(path)
	if err != nil || len(snapshot.Shapes) != 1 || snapshot.Shapes[0].Record.Executions != 5 {
		t.Errorf("%+v, %v", snapshot, err)
	}
}

func writeFile(t *testing.T, path string, b []byte) {
	t.Helper()
	if err := os.WriteFile(path, b, 0o600); err != nil {
		t.Fatal(err)
	}
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}
