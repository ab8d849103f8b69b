package httpserver

import "flaxrelay/internal/eventloop"

// requestReader reads the requests of one connection from the buffer of its socket. It knows which bytes belong to
// the request being served and which have arrived after it. It belongs to the goroutine of the event loop.
type requestReader struct {
	socket *eventloop.Conn
	// input is the socket's buffer while OnData runs, and nil otherwise. The buffer is locked meanwhile, so that
	// its socket must not be asked for the number of its bytes.
	input       *eventloop.Buffer
	requestSize int // bytes at the start of input that belong to the request being served
}

// begin starts to read from the buffer, end stops that.
func (r *requestReader) begin(input *eventloop.Buffer) { r.input = input }

func (r *requestReader) end() {
	r.input = nil
	r.requestSize = 0
}

// next parses the next request and reports whether it is complete. It stays in the buffer until consume.
func (r *requestReader) next() (request httpRequest, complete bool, err *statusError) {
	input := r.input.Bytes()
	request, size, err := parse(input)
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
func (r *requestReader) consume() {
	r.input.Consume(r.requestSize)
	r.requestSize = 0
}

// discardAll drops all that has arrived.
func (r *requestReader) discardAll() {
	r.input.Consume(r.input.Len())
	r.requestSize = 0
}

// canStartRequest reports whether the unread bytes can be the start of a request. It must be called while OnData
// runs.
func (r *requestReader) canStartRequest() bool {
	return canStartRequest(r.input.Bytes()[r.requestSize:])
}

// unread returns the number of bytes that have arrived after the request being served, or of all that have arrived
// where none is.
func (r *requestReader) unread() int {
	if r.input == nil {
		return r.socket.UnreadBytes()
	}
	return r.input.Len() - r.requestSize
}
