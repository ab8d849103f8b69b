package consul

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Every key that is read of the catalogue's and the health API's answers reaches its field.
func TestAnswerKeys(t *testing.T) {
	var r registration
	if err := json.Unmarshal([]byte(`{"Node": "n", "Address": "a", "Datacenter": "d", "NodeMeta": {"m": "1"}, "ServiceID": "i",
"ServiceAddress": "s", "ServicePort": 2, "ServiceMeta": {"m": "3"}, "Unknown": 4}`), &r); err != nil {
		t.Fatal(err)
	}
	want := registration{
		Node: "n", Address: "a", Datacenter: "d", NodeMeta: map[string]string{"m": "1"}, ServiceID: "i",
		ServiceAddress: "s", ServicePort: 2, ServiceMeta: map[string]string{"m": "3"},
	}
	if diff := cmp.Diff(want, r); diff != "" {
		t.Error(diff)
	}
	var e healthEntry
	if err := json.Unmarshal([]byte(`{"Node": {"Node": "n"}, "Service": {"ID": "i", "Meta": {"m": "1"}},
"Checks": [{"CheckID": "c", "Status": "critical", "Name": "x"}]}`), &e); err != nil {
		t.Fatal(err)
	}
	if e.Node.Node != "n" || e.Service.ID != "i" || e.Service.Meta["m"] != "1" || len(e.Checks) != 1 ||
		e.Checks[0].CheckID != "c" || e.Checks[0].Status != "critical" {
		t.Errorf("%+v", e)
	}
}
