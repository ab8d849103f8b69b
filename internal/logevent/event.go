// Package logevent declares the events that the programs write to their log. catalog.go lists all of
// them; docs/operations.md explains them to operators. Each event is a variable. An event must be logged
// only with fields that its declaration lists; a test of internal/observability checks this:
//
//	logevent.EngineReadmitted.Log(logger, slog.String("engine", id))
package logevent

import (
	"context"
	"log/slog"
	"slices"
)

// Event identifies one log event. Only the catalog declares events.
type Event struct {
	name  string
	level slog.Level
}

// Log writes the event with the fields to a logger.
func (e Event) Log(logger *slog.Logger, fields ...slog.Attr) {
	logger.LogAttrs(context.Background(), e.level, e.name, fields...)
}

// Declaration describes an event of the catalog.
type Declaration struct {
	Name   string
	Level  slog.Level
	Help   string   // one sentence: what has happened
	Fields []string // keys of the fields that the event may have, or CounterField
}

// CounterField is an entry of Declaration.Fields that stands for all fields whose keys are names of
// counters.
const CounterField = "COUNTER"

// declarations holds the catalog, in the order of catalog.go.
var declarations []Declaration

// Catalog returns the declarations of all events.
func Catalog() []Declaration { return slices.Clone(declarations) }

// declare adds an event to the catalog.
func declare(name string, level slog.Level, help string, fields ...string) Event {
	declarations = append(declarations, Declaration{Name: name, Level: level, Help: help, Fields: fields})
	return Event{name: name, level: level}
}
