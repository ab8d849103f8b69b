package policy

import (
	"errors"
	"math"
	"testing"
)

func TestNew_NamesTheInvalidSetting(t *testing.T) {
	for _, c := range []struct {
		field, problem string
		breakSetting   func(*Settings)
	}{
		{"Replicas", "0 is under 1", func(s *Settings) { s.Replicas = 0 }},
		{"Classes", "none", func(s *Settings) { s.Classes = nil }},
		{"Classes[0].Name", "empty", func(s *Settings) { s.Classes[0].Name = "" }},
		{"Classes[1].LatencyObjective", "0s is not above 0", func(s *Settings) { s.Classes[1].LatencyObjective = 0 }},
		{"Classes[2].Deadline", "-1ns is not above 0", func(s *Settings) { s.Classes[2].Deadline = -1 }},
		{
			"Classes[0].Threads", "NaN is not a finite number of 0 or above",
			func(s *Settings) { s.Classes[0].Threads = math.NaN() },
		},
		{
			"Classes[0].PriorityWeight", "NaN is not a finite number of 0 or above",
			func(s *Settings) { s.Classes[0].PriorityWeight = math.NaN() },
		},
		{"Classes[3].DedupWindow", "-1ns is under 0", func(s *Settings) { s.Classes[3].DedupWindow = -1 }},
		{"ProgressInterval", "-1ns is under 0", func(s *Settings) { s.ProgressInterval = -1 }},
		{"Rules.RetryBudgetWindow", "-1ns is under 0", func(s *Settings) { s.Rules.RetryBudgetWindow = -1 }},
		{"Rules.RetryBudgetMin", "-1 is not 0 or above", func(s *Settings) { s.Rules.RetryBudgetMin = -1 }},
		{
			"Rules.RetryBudgetRatio", "NaN is not 0 or above",
			func(s *Settings) { s.Rules.RetryBudgetRatio = math.NaN() },
		},
	} {
		s := settings()
		c.breakSetting(&s)
		_, err := New(s, 1)
		var settingsError *SettingsError
		if !errors.As(err, &settingsError) || settingsError.Field != c.field || settingsError.Problem != c.problem {
			t.Errorf("want an error on %s, %q, got %v", c.field, c.problem, err)
			continue
		}
		if want := "policy: settings: " + c.field + ": " + c.problem; err.Error() != want {
			t.Errorf("text %q, want %q", err, want)
		}
	}
}
