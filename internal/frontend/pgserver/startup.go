package pgserver

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"strings"

	"flaxrelay/internal/pgproto"
)

// encryptionRefused is the answer to a request for TLS or GSSAPI encryption.
const encryptionRefused = 'N'

// protocolOptionPrefix begins the names of protocol options in a startup packet.
const protocolOptionPrefix = "_pq_."

// serverParameters are the ParameterStatus messages that end a startup.
var serverParameters = [...]struct{ name, value string }{
	{"server_version", "16.0 (ringwood)"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"TimeZone", "UTC"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
}

// startupPacket is what the server uses of a client's startup packet.
type startupPacket struct {
	user           string
	unknownOptions [][]byte // names of protocol options, none of which is known here
}

// readStartup reads one of a connection's first messages and returns its size, or 0
// while it is incomplete.
func (c *connection) readStartup(input []byte) (size int, err error) {
	code, body, size, err := pgproto.ParseStartup(input)
	if err != nil || size == 0 {
		return size, err
	}
	switch {
	case code == pgproto.SSLRequestCode || code == pgproto.GSSENCRequestCode:
		c.socket.Write([]byte{encryptionRefused})
	case code == pgproto.CancelRequestCode:
		c.server.cancel(body)
		c.closeNow()
	case code>>16 != pgproto.ProtocolVersion>>16:
		return size, newError(codeProtocolViolation, "protocol version %d.%d is not supported", code>>16, code&0xffff)
	default:
		return size, c.start(code, body)
	}
	return size, nil
}

// start reads a startup packet and begins the session, or closes the connection.
func (c *connection) start(version uint32, body []byte) error {
	packet, err := c.readStartupPacket(body)
	if err != nil {
		return err
	}
	if packet.user == "" {
		c.fatal(newError(codeInvalidAuthorization, "no user name in the startup packet"))
		return nil
	}
	if maxClients := c.server.options.MaxClients; maxClients > 0 && len(c.server.connections) > maxClients {
		c.fatal(newError(codeTooManyConnections, "too many clients already"))
		return nil
	}
	c.state = stateReady
	if version > pgproto.ProtocolVersion || len(packet.unknownOptions) > 0 {
		const newestMinorVersion = 0
		parts := [][]byte{pgproto.Int32(newestMinorVersion), pgproto.Int32(len(packet.unknownOptions))}
		c.send(pgproto.ServerNegotiateProtocolVersion, append(parts, packet.unknownOptions...)...)
	}
	const authenticationOk = 0
	c.send(pgproto.ServerAuthentication, pgproto.Int32(authenticationOk))
	for _, parameter := range serverParameters {
		c.send(pgproto.ServerParameterStatus, pgproto.CString(parameter.name), pgproto.CString(parameter.value))
	}
	_, _ = rand.Read(c.secretKey[:]) // it never fails
	c.send(pgproto.ServerBackendKeyData, binary.BigEndian.AppendUint32(nil, c.processID), c.secretKey[:])
	c.sendReady()
	return nil
}

// readStartupPacket reads the parameters of a startup packet and applies those that set
// the session.
func (c *connection) readStartupPacket(body []byte) (packet startupPacket, err error) {
	r := pgproto.Reader{Unread: body}
	for {
		name := r.CString()
		if name == "" {
			break
		}
		value := r.CString()
		var err error
		switch {
		case strings.HasPrefix(name, protocolOptionPrefix):
			packet.unknownOptions = append(packet.unknownOptions, pgproto.CString(name))
		case name == "user":
			packet.user = value
		case name == statementTimeoutName:
			err = c.setStatementTimeout(value)
		case name == "options":
			err = c.applyOptions(value)
		}
		if err != nil {
			return packet, err
		}
	}
	if !r.Complete() {
		return packet, fmt.Errorf("%w: the startup packet", pgproto.ErrMalformed)
	}
	return packet, nil
}

// applyOptions applies the server options of a startup packet, as in
// "-c statement_timeout=5s". Others are ignored.
func (c *connection) applyOptions(text string) error {
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
			return c.setStatementTimeout(value)
		}
	}
	return nil
}
