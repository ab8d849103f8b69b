package soak

import (
	"context"
	"os"
	"testing"
	"time"

	"flaxrelay/internal/lab/harness"
)

const repositoryRoot = "../../.."

func TestMain(m *testing.M) {
	if RunEngineProcess() {
		return
	}
	os.Exit(m.Run())
}

// A short run with overlapping faults violates no rule.
func TestRun_ViolatesNoRule(t *testing.T) {
	program, err := harness.Build(context.Background(), repositoryRoot, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	result, err := Run(Options{
		FrontEndProgram: program, EngineProgram: os.Args[0], Directory: t.TempDir(), Seed: 1,
		Duration: 6 * time.Second, FrontEnds: 4, Engines: 8, Clients: 16,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(result)
	if len(result.Violations) > 0 || result.Outcomes[outcomeServed] == 0 {
		t.Errorf("rules were violated, or no request was served; logs were in %s", result.Directory)
	}
}
