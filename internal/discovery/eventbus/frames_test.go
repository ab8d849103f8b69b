package eventbus

import (
	"errors"
	"testing"
)

func TestParseFrame_ReturnsWhyThereIsNoFrame(t *testing.T) {
	complete := encodeFrame(4, frameDelta, record{id: 7}.encode())
	for _, test := range []struct {
		name string
		in   []byte
		want error
	}{
		{"empty input", nil, errFrameIncomplete},
		{"half a length", complete[:2], errFrameIncomplete},
		{"all but the last byte", complete[:len(complete)-1], errFrameIncomplete},
		{"complete", complete, nil},
		{"too short for a kind", []byte{0, 0, 0, 8}, errFrameLength},
		{"longest", []byte{0, 0x10, 0, 0}, errFrameIncomplete},
		{"too long", []byte{0, 0x10, 0, 1}, errFrameLength},
	} {
		t.Run(test.name, func(t *testing.T) {
			if _, err := parseFrame(test.in); !errors.Is(err, test.want) {
				t.Errorf("error %v, want %v", err, test.want)
			}
		})
	}
}

func TestDecode_ReturnsWhyAPayloadIsInvalid(t *testing.T) {
	for _, test := range []struct {
		name    string
		payload []byte
		want    error
	}{
		{"no record", nil, nil},
		{"a record", record{id: 7}.encode(), nil},
		{"part of a record", record{id: 7}.encode()[:recordSize-1], errPayloadLength},
		{"unknown state", record{id: 7, state: 3}.encode(), errUnknownState},
	} {
		t.Run(test.name, func(t *testing.T) {
			if _, err := (&recordDecoder{}).decode(test.payload); !errors.Is(err, test.want) {
				t.Errorf("error %v, want %v", err, test.want)
			}
		})
	}
}

// An invalid frame is rejected, and no frame extends past the end of the input.
func FuzzParseFrame_NeverReadsPastTheInput(f *testing.F) {
	f.Add(encodeFrame(4, frameDelta, record{id: 7, port: 70}.encode()))
	f.Add([]byte{0, 0, 0, 1, 0})
	decoder := &recordDecoder{}
	f.Fuzz(func(t *testing.T, input []byte) {
		parsed, err := parseFrame(input)
		if err != nil {
			if parsed.payload != nil {
				t.Fatalf("returned %d bytes of payload with error %v", len(parsed.payload), err)
			}
			return
		}
		if parsed.size() > len(input) {
			t.Fatalf("parsed a frame of %d bytes from %d bytes of input", parsed.size(), len(input))
		}
		engines, err := decoder.decode(parsed.payload)
		if err == nil && len(engines)*recordSize != len(parsed.payload) {
			t.Fatalf("decoded %d records from a payload of %d bytes", len(engines), len(parsed.payload))
		}
	})
}
