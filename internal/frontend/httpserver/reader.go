package httpserver

import "flaxrelay/internal/eventloop"

// requestReader reads the requests of one connection from the buffer of its socket. It separates the bytes of the
// request being served from those after it. It must be used from the goroutine of the event loop only.
type requestReader struct {
	socket *eventloop.Conn
	// input is the socket's buffer while OnData runs, and nil otherwise. OnData runs with the buffer locked, so
	// eventloop.Conn.UnreadBytes must not be called then.
	input       *eventloop.Buffer
	requestSize int // bytes at the start of input that belong to the request being served
	parser      requestParser
}

// begin sets the buffer to read from until end is called. OnData calls both.
func (r *requestReader) begin(input *eventloop.Buffer) { r.input = input }

func (r *requestReader) end() {
	r.input = nil
	r.requestSize = 0
}

// next parses the next request and reports whether it is complete. The request stays in the buffer until consume is
// called.
func (r *requestReader) next() (request httpRequest, complete bool, err *statusError) {
	input := r.input.Bytes()
	request, size, err := r.parser.parse(input)
	if err != nil || size == 0 {
		return request, false, err
	}
	request.arrivedAt = r.input.ArrivedAt(size)
	r.requestSize = size
	if size < len(input) && !canStartRequest(input[size:]) {
		return request, false, wrongContentLength()
	}
	return request, true, nil
}

// consume drops the request that next returned.
func (r *requestReader) consume() { r.drop(r.requestSize) }

// discardAll drops all bytes of the buffer.
func (r *requestReader) discardAll() { r.drop(r.input.Len()) }

// drop drops bytes at the start of the buffer. The parser then expects a new request.
func (r *requestReader) drop(size int) {
	r.input.Consume(size)
	r.requestSize = 0
	r.parser = requestParser{}
}

// canStartRequest reports whether the unread bytes can be the start of a request. It must be called while OnData
// runs.
func (r *requestReader) canStartRequest() bool {
	return canStartRequest(r.input.Bytes()[r.requestSize:])
}

// unread returns the number of bytes in the buffer, without those of the request being served.
func (r *requestReader) unread() int {
	if r.input == nil {
		return r.socket.UnreadBytes()
	}
	return r.input.Len() - r.requestSize
}
