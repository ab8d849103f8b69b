package lineclient

import (
	"math"
	"strconv"
	"strings"

	"flaxrelay/policy"
)

// fieldList is the third word of a response's first line: pairs name=value separated by
// commas, or "-" if there are none.
type fieldList string

// The names of the fields that this client reads.
const (
	fieldPageCount     = "batches" // of a result: the number of its pages
	fieldPageNumber    = "batch"   // of a page after the first: its number
	fieldWork          = "cpu"     // of a result: CPU time in milliseconds
	fieldMemory        = "used"    // of a result: memory in MB
	fieldLoads         = "gauges"  // the load report: pairs name:value separated by semicolons
	fieldProgressKind  = "res"     // of a progress response: progressFraction, progressSpilling or progressAwaiting
	fieldProgressValue = "num"     // of a progress response: its meaning depends on the kind
)

// value returns the value of the first field with this name.
func (f fieldList) value(name string) (value string, ok bool) {
	rest := string(f)
	for rest != "" && rest != "-" {
		var field string
		field, rest, _ = strings.Cut(rest, ",")
		if fieldName, fieldValue, _ := strings.Cut(field, "="); fieldName == name {
			return fieldValue, true
		}
	}
	return "", false
}

// number returns the value of the first field with this name; ok is false if there is no such
// field or its value is not a finite number.
func (f fieldList) number(name string) (number float64, ok bool) {
	text, ok := f.value(name)
	if !ok {
		return 0, false
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || !isFinite(number) {
		return 0, false
	}
	return number, true
}

func isFinite(number float64) bool { return !math.IsNaN(number) && !math.IsInf(number, 0) }

// loadReport returns the engine's load report.
func (f fieldList) loadReport() policy.LoadReport {
	report := policy.UnreportedLoad()
	rest, _ := f.value(fieldLoads)
	for rest != "" {
		var gauge string
		gauge, rest, _ = strings.Cut(rest, ";")
		name, text, _ := strings.Cut(gauge, ":")
		value, err := strconv.ParseFloat(text, 64)
		if err == nil && isFinite(value) && setLoad(&report, name, value) {
			report.Reported = true
		}
	}
	return report
}

// setLoad sets the load of this name, and reports whether the name is known. Engines report a load
// under its name in the wire protocol or under its name in the settings.
func setLoad(report *policy.LoadReport, name string, value float64) bool {
	switch name {
	case "util", "cpu":
		report.CPUShare = value
	case "inflight", "active":
		report.InFlight = value
	case "queue", "waiting":
		report.Queued = value
	case "x0":
		report.MemoryShare = value
	case "x1":
		report.DiskShare = value
	default:
		return false
	}
	return true
}

// The values of fieldProgressKind.
const (
	progressFraction = "p" // fieldProgressValue is the completed fraction
	progressSpilling = "s" // the statement spills to disk
	progressAwaiting = "w" // the statement waits for the resource that fieldProgressValue names
)

// awaitingLoad is the fieldProgressValue of a wait for a bulk load. Any other value indicates a wait
// for memory.
const awaitingLoad = 2

// progress returns the kind and value of a progress report; ok is false if the fields do not
// contain a progress report.
func (f fieldList) progress() (kind policy.ProgressKind, value float64, ok bool) {
	kindName, _ := f.value(fieldProgressKind)
	value, ok = f.number(fieldProgressValue)
	if !ok {
		return 0, 0, false
	}
	switch {
	case kindName == progressFraction:
		return policy.ProgressFraction, value, true
	case kindName == progressSpilling:
		return policy.ProgressSpilling, value, true
	case kindName == progressAwaiting && value == awaitingLoad:
		return policy.ProgressAwaitingLoad, value, true
	case kindName == progressAwaiting:
		return policy.ProgressAwaitingMemory, value, true
	default:
		return 0, 0, false
	}
}
