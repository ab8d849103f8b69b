package logging

import (
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestNew_WritesAFileInEachFormat(t *testing.T) {
	for _, tc := range []struct{ format, want string }{
		{"auto", `"level":"INFO","msg":"serving","port":1}`},
		{"json", `"level":"INFO","msg":"serving","port":1}`},
		{"text", "INF serving port=1"}, // without colors
	} {
		t.Run(tc.format, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "log")
			out, err := os.Create(path)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = out.Close() })
			logger, err := New(out, Options{Format: tc.format, Level: "info", Terminal: IsTerminal(out)})
			if err != nil {
				t.Fatal(err)
			}
			logger.Debug("hidden")
			logger.Info("serving", "port", 1)
			got, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if !strings.HasSuffix(string(got), tc.want+"\n") || strings.Count(string(got), "\n") != 1 {
				t.Errorf("log is %q, want one line that ends in %q", got, tc.want)
			}
		})
	}
}

func TestNew_RejectsUnknownOptions(t *testing.T) {
	_, err := New(os.Stderr, Options{Format: "xml", Level: slog.LevelInfo.String()})
	var formatError *FormatError
	if !errors.As(err, &formatError) || formatError.Format != "xml" {
		t.Errorf("format xml: error is %v, want a FormatError of xml", err)
	}
	_, err = New(os.Stderr, Options{Format: "json", Level: "loud"})
	if err == nil || !strings.HasPrefix(err.Error(), "log level: ") {
		t.Errorf("level loud: error is %v, want an error about the log level", err)
	}
}
