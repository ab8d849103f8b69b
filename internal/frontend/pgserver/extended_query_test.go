package pgserver

import (
	"bytes"
	"testing"

	"flaxrelay/internal/memorybudget"
	"flaxrelay/internal/pgproto"
)

// testExtendedQuery returns an extendedQuery with the prepared statement s, its open portals p and q, and an empty
// statement e with the portal e.
func testExtendedQuery() (*extendedQuery, *messageWriter) {
	prepared := &statement{query: "SELECT part", parameterTypes: noParameterTypes}
	empty := &statement{parameterTypes: noParameterTypes, empty: true}
	output := &messageWriter{}
	memory := &sessionMemory{budget: &memorybudget.Budget{}}
	return &extendedQuery{
		output:     output,
		statements: map[string]*statement{"s": prepared, "e": empty},
		portals: portalSet{
			byName: map[string]*portal{
				"p": {statement: prepared, bindBody: emptyBind},
				"q": {statement: prepared, bindBody: emptyBind},
				"e": {statement: empty, bindBody: emptyBind},
			},
			budget: &memorybudget.Budget{},
			memory: memory,
		},
		memory: memory,
	}, output
}

func describeBody(target byte, name string) []byte {
	return append([]byte{target}, pgproto.CString(name)...)
}

func executeBody(portal string) []byte {
	return append(pgproto.CString(portal), pgproto.Int32(allRows)...)
}

// The description of a portal is not sent before the next message arrives. If that message is the first Execute of the
// portal, its result includes the description. Otherwise the description is sent before the message is served, and an
// engine may have to describe the statement first.
func TestExtendedQuery_PendingDescriptionIsResolvedByTheNextMessage(t *testing.T) {
	for name, tt := range map[string]struct {
		portal    string
		described bool // an engine has described the statement before
		kind      byte // of the next message
		body      []byte
		pending   bool // the description stays pending: the Execute's result will include it
		forwarded bool // an engine has to describe the statement
		want      string
	}{
		"first Execute": {
			portal: "p", kind: pgproto.ClientExecute, body: executeBody("p"), pending: true,
		},
		"first Execute, described": {
			portal: "p", described: true, kind: pgproto.ClientExecute, body: executeBody("p"), pending: true,
		},
		"Execute of another portal": {
			portal: "p", kind: pgproto.ClientExecute, body: executeBody("q"), forwarded: true,
		},
		"Execute of another portal, described": {
			portal: "p", described: true, kind: pgproto.ClientExecute, body: executeBody("q"), want: "T",
		},
		"Execute of an unknown portal, described": {
			portal: "p", described: true, kind: pgproto.ClientExecute, body: executeBody("x"), want: "T",
		},
		"Execute of an empty query": {
			portal: "e", kind: pgproto.ClientExecute, body: executeBody("e"), want: "n",
		},
		"Sync":            {portal: "p", kind: pgproto.ClientSync, forwarded: true},
		"Sync, described": {portal: "p", described: true, kind: pgproto.ClientSync, want: "T"},
	} {
		t.Run(name, func(t *testing.T) {
			query, output := testExtendedQuery()
			if tt.described {
				query.statements["s"].description = &pgproto.Result{RowDescription: []byte{0, 0}}
			}
			exec, failure := query.describe(describeBody(pgproto.TargetPortal, tt.portal))
			if exec != nil || failure != nil || takeMessageKinds(t, output) != "" || query.pendingDescribe == nil {
				t.Fatalf("the description does not wait: %v, %v", exec, failure)
			}
			exec, failure = query.resolveDescribe(tt.kind, tt.body)
			got := takeMessageKinds(t, output)
			if failure != nil || got != tt.want || (exec != nil) != tt.forwarded {
				t.Errorf("got %q, %v, %v; want %q", got, exec, failure, tt.want)
			}
			if pending := query.pendingDescribe != nil; pending != tt.pending {
				t.Errorf("pending %v, want %v", pending, tt.pending)
			}
		})
	}
}

// The description from an engine is kept for the next Describe of the statement.
func TestExtendedQuery_StatementIsDescribedByAnEngineOnce(t *testing.T) {
	query, output := testExtendedQuery()
	exec, failure := query.describe(describeBody(pgproto.TargetStatement, "s"))
	if failure != nil || exec == nil || !exec.message.DescribeOnly {
		t.Fatalf("got %+v, %v", exec, failure)
	}
	description := &pgproto.Result{ParameterDescription: []byte{0, 0}, RowDescription: []byte{0, 0}}
	if failure := exec.onServed(description); failure != nil {
		t.Fatal(failure)
	}
	if got := takeMessageKinds(t, output); got != "tT" {
		t.Errorf("first description: %q", got)
	}
	exec, failure = query.describe(describeBody(pgproto.TargetStatement, "s"))
	if got := takeMessageKinds(t, output); failure != nil || exec != nil || got != "tT" {
		t.Errorf("second description: %q, %v, %v", got, exec, failure)
	}
}

// A portal runs once. An Execute of a portal that has run is served from the rows in the portal.
func TestExtendedQuery_PortalRunsOnce(t *testing.T) {
	query, output := testExtendedQuery()
	exec, failure := query.execute(executeBody("p"))
	if failure != nil || exec == nil {
		t.Fatalf("got %+v, %v", exec, failure)
	}
	if failure := exec.onServed(resultOfRows("a", "b")); failure != nil {
		t.Fatal(failure)
	}
	if got := takeMessageKinds(t, output); got != "DDC" {
		t.Errorf("first execution: %q", got)
	}
	exec, failure = query.execute(executeBody("p"))
	if got := takeMessageKinds(t, output); failure != nil || exec != nil || got != "C" {
		t.Errorf("second execution: %q, %v, %v", got, exec, failure)
	}
}

// The parameter types that an engine has described replace those that the client has specified.
func TestStatement_ParameterTypesOfTheEngineReplaceThoseOfTheClient(t *testing.T) {
	given := []byte{0, 1, 0, 0, 0, 23}
	described := []byte{0, 1, 0, 0, 0, 25}
	for name, tt := range map[string]struct {
		statement statement
		want      []byte
	}{
		"none":      {statement{parameterTypes: noParameterTypes}, nil},
		"given":     {statement{parameterTypes: given}, given[countSize:]},
		"described": {statement{description: &pgproto.Result{ParameterDescription: described}}, described[countSize:]},
		"both": {
			statement{parameterTypes: given, description: &pgproto.Result{ParameterDescription: described}},
			described[countSize:],
		},
		"described without parameters": {
			statement{parameterTypes: given, description: &pgproto.Result{ParameterDescription: noParameterTypes}},
			given[countSize:],
		},
	} {
		if got := tt.statement.parameterOIDs(); !bytes.Equal(got, tt.want) {
			t.Errorf("%s: got %v, want %v", name, got, tt.want)
		}
	}
}
