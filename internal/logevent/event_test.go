package logevent

import (
	"bytes"
	"errors"
	"log/slog"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestLog_WritesNameLevelAndFields(t *testing.T) {
	var out bytes.Buffer
	options := &slog.HandlerOptions{ReplaceAttr: func(_ []string, attribute slog.Attr) slog.Attr {
		if attribute.Key == slog.TimeKey {
			return slog.Attr{}
		}
		return attribute
	}}
	logger := slog.New(slog.NewJSONHandler(&out, options))
	EventBusDisconnected.Log(logger, slog.String("bus", "127.0.0.1:1"),
		slog.Any("error", errors.New("closed")), slog.Duration("retry_in", time.Second))
	AttemptEnded.Log(logger, slog.String("request", "r")) // not written: the level of the logger is info
	want := `{"level":"WARN","msg":"eventbus.disconnected",` +
		`"bus":"127.0.0.1:1","error":"closed","retry_in":1000000000}` + "\n"
	if diff := cmp.Diff(want, out.String()); diff != "" {
		t.Errorf("log (-want +got):\n%s", diff)
	}
}
