// Package logging creates the loggers of the programs. A logger writes colored text to a terminal and
// JSON to other files, and limits the rate of each event. Package logevent declares the events.
package logging

import (
	"fmt"
	"io"
	"log/slog"
	"os"

	"github.com/lmittmann/tint"
)

// The values of Options.Format.
const (
	formatAuto = "auto"
	formatJSON = "json"
	formatText = "text"
)

// terminalTimeFormat omits the date, because a terminal shows recent events.
const terminalTimeFormat = "15:04:05.000"

// Options configure a logger.
type Options struct {
	Format string // auto, json or text; auto selects text on a terminal and JSON elsewhere
	Level  string // debug, info, warn or error
	// Terminal is whether the lines are shown on a terminal (see IsTerminal).
	Terminal bool
}

// FormatError reports an unknown log format.
type FormatError struct{ Format string }

// Error implements error.
func (e *FormatError) Error() string {
	return fmt.Sprintf("log format: %q is not one of auto, json, text", e.Format)
}

// New returns a logger that writes to out. The error is a *FormatError, or wraps the error of an
// unknown level.
func New(out io.Writer, opts Options) (*slog.Logger, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(opts.Level)); err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	handler, err := newHandler(out, opts, level)
	if err != nil {
		return nil, err
	}
	return slog.New(newRateLimitHandler(handler, eventsPerSecond, eventBurst)), nil
}

func newHandler(out io.Writer, opts Options, level slog.Level) (slog.Handler, error) {
	format := opts.Format
	if format == formatAuto {
		format = formatJSON
		if opts.Terminal {
			format = formatText
		}
	}
	switch format {
	case formatText:
		options := &tint.Options{Level: level, TimeFormat: terminalTimeFormat, NoColor: !opts.Terminal}
		return tint.NewTextHandler(out, options), nil
	case formatJSON:
		return slog.NewJSONHandler(out, &slog.HandlerOptions{Level: level}), nil
	default:
		return nil, &FormatError{Format: format}
	}
}

// IsTerminal reports whether the file is a character device, such as a terminal.
func IsTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// NewPlain returns a logger for tools. It writes text without times and does not limit the rate.
func NewPlain(out io.Writer) *slog.Logger {
	return slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{ReplaceAttr: dropTime}))
}

func dropTime(_ []string, attr slog.Attr) slog.Attr {
	if attr.Key == slog.TimeKey {
		return slog.Attr{}
	}
	return attr
}
