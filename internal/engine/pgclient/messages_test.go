package pgclient_test

import (
	"encoding/binary"

	"flaxrelay/internal/pgproto"
)

// lengthSize is the size in bytes of a message's length, which includes itself.
const lengthSize = 4

func message(kind byte, body string) []byte {
	b := binary.BigEndian.AppendUint32([]byte{kind}, uint32(lengthSize+len(body)))
	return append(b, body...)
}

func failure(severity, code string) []byte {
	return message('E', "S"+severity+"\x00V"+severity+"\x00C"+code+"\x00Mwords of the engine\x00\x00")
}

// columnDescription describes a text column after its name: no table (4 bytes) and attribute (2),
// the type (4), its size (2) and modifier (4), and the format (2).
const columnDescription = "\x00\x00\x00\x00\x00\x00\x00\x00\x00\x19\xff\xff\xff\xff\xff\xff\x00\x00"

var (
	authenticated = message('R', "\x00\x00\x00\x00")
	setting       = message('S', "server_version\x0016.3\x00")
	key           = message('K', "\x00\x00\x00\x07\x00\x00\x00\x09")
	ready         = message('Z', "I")
	parsed        = message('1', "")
	bound         = message('2', "")
	columns       = message('T', "\x00\x01part\x00"+columnDescription)
	parameters    = message('t', "\x00\x01\x00\x00\x00\x19")
	row           = message('D', "\x00\x01\x00\x00\x00\x05chain")
	complete      = message('C', "SELECT 1\x00")
)

const question = "SELECT part FROM stock_4.parts WHERE id = $1"

// The responses of an engine, up to the end.
var (
	emptyResponse  = [][]byte{parsed, bound, columns, complete, ready}
	reusedResponse = [][]byte{bound, columns, complete, ready} // to a statement that is prepared already
)

// statement returns a statement without parameters.
func statement(query string) *pgproto.Statement {
	const (
		noTypes  = "\x00\x00"
		noValues = "\x00\x00\x00\x00\x00\x00" // no formats, no values, no formats of results
	)
	return &pgproto.Statement{Query: query, ParameterTypes: []byte(noTypes), Bind: []byte(noValues)}
}
