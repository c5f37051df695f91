// Package carobpipelinedrequest holds one request of a connection until it is answered, and
// writes its answer after those of the earlier requests.
package carobpipelinedrequest

import (
	"bufio"
	"io"
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobanswer"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

// connection is the connection that the request was received on.
type connection interface {
	// ClosesAfter reports whether the connection closes after the answer to v. If it
	// does, no further request is accepted.
	ClosesAfter(v *PipelinedRequest) bool
	// ExtendDeadline extends the write deadline.
	ExtendDeadline()
	// Remove removes v, whose answer was sent. If complete is false, it was not sent
	// completely, and the connection cannot be used any more.
	Remove(v *PipelinedRequest, complete bool)
}

// Config holds the parameters of a PipelinedRequest.
type Config struct {
	// Request includes the complete body.
	Request    *fasthttp.Request
	Connection connection
	Writer     *bufio.Writer
	// PreviousDone is closed once the earlier requests of the connection are answered.
	PreviousDone <-chan struct{}
}

// PipelinedRequest is a request with the place of its answer in the order of its connection.
type PipelinedRequest struct {
	config Config
	mutex  sync.Mutex
	// onDisconnect is called when the caller disconnects; nil if there is nothing to
	// call. It and disconnected are guarded by mutex.
	onDisconnect func()
	disconnected bool
	// closing is true if the connection is to close after the answer.
	closing bool
	done    chan struct{}
}

// NewPipelinedRequest returns a request without an answer.
func NewPipelinedRequest(c Config) *PipelinedRequest {
	return &PipelinedRequest{config: c, done: make(chan struct{})}
}

// Request returns the request, including the complete body.
func (v *PipelinedRequest) Request() *fasthttp.Request { return v.config.Request }

// Done returns a channel that is closed once the request was answered or its
// connection broke.
func (v *PipelinedRequest) Done() <-chan struct{} { return v.done }

// SetCloseAfter makes the connection close after the answer. It must be called
// before the answer is sent.
func (v *PipelinedRequest) SetCloseAfter() { v.closing = true }

// ClosesAfter reports whether the connection is to close after the answer, by
// SetCloseAfter or by the caller's Connection header.
func (v *PipelinedRequest) ClosesAfter() bool { return v.closing || v.config.Request.ConnectionClose() }

// OnDisconnect sets the function that is called once if the caller disconnects. It is
// called immediately if the caller has already disconnected. nil removes the
// function.
func (v *PipelinedRequest) OnDisconnect(call func()) {
	v.mutex.Lock()
	v.onDisconnect = call
	disconnected := v.disconnected
	v.mutex.Unlock()
	if disconnected && call != nil {
		call()
	}
}

// Disconnect records that the caller has disconnected, and calls the function that
// OnDisconnect set.
func (v *PipelinedRequest) Disconnect() {
	v.mutex.Lock()
	call := v.onDisconnect
	first := !v.disconnected
	v.disconnected = true
	v.mutex.Unlock()
	if first && call != nil {
		call()
	}
}

// SendResponse sends a complete response after the answers to the earlier requests.
func (v *PipelinedRequest) SendResponse(resp *fasthttp.Response) {
	<-v.config.PreviousDone
	v.finish(v.writeWhole(resp) == nil)
}

// SendAnswer sends an answer and its body, as it is received, after the answers to the
// earlier requests. It returns None if the complete answer was sent, and
// ConnectionLost otherwise.
func (v *PipelinedRequest) SendAnswer(answer *carobanswer.Answer) carobkind.Kind {
	<-v.config.PreviousDone
	err := v.writeStream(answer)
	closeErr := answer.Body.Close()
	v.finish(err == nil)
	if err != nil || closeErr != nil && !answer.NoBody {
		return carobkind.ConnectionLost
	}
	return carobkind.None
}

func (v *PipelinedRequest) finish(complete bool) {
	close(v.done)
	v.config.Connection.Remove(v, complete)
}

// prepareHeader sets the headers that concern the connection.
func (v *PipelinedRequest) prepareHeader(resp *fasthttp.Response) {
	resp.Header.SetNoDefaultContentType(true)
	if v.config.Connection.ClosesAfter(v) {
		resp.SetConnectionClose()
	}
	v.config.Connection.ExtendDeadline()
}

func (v *PipelinedRequest) writeWhole(resp *fasthttp.Response) error {
	v.prepareHeader(resp)
	body := resp.Body()
	resp.Header.SetContentLength(len(body))
	if err := resp.Header.Write(v.config.Writer); err != nil {
		return err
	}
	if !v.config.Request.Header.IsHead() {
		if _, err := v.config.Writer.Write(body); err != nil {
			return err
		}
	}
	return v.config.Writer.Flush()
}

// copyBufferSize is the size in bytes of the buffer for copying a body.
const copyBufferSize = 16 * 1024

func (v *PipelinedRequest) writeStream(answer *carobanswer.Answer) error {
	v.prepareHeader(answer.Response)
	if !answer.NoBody {
		answer.Response.Header.SetContentLength(answer.Length)
	}
	if err := answer.Response.Header.Write(v.config.Writer); err != nil {
		return err
	}
	switch {
	case answer.NoBody:
	case answer.Length >= 0:
		if err := v.copyFixedLength(answer); err != nil {
			return err
		}
	default:
		if err := v.copyChunked(answer.Body); err != nil {
			return err
		}
	}
	return v.config.Writer.Flush()
}

func (v *PipelinedRequest) copyFixedLength(answer *carobanswer.Answer) error {
	n, err := io.CopyBuffer(v.config.Writer, &deadlineReader{Reader: answer.Body, connection: v.config.Connection}, make([]byte, min(copyBufferSize, max(1, answer.Length))))
	if err == nil && n != int64(answer.Length) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (v *PipelinedRequest) copyChunked(body io.Reader) error {
	buf := make([]byte, copyBufferSize)
	for {
		v.config.Connection.ExtendDeadline()
		n, err := body.Read(buf)
		if n > 0 {
			if writeErr := writeChunk(v.config.Writer, buf[:n]); writeErr != nil {
				return writeErr
			}
		}
		if err == io.EOF { //nolint:errorlint // readers return io.EOF itself
			_, err = v.config.Writer.WriteString("0\r\n\r\n")
			return err
		}
		if err != nil {
			return err
		}
	}
}

// deadlineReader extends the connection's write deadline before each read, so
// that time spent waiting for the body does not count against the receiver.
type deadlineReader struct {
	io.Reader
	connection connection
}

// Read reads from the body.
func (r *deadlineReader) Read(buf []byte) (int, error) {
	r.connection.ExtendDeadline()
	return r.Reader.Read(buf)
}
