package consul

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestRegistration_DecodesEachKey(t *testing.T) {
	var got registration
	raw := `{"Node": "n", "Address": "a", "Datacenter": "d", "NodeMeta": {"m": "1"}, "ServiceID": "i",
"ServiceAddress": "s", "ServicePort": 2, "ServiceMeta": {"m": "3"}, "Unknown": 4}`
	if err := json.Unmarshal([]byte(raw), &got); err != nil {
		t.Fatal(err)
	}
	want := registration{
		Node: "n", Address: "a", Datacenter: "d", NodeMeta: map[string]string{"m": "1"}, ServiceID: "i",
		ServiceAddress: "s", ServicePort: 2, ServiceMeta: map[string]string{"m": "3"},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("registration (-want +got):\n%s", diff)
	}
}

func TestHealthEntry_DecodesEachKey(t *testing.T) {
	var got healthEntry
	raw := `{"Node": {"Node": "n"}, "Service": {"ID": "i", "Meta": {"m": "1"}},
"Checks": [{"CheckID": "c", "Status": "critical", "Name": "x"}]}`
	if err := json.Unmarshal([]byte(raw), &got); err != nil {
		t.Fatal(err)
	}
	var want healthEntry
	want.Node.Node = "n"
	want.Service.ID = "i"
	want.Service.Meta = map[string]string{"m": "1"}
	want.Checks = append(want.Checks, struct {
		CheckID string `json:"CheckID"`
		Status  string `json:"Status"`
	}{CheckID: "c", Status: "critical"})
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("health entry (-want +got):\n%s", diff)
	}
}

// Guards against an engine without a cell in its metadata that counts as one of cell 0.
func TestRegistration_CellIsKnownOnlyFromMetadata(t *testing.T) {
	for _, test := range []struct {
		service, node map[string]string
		cell          int64
		known         bool
	}{
		{nil, nil, 0, false},
		{map[string]string{"cell": "x"}, nil, 0, false},
		{map[string]string{"cell": "0"}, nil, 0, true},
		{nil, map[string]string{"cell": "4"}, 4, true},
		{map[string]string{"cell": "3"}, map[string]string{"cell": "4"}, 3, true},
	} {
		got := (&registration{ServiceMeta: test.service, NodeMeta: test.node}).endpoint(Options{})
		if got.Cell != test.cell || got.CellKnown != test.known {
			t.Errorf("%v, %v: cell %d, known: %v", test.service, test.node, got.Cell, got.CellKnown)
		}
	}
}
