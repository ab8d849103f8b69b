package simprotocol

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"flaxrelay/internal/golden"
)

// goldenBatches maps the name of each recorded input under testdata/golden to messages that the host must
// write at least once in response. The test fails if an update of the golden files loses such a message.
var goldenBatches = map[string][]string{
	"queries":   {"ALLOT", "FORWARD", "ABORT_ATTEMPT", "SLEEP", "DROP_REQUEST"},
	"loads":     {"ALLOT", "FORWARD", "SLEEP"},
	"keys":      {"FORWARD", "SAY_NO", "DROP_REQUEST", "SLEEP"},
	"discovery": {"LISTEN", "FORWARD", "SAY_NO", "SLEEP"},
	"faults":    {"ASK_LOAD", "SAY_LOG", "FORWARD", "SLEEP"},
}

// The host's responses to complete inputs are compared byte for byte. Together the inputs contain every
// message of the simulator, and the responses contain every action that the host writes. The inputs
// contain the times and the seeds, so the responses are the same every time.
func TestRun_MatchesGoldenBatches(t *testing.T) {
	for name, actions := range goldenBatches {
		t.Run(name, func(t *testing.T) {
			base := filepath.Join("testdata", "golden", name)
			in, err := os.ReadFile(base + ".in")
			if err != nil {
				t.Fatal(err)
			}
			var out bytes.Buffer
			if err := NewHost().Run(bytes.NewReader(in), &out); err != nil {
				t.Fatal(err)
			}
			for _, action := range actions {
				if !strings.Contains(out.String(), `["`+action+`",`) {
					t.Errorf("no %s in the responses", action)
				}
			}
			golden.Compare(t, base+".out", out.Bytes())
		})
	}
}

func TestGoldenBatches_ContainEveryMessageOfTheSimulator(t *testing.T) {
	var all []byte
	for name := range goldenBatches {
		in, err := os.ReadFile(filepath.Join("testdata", "golden", name+".in"))
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, in...)
	}
	for _, message := range []string{
		"CLOCK", "OVER_TO_YOU", "INIT", "EXIT", "POOL", "PEERS_KNOWN", "REQ", "SETTLED", "INTERIM",
		"HEAD_RECEIVED", "LAPSED", "TICK_DUE", "PROBED", "FROM_PEER",
	} {
		if !bytes.Contains(all, []byte(`["`+message+`"`)) {
			t.Errorf("no input contains %s", message)
		}
	}
}
