// Package carobpipelinedrequest holds one request of a connection until it is answered,
// and writes its answer after those of the earlier requests.
package carobpipelinedrequest

import (
	"bufio"
	"io"
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobanswer"
	"github.com/carobknot/carobknot/internal/carobheader"
	"github.com/carobknot/carobknot/internal/carobsegmentedbody"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

// connection is the connection that the request was received on.
type connection interface {
	// ClosesAfter reports whether the connection closes after the answer to pipelined.
	// If it does, no further request is accepted.
	ClosesAfter(pipelined *PipelinedRequest) bool
	// ExtendDeadline extends the write deadline.
	ExtendDeadline()
	// Respond records that the call of a request has ended, and that its complete response
	// is to be sent.
	Respond()
	// Remove removes pipelined after its answer was sent. If complete is false, the
	// answer was not sent completely, and the connection cannot be used any more.
	Remove(pipelined *PipelinedRequest, complete bool)
}

// Config holds the parameters of a PipelinedRequest.
type Config struct {
	// Request includes the complete body, unless that is in Body.
	Request *fasthttp.Request
	// Body is the body if it is in several segments; nil otherwise.
	Body       *carobsegmentedbody.SegmentedBody
	Connection connection
	Writer     *bufio.Writer
	// PreviousDone is closed once the earlier requests of the connection are answered.
	PreviousDone <-chan struct{}
}

// PipelinedRequest is a request with the place of its answer in the order of its
// connection.
type PipelinedRequest struct {
	config Config
	mutex  sync.Mutex
	// onDisconnect is called when the caller disconnects; nil if there is nothing to
	// call. It and disconnected are guarded by mutex.
	onDisconnect func()
	disconnected bool
	// closing is true if the connection is to close after the answer.
	closing bool
	// responded is true once the complete response is to be sent.
	responded bool
	// done is closed once the request was answered or its connection broke.
	done chan struct{}
}

// NewPipelinedRequest returns a request without an answer.
func NewPipelinedRequest(c Config) *PipelinedRequest {
	return &PipelinedRequest{config: c, done: make(chan struct{})}
}

// Request returns the request, including the complete body unless Body returns it.
func (p *PipelinedRequest) Request() *fasthttp.Request { return p.config.Request }

// Body returns the body if it is in several segments, and nil otherwise.
func (p *PipelinedRequest) Body() *carobsegmentedbody.SegmentedBody { return p.config.Body }

// Responded reports whether the complete response was known before it was sent.
func (p *PipelinedRequest) Responded() bool { return p.responded }

// Done returns a channel that is closed once the request was answered or its
// connection broke.
func (p *PipelinedRequest) Done() <-chan struct{} { return p.done }

// SetCloseAfter makes the connection close after the answer. It must be called
// before the answer is sent.
func (p *PipelinedRequest) SetCloseAfter() { p.closing = true }

// ClosesAfter reports whether the connection is to close after the answer, by
// SetCloseAfter or by the caller's Connection header.
func (p *PipelinedRequest) ClosesAfter() bool { return p.closing || p.config.Request.ConnectionClose() }

// OnDisconnect sets the function that is called once if the caller disconnects. It is
// called immediately if the caller has already disconnected. nil removes the
// function.
func (p *PipelinedRequest) OnDisconnect(call func()) {
	p.mutex.Lock()
	p.onDisconnect = call
	disconnected := p.disconnected
	p.mutex.Unlock()
	if disconnected && call != nil {
		call()
	}
}

// Disconnect records that the caller has disconnected, and calls the function that
// OnDisconnect set.
func (p *PipelinedRequest) Disconnect() {
	p.mutex.Lock()
	call := p.onDisconnect
	first := !p.disconnected
	p.disconnected = true
	p.mutex.Unlock()
	if first && call != nil {
		call()
	}
}

// SendResponse sends a complete response after the answers to the earlier requests.
func (p *PipelinedRequest) SendResponse(resp *fasthttp.Response) {
	p.respond()
	<-p.config.PreviousDone
	p.finish(p.writeWhole(resp) == nil)
}

// SendAnswer sends an answer and its body, as it is received, after the answers to the
// earlier requests. It returns None if the complete answer was sent, and
// ConnectionLost otherwise.
func (p *PipelinedRequest) SendAnswer(answer *carobanswer.Answer) carobkind.Kind {
	if answer.Buffered {
		p.respond()
	}
	<-p.config.PreviousDone
	err := p.writeStream(answer)
	closeErr := answer.Body.Close()
	p.finish(err == nil)
	if err != nil || closeErr != nil && !answer.NoBody {
		return carobkind.ConnectionLost
	}
	return carobkind.None
}

// respond records that nothing remains but to send the response.
func (p *PipelinedRequest) respond() {
	p.responded = true
	p.config.Connection.Respond()
}

// finish removes the request before the next answer may begin, which closes a draining
// connection if no other request is pending.
func (p *PipelinedRequest) finish(complete bool) {
	p.config.Connection.Remove(p, complete)
	close(p.done)
}

// prepareHeader sets the headers that concern the connection.
func (p *PipelinedRequest) prepareHeader(resp *fasthttp.Response) {
	resp.Header.SetNoDefaultContentType(true)
	if p.config.Connection.ClosesAfter(p) {
		resp.SetConnectionClose()
	}
	p.config.Connection.ExtendDeadline()
}

func (p *PipelinedRequest) writeWhole(resp *fasthttp.Response) error {
	p.prepareHeader(resp)
	body := resp.Body()
	resp.Header.SetContentLength(len(body))
	if err := resp.Header.Write(p.config.Writer); err != nil {
		return err
	}
	if !p.config.Request.Header.IsHead() {
		if _, err := p.config.Writer.Write(body); err != nil {
			return err
		}
	}
	return p.config.Writer.Flush()
}

// copyBufferSize is the size in bytes of the buffer for copying a body.
const copyBufferSize = 16 * 1024

func (p *PipelinedRequest) writeStream(answer *carobanswer.Answer) error {
	p.prepareHeader(answer.Response)
	if !answer.NoBody {
		carobheader.SetContentLength(&answer.Response.Header, answer.Length)
	}
	if err := answer.Response.Header.Write(p.config.Writer); err != nil {
		return err
	}
	switch {
	case answer.NoBody:
	case answer.Length >= 0:
		if err := p.copyFixedLength(answer); err != nil {
			return err
		}
	default:
		if err := p.copyChunked(answer.Body); err != nil {
			return err
		}
	}
	return p.config.Writer.Flush()
}

func (p *PipelinedRequest) copyFixedLength(answer *carobanswer.Answer) error {
	n, err := io.CopyBuffer(p.config.Writer, &deadlineReader{Reader: answer.Body, connection: p.config.Connection}, make([]byte, min(copyBufferSize, max(1, answer.Length))))
	if err == nil && n != int64(answer.Length) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (p *PipelinedRequest) copyChunked(body io.Reader) error {
	buf := make([]byte, copyBufferSize)
	for {
		p.config.Connection.ExtendDeadline()
		n, err := body.Read(buf)
		if n > 0 {
			if writeErr := writeChunk(p.config.Writer, buf[:n]); writeErr != nil {
				return writeErr
			}
		}
		if err == io.EOF { //nolint:errorlint // readers return io.EOF itself
			_, err = p.config.Writer.WriteString("0\r\n\r\n")
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
