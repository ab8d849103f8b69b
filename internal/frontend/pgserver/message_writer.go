package pgserver

import (
	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/pgproto"
)

// maxIdleOutput is the largest buffer that is kept for the next messages, in bytes.
const maxIdleOutput = 64 << 10

// messageWriter buffers the messages to one client until they are written together.
type messageWriter struct {
	buffer []byte
}

// message appends one message, whose body is given in parts.
func (w *messageWriter) message(kind byte, body ...[]byte) {
	w.buffer = pgproto.AppendMessage(w.buffer, kind, body...)
}

// dataRows appends complete DataRow messages.
func (w *messageWriter) dataRows(messages []byte) {
	w.buffer = append(w.buffer, messages...)
}

// rowDescription appends a RowDescription with the body, or NoData if the body is nil.
func (w *messageWriter) rowDescription(body []byte) {
	if body == nil {
		w.message(pgproto.ServerNoData)
		return
	}
	w.message(pgproto.ServerRowDescription, body)
}

func (w *messageWriter) commandComplete(tag string) {
	w.message(pgproto.ServerCommandComplete, pgproto.CString(tag))
}

func (w *messageWriter) errorResponse(failure *pgproto.Error) {
	w.message(pgproto.ServerErrorResponse, failure.Body())
}

// size returns the number of buffered bytes.
func (w *messageWriter) size() int { return len(w.buffer) }

// flushTo writes the buffered messages to the socket.
func (w *messageWriter) flushTo(socket *eventloop.Conn) {
	if len(w.buffer) > 0 {
		socket.Write(w.buffer)
	}
	w.discard()
}

// discard drops the buffered messages. It releases the memory of a large buffer.
func (w *messageWriter) discard() {
	w.buffer = w.buffer[:0]
	if cap(w.buffer) > maxIdleOutput {
		w.buffer = nil
	}
}
