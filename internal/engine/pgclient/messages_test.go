package pgclient_test

import (
	"encoding/binary"
	"slices"

	"flaxrelay/internal/pgproto"
)

// lengthSize is the size of a message's length field in bytes. The length includes the field itself.
const lengthSize = 4

// message returns a message of the engine.
func message(kind byte, body string) []byte {
	b := binary.BigEndian.AppendUint32([]byte{kind}, uint32(lengthSize+len(body)))
	return append(b, body...)
}

// columnDescription is the description of a text column without its name: no table (4 bytes) and no
// attribute (2), the type (4), its size (2) and modifier (4), and the format (2).
const columnDescription = "\x00\x00\x00\x00\x00\x00\x00\x00\x00\x19\xff\xff\xff\xff\xff\xff\x00\x00"

// The messages of the engine, under their names in PostgreSQL's documentation.
var (
	authenticationOK     = message('R', "\x00\x00\x00\x00")
	parameterStatus      = message('S', "server_version\x0016.3\x00")
	backendKeyData       = message('K', "\x00\x00\x00\x07\x00\x00\x00\x09")
	readyForQuery        = message('Z', "I")
	noticeResponse       = message('N', "\x00")
	parseComplete        = message('1', "")
	bindComplete         = message('2', "")
	parameterDescription = message('t', "\x00\x01\x00\x00\x00\x19")
	rowDescription       = message('T', "\x00\x01part\x00"+columnDescription)
	noData               = message('n', "")
	dataRow              = message('D', "\x00\x01\x00\x00\x00\x05chain")
	commandComplete      = message('C', "SELECT 1\x00")
	emptyQueryResponse   = message('I', "")
)

// The SQLSTATE codes of the engine's errors, under their names in PostgreSQL's documentation.
const (
	connectionFailure    = "08006"
	featureNotSupported  = "0A000"
	divisionByZero       = "22012"
	invalidStatementName = "26000"
	invalidAuthorization = "28000"
	invalidCatalogName   = "3D000"
	serializationFailure = "40001"
	undefinedTable       = "42P01"
	diskFull             = "53100"
	tooManyConnections   = "53300"
	queryCanceled        = "57014"
	adminShutdown        = "57P01"
	cannotConnectNow     = "57P03"
	idleSessionTimeout   = "57P05"
	ioError              = "58030"
	configFileError      = "F0000"
	internalError        = "XX000"
)

// errorResponse returns an ErrorResponse with a SQLSTATE code.
func errorResponse(severity, code string) []byte {
	return message('E', "S"+severity+"\x00V"+severity+"\x00C"+code+"\x00Mwords of the engine\x00\x00")
}

// The complete responses to a query without rows.
var (
	emptyResponse  = responseWithRows(0)
	reusedResponse = emptyResponse[1:] // without ParseComplete: the statement is already prepared
)

// responseWithRows returns the complete response to a query that parses its statement.
func responseWithRows(rows int) [][]byte {
	return slices.Concat(
		[][]byte{parseComplete, bindComplete, rowDescription},
		slices.Repeat([][]byte{dataRow}, rows),
		[][]byte{commandComplete, readyForQuery},
	)
}

// lookupStatement is the statement of most attempts.
var lookupStatement = statement("SELECT part FROM stock_4.parts WHERE id = $1")

// statement returns a statement without parameters.
func statement(query string) *pgproto.Statement {
	const (
		noTypes  = "\x00\x00"
		noValues = "\x00\x00\x00\x00\x00\x00" // no formats, no values, no formats of results
	)
	return &pgproto.Statement{Query: query, ParameterTypes: []byte(noTypes), Bind: []byte(noValues)}
}
