package e2e

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

// A connection has a limited number of prepared statements and of portals. After a Close, another one can be opened.
func TestPostgres_StatementsAndPortalsAreBounded(t *testing.T) {
	const limit = 1000
	addr, _ := startPgEngine(t, oneRowReply)
	for name, tt := range map[string]struct {
		before [][]byte
		open   func(name string) []byte
		target string // what a Close closes: a statement ("S") or a portal ("P")
		opened string // kind of the message that responds to open
	}{
		"statements": {
			nil, func(name string) []byte { return parse(name, selectPart) }, "S", "1",
		},
		"portals": {
			[][]byte{parse("", selectPart)}, func(name string) []byte { return bind(name, "", "a") }, "P", "2",
		},
	} {
		t.Run(name, func(t *testing.T) {
			client := connectPostgres(t, startPostgres(t, addr).addr)
			messages := append([][]byte{}, tt.before...)
			for n := range limit {
				messages = append(messages, tt.open(fmt.Sprintf("n%d", n)))
			}
			messages = append(messages, closeMessage(tt.target, "n7"), tt.open("n7"), tt.open("further"), syncMessage)
			client.send(bytes.Join(messages, nil))
			got := strings.Fields(client.receiveUntilReady())
			opened := strings.Repeat(tt.opened+" ", limit)
			want := opened + "3 " + tt.opened + " E(54000) Z"
			assertEqual(t, "responses", strings.Join(got[len(tt.before):], " "), want)
		})
	}
}

// A budget limits the rows that are buffered for open portals. When a portal ends, for any reason, its rows no longer
// count towards the budget.
func TestPostgres_EndedPortalReturnsItsRowsToTheBudget(t *testing.T) {
	// In bytes. The budget is enough for the two rows that remain after one of three was fetched, but not for four.
	const budget = 30
	addr, _ := startPgEngine(t, goldenPgEngine)
	fetchOne := func(portal string) [][]byte { return [][]byte{bind(portal, "s", "a"), execute(portal, 1)} }
	const (
		first  = "2 D(a) s"
		second = "2 D(a) s Z"
	)
	for name, tt := range map[string]struct {
		portal  string
		between [][]byte
		want    string
	}{
		"open":     {"p", nil, first + " 2 D(a) s E(53200) Z"},
		"fetched":  {"p", [][]byte{execute("p", 0)}, first + " D(b\x00\xff) D(c) C(SELECT 2) " + second},
		"closed":   {"p", [][]byte{closeMessage("P", "p")}, first + " 3 " + second},
		"synced":   {"p", [][]byte{syncMessage}, first + " Z " + second},
		"replaced": {"", [][]byte{bind("", "s", "b")}, first + " 2 " + second},
	} {
		t.Run(name, func(t *testing.T) {
			front := newFrontEnd(t, nil)
			front.pgOptions.MaxBufferedBytes = budget
			front.servePostgres(addr)
			client := connectPostgres(t, front.addr)
			client.send(parse("s", selectPart), syncMessage)
			assertEqual(t, "prepared", client.receiveUntilReady(), "1 Z")
			client.send(fetchOne(tt.portal)...)
			client.send(tt.between...)
			client.send(append(fetchOne("q"), syncMessage)...)
			got := client.receiveUntilReady()
			if name == "synced" {
				got += " " + client.receiveUntilReady()
			}
			assertEqual(t, "responses", got, tt.want)
		})
	}
}

// After a client with an open portal disconnects, the portal's rows no longer count towards the budget.
func TestPostgres_DisconnectedClientReturnsItsRowsToTheBudget(t *testing.T) {
	const budget = 30 // bytes; enough for the remaining rows of one portal, but not of two
	addr, _ := startPgEngine(t, goldenPgEngine)
	front := newFrontEnd(t, nil)
	front.pgOptions.MaxBufferedBytes = budget
	front.servePostgres(addr)
	holder := connectPostgres(t, front.addr)
	other := connectPostgres(t, front.addr)
	fetchOne := [][]byte{parse("", selectPart), bind("p", "", "a"), execute("p", 1)}
	holder.send(append(fetchOne, flushMessage)...)
	assertEqual(t, "holder", holder.receiveUntil('s'), "1 2 D(a) s")
	fetchOne = append(fetchOne, syncMessage)
	other.send(fetchOne...)
	assertEqual(t, "while the rows are buffered", other.receiveUntilReady(), "1 2 D(a) s E(53200) Z")
	if err := holder.conn.Close(); err != nil {
		t.Fatal(err)
	}
	response := ""
	if !poll(func() bool {
		other.send(fetchOne...)
		response = other.receiveUntilReady()
		return response == "1 2 D(a) s Z"
	}) {
		t.Errorf("the rows still count towards the budget after %v: %s", waitLimit, response)
	}
}

// A client that disconnects no longer counts towards the limit of clients.
func TestPostgres_DisconnectedClientDoesNotCountAsConnected(t *testing.T) {
	front := newFrontEnd(t, nil)
	front.pgOptions.MaxClients = 1
	front.servePostgres()
	connect := func() (client *pgClient, response string) {
		t.Helper()
		client = &pgClient{t: t, conn: dial(t, front.addr)}
		client.send(deskStartup())
		return client, client.receiveUntilReady()
	}
	const accepted = "R S S S S S S S K Z"
	first, response := connect()
	assertEqual(t, "first client", response, accepted)
	_, response = connect()
	assertEqual(t, "second client", response, "E(53300) end")
	if err := first.conn.Close(); err != nil {
		t.Fatal(err)
	}
	if !poll(func() bool {
		var further *pgClient
		further, response = connect()
		_ = further.conn.Close()
		return response == accepted
	}) {
		t.Errorf("no client is accepted after %v: %s", waitLimit, response)
	}
}
