package soak

import (
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
	"testing"

	"flaxrelay/internal/golden"
)

// The configuration of a front end contains the settings that the checker assumes, and the engines that
// are not removed.
func TestFrontEndConfig_ContainsSettingsAndEngines(t *testing.T) {
	bus, err := newEventBus()
	if err != nil {
		t.Fatal(err)
	}
	defer bus.close()
	bus.publish(endpoint{id: 7, addr: netip.MustParseAddrPort("127.0.0.1:7"), state: stateDraining, bootMS: 42})
	bus.publish(endpoint{id: 8, addr: netip.MustParseAddrPort("127.0.0.1:8"), state: stateRemoved})
	r := &run{bus: bus, settings: runSettings{cancel: true, deduplicationWindow: 1234 * ms}}
	f := &frontEnd{run: r, name: "n1", addr: "127.0.0.1:1", configPath: filepath.Join(t.TempDir(), "config")}
	r.frontEnds = make([]*frontEnd, 6)
	if err := f.writeConfig(0xab); err != nil {
		t.Fatal(err)
	}
	config, err := os.ReadFile(f.configPath)
	if err != nil {
		t.Fatal(err)
	}
	var decoded map[string]any // a map is encoded with sorted keys
	if err := json.Unmarshal(config, &decoded); err != nil {
		t.Fatal(err)
	}
	if decoded["bus"] != bus.addr() {
		t.Errorf("the bus is %v, want %s", decoded["bus"], bus.addr())
	}
	decoded["bus"] = "BUS"
	text, err := json.MarshalIndent(decoded, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "testdata/config.golden", append(text, '\n'))
}
