package simprotocol

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"flaxrelay/internal/golden"
)

// goldenBatches are the recorded inputs under testdata/golden, and what each of them
// has the host write at least once. The names of actions protect against an update that
// loses a line: such a golden file would still match.
var goldenBatches = map[string][]string{
	"queries":   {"ALLOT", "FORWARD", "ABORT_ATTEMPT", "SLEEP", "DROP_REQUEST"},
	"loads":     {"ALLOT", "FORWARD", "SLEEP"},
	"keys":      {"FORWARD", "SAY_NO", "DROP_REQUEST", "SLEEP"},
	"discovery": {"LISTEN", "FORWARD", "SAY_NO", "SLEEP"},
	"faults":    {"ASK_LOAD", "SAY_LOG", "FORWARD", "SLEEP"},
}

// The host's replies to whole runs are held byte for byte: each event of the wire comes
// in, and each action that the host writes goes out. All inputs carry their own clock
// and seeds, so nothing in the replies has to be normalised.
func TestGoldenBatches(t *testing.T) {
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
					t.Errorf("no %s in the replies", action)
				}
			}
			golden.Compare(t, base+".out", out.Bytes())
		})
	}
}

// Together the inputs hold every event that the wire knows.
func TestGoldenBatchesHoldEveryEvent(t *testing.T) {
	var all []byte
	for name := range goldenBatches {
		in, err := os.ReadFile(filepath.Join("testdata", "golden", name+".in"))
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, in...)
	}
	for _, event := range []string{
		"CLOCK", "OVER_TO_YOU", "INIT", "EXIT", "POOL", "PEERS_KNOWN", "REQ", "SETTLED", "INTERIM",
		"HEAD_RECEIVED", "LAPSED", "TICK_DUE", "PROBED", "FROM_PEER",
	} {
		if !bytes.Contains(all, []byte(`["`+event+`"`)) {
			t.Errorf("no input holds %s", event)
		}
	}
}
