package pgserver

import (
	"errors"
	"testing"
	"time"

	"flaxrelay/internal/pgproto"
)

// packet returns the body of a startup packet.
func packet(parameters ...string) []byte {
	var body []byte
	for _, parameter := range parameters {
		body = append(body, pgproto.CString(parameter)...)
	}
	return append(body, 0)
}

func TestStartupPhase_AppliesUserAndStatementTimeout(t *testing.T) {
	const timeout = 5 * time.Second
	for name, parameters := range map[string][]string{
		"parameter":          {"user", "desk", "statement_timeout", "5s"},
		"option -c":          {"options", "-x -c statement_timeout=5s", "user", "desk", "database", "x"},
		"option -c, joined":  {"user", "desk", "options", "-cstatement_timeout=5000"},
		"option with a name": {"user", "desk", "options", "--x=y --statement-timeout=5s"},
	} {
		var startup startupPhase
		err := startup.readPacket(pgproto.ProtocolVersion, packet(parameters...))
		if err != nil || startup.user != "desk" || startup.settings.statementTimeout != timeout {
			t.Errorf("%s: got %+v, %v", name, startup, err)
		}
	}
}

func TestStartupPhase_RejectsMalformedPacketsAndParameters(t *testing.T) {
	for name, tt := range map[string]struct {
		version uint32
		body    []byte
	}{
		"protocol version 2":        {2 << 16, packet("user", "desk")},
		"invalid timeout":           {pgproto.ProtocolVersion, packet("statement_timeout", "soon")},
		"invalid timeout in option": {pgproto.ProtocolVersion, packet("options", "-c statement_timeout=soon")},
		"no zero byte at the end":   {pgproto.ProtocolVersion, []byte("user\x00desk")},
		"bytes after the end":       {pgproto.ProtocolVersion, append(packet("user", "desk"), 'x')},
		"parameter without a value": {pgproto.ProtocolVersion, []byte("user\x00")},
	} {
		var startup startupPhase
		err := startup.readPacket(tt.version, tt.body)
		var failure *pgproto.Error
		if !errors.Is(err, pgproto.ErrMalformed) && !errors.As(err, &failure) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}
