package policy

import (
	"fmt"
	"math"
)

// SettingsError describes an invalid field of the settings.
type SettingsError struct {
	Field   string // path from Settings, such as "Classes[0].Name"
	Problem string
}

// Error returns the field and the problem.
func (e *SettingsError) Error() string { return e.Field + ": " + e.Problem }

func settingsError(field, format string, args ...any) error {
	return &SettingsError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// validate returns a *SettingsError for the first invalid field of the settings, or nil.
func validate(settings *Settings) error {
	if settings.Replicas < 1 {
		return settingsError("Replicas", "%d is under 1", settings.Replicas)
	}
	if len(settings.Classes) == 0 {
		return settingsError("Classes", "none")
	}
	for i := range settings.Classes {
		if err := validateClass(fmt.Sprintf("Classes[%d]", i), &settings.Classes[i]); err != nil {
			return err
		}
	}
	switch {
	case settings.ProgressInterval < 0:
		return settingsError("ProgressInterval", "%v is under 0", settings.ProgressInterval)
	case !(settings.Rules.RetryBudgetMin >= 0): // written so that it includes NaN
		return settingsError("Rules.RetryBudgetMin", "%v is not 0 or above", settings.Rules.RetryBudgetMin)
	case !(settings.Rules.RetryBudgetRatio >= 0):
		return settingsError("Rules.RetryBudgetRatio", "%v is not 0 or above", settings.Rules.RetryBudgetRatio)
	case settings.Rules.RetryBudgetWindow < 0:
		return settingsError("Rules.RetryBudgetWindow", "%v is under 0", settings.Rules.RetryBudgetWindow)
	}
	return nil
}

func validateClass(field string, c *Class) error {
	switch {
	case c.Name == "":
		return settingsError(field+".Name", "empty")
	case c.LatencyObjective <= 0:
		return settingsError(field+".LatencyObjective", "%v is not above 0", c.LatencyObjective)
	case c.Deadline <= 0:
		return settingsError(field+".Deadline", "%v is not above 0", c.Deadline)
	case c.Threads < 0 || math.IsNaN(c.Threads) || math.IsInf(c.Threads, 0):
		return settingsError(field+".Threads", "%v is not a finite number of 0 or above", c.Threads)
	case !(c.PriorityWeight >= 0) || math.IsInf(c.PriorityWeight, 0):
		return settingsError(field+".PriorityWeight", "%v is not a finite number of 0 or above", c.PriorityWeight)
	case c.Effect == IdempotentByKey && c.DedupWindow < 0:
		return settingsError(field+".DedupWindow", "%v is under 0", c.DedupWindow)
	}
	return nil
}
