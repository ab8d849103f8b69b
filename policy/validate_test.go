package policy

import (
	"errors"
	"math"
	"strings"
	"testing"
)

func TestNewNamesFaultySetting(t *testing.T) {
	for want, breakSetting := range map[string]func(*Settings){
		"Gateways":            func(s *Settings) { s.Replicas = 0 },
		"Classes: none":       func(s *Settings) { s.Classes = nil },
		"Classes[1].Aim":      func(s *Settings) { s.Classes[1].LatencyObjective = 0 },
		"Classes[2].Deadline": func(s *Settings) { s.Classes[2].Deadline = -1 },
		"Rules.LookBack":      func(s *Settings) { s.Rules.RetryBudgetWindow = -1 },
		"Rules.ExtraFree":     func(s *Settings) { s.Rules.RetryBudgetMin = -1 },
		"Rules.ExtraShare":    func(s *Settings) { s.Rules.RetryBudgetRatio = math.NaN() },
		"Worth":               func(s *Settings) { s.Classes[0].PriorityWeight = math.NaN() },
		"Classes[0].Threads":  func(s *Settings) { s.Classes[0].Threads = math.NaN() },
	} {
		s := settings()
		breakSetting(&s)
		_, err := New(s, 1)
		var settingsError *SettingsError
		if !errors.As(err, &settingsError) || !strings.Contains(err.Error(), want) {
			t.Errorf("want a settings error naming %q, got %v", want, err)
		}
	}
}
