package pgproto

import (
	"bytes"
	"errors"
	"testing"
)

// Fields that this package does not read, such as the detail, reach the client as the engine sent them.
func TestParseError_BodyStaysAsReceived(t *testing.T) {
	body := []byte("SERROR\x00C42P01\x00Mno such table\x00Hcheck its name\x00Ddetail\x00\x00")
	parsed, err := ParseError(body)
	if err != nil {
		t.Fatal(err)
	}
	if parsed.Severity != "ERROR" || parsed.Code != "42P01" {
		t.Errorf("severity %q, code %q", parsed.Severity, parsed.Code)
	}
	if parsed.Message != "no such table" || parsed.Hint != "check its name" {
		t.Errorf("message %q, hint %q", parsed.Message, parsed.Hint)
	}
	if !bytes.Equal(parsed.Body(), body) {
		t.Errorf("got %q, want %q", parsed.Body(), body)
	}
}

func TestParseError_MalformedBodyIsAnError(t *testing.T) {
	for name, body := range map[string]string{
		"empty":                  "",
		"no final zero byte":     "SERROR\x00C42P01\x00",
		"truncated field":        "SERROR\x00C42P01",
		"bytes after the end":    "SERROR\x00C42P01\x00\x00x",
		"no code":                "SERROR\x00\x00",
		"code of another length": "SERROR\x00C42\x00\x00",
	} {
		if _, err := ParseError([]byte(body)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}
