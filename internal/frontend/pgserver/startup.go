package pgserver

import (
	"fmt"
	"strings"

	"flaxrelay/internal/pgproto"
)

// encryptionDeclined is the response to a request for TLS or GSSAPI encryption.
const encryptionDeclined = 'N'

// protocolOptionPrefix is the prefix of the names of protocol options in a startup packet.
const protocolOptionPrefix = "_pq_."

// Fields of a protocol version, which is a number of 32 bits.
const (
	majorVersionShift = 16
	minorVersionMask  = 0xffff
)

// newestMinorVersion is the newest minor version of the protocol that is supported.
const newestMinorVersion = 0

// serverParameters are sent as ParameterStatus messages at the end of the startup.
var serverParameters = [...]struct{ name, value string }{
	{"server_version", "16.0 (ringwood)"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"TimeZone", "UTC"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
}

// startupPhase reads the startup packet of a client, holds its parameters, and writes the messages that begin the
// session.
type startupPhase struct {
	version        uint32
	user           string
	unknownOptions [][]byte // names of requested protocol options; the server supports none
	settings       sessionSettings
}

// readPacket reads a startup packet, which starts with a protocol version. The returned error is a *pgproto.Error or
// wraps pgproto.ErrMalformed.
func (p *startupPhase) readPacket(version uint32, body []byte) error {
	major := version >> majorVersionShift
	if major != pgproto.ProtocolVersion>>majorVersionShift {
		return newError(codeProtocolViolation,
			"protocol version %d.%d is not supported", major, version&minorVersionMask)
	}
	p.version = version
	reader := pgproto.Reader{Unread: body}
	for {
		name := reader.CString()
		if name == "" {
			break
		}
		if failure := p.applyParameter(name, reader.CString()); failure != nil {
			return failure
		}
	}
	if !reader.Complete() {
		return fmt.Errorf("%w: the startup packet", pgproto.ErrMalformed)
	}
	return nil
}

// applyParameter applies one parameter of a startup packet. Unknown parameters are ignored.
func (p *startupPhase) applyParameter(name, value string) *pgproto.Error {
	switch {
	case strings.HasPrefix(name, protocolOptionPrefix):
		p.unknownOptions = append(p.unknownOptions, pgproto.CString(name))
	case name == "user":
		p.user = value
	case name == statementTimeoutName:
		return p.settings.setStatementTimeout(value)
	case name == "options":
		return p.applyOptions(value)
	}
	return nil
}

// applyOptions applies the statement_timeout of the "options" parameter, as in "-c statement_timeout=5s". Other options
// are ignored.
func (p *startupPhase) applyOptions(text string) *pgproto.Error {
	words := strings.Fields(text)
	for i, word := range words {
		switch {
		case word == "-c" && i+1 < len(words):
			word = words[i+1]
		case strings.HasPrefix(word, "-c"):
			word = word[len("-c"):]
		case strings.HasPrefix(word, "--"):
			word = word[len("--"):]
		default:
			continue
		}
		name, value, _ := strings.Cut(word, "=")
		if strings.ReplaceAll(name, "-", "_") == statementTimeoutName {
			return p.settings.setStatementTimeout(value)
		}
	}
	return nil
}

// writeSession writes the messages that begin the session, up to its first ReadyForQuery.
func (p *startupPhase) writeSession(output *messageWriter, key cancelKey) {
	if p.version > pgproto.ProtocolVersion || len(p.unknownOptions) > 0 {
		parts := [][]byte{pgproto.Int32(newestMinorVersion), pgproto.Int32(len(p.unknownOptions))}
		output.message(pgproto.ServerNegotiateProtocolVersion, append(parts, p.unknownOptions...)...)
	}
	output.message(pgproto.ServerAuthentication, pgproto.Int32(pgproto.AuthenticationOK))
	for _, parameter := range serverParameters {
		output.message(pgproto.ServerParameterStatus, pgproto.CString(parameter.name), pgproto.CString(parameter.value))
	}
	output.message(pgproto.ServerBackendKeyData, key.body())
}

// serveStartupMessage serves a message of the startup and returns its size, or 0 while it is incomplete.
func (c *connection) serveStartupMessage(input []byte) (size int, err error) {
	code, body, size, err := pgproto.ParseStartup(input)
	if err != nil || size == 0 {
		return size, err
	}
	switch code {
	case pgproto.SSLRequestCode, pgproto.GSSENCRequestCode:
		c.socket.Write([]byte{encryptionDeclined})
	case pgproto.CancelRequestCode:
		c.server.cancel(body)
		c.close()
	default:
		return size, c.beginSession(code, body)
	}
	return size, nil
}

// beginSession reads the startup packet and begins the session of a client that is admitted.
func (c *connection) beginSession(version uint32, body []byte) error {
	if err := c.startup.readPacket(version, body); err != nil {
		return err
	}
	if failure := c.server.admit(c.startup); failure != nil {
		c.fatal(failure)
		return nil
	}
	c.state = stateReady
	c.settings = c.startup.settings
	c.key.generateSecret()
	c.startup.writeSession(&c.output, c.key)
	c.startup = nil
	c.sendReady()
	return nil
}

// admit returns an error for a client that may not begin a session. The number of open connections includes the
// client's own.
func (s *Server) admit(startup *startupPhase) *pgproto.Error {
	if startup.user == "" {
		return newError(codeInvalidAuthorization, "no user name in the startup packet")
	}
	if maxClients := s.options.MaxClients; maxClients > 0 && len(s.connections) > maxClients {
		return newError(codeTooManyConnections, "too many clients already")
	}
	return nil
}
