package carobpool

import (
	"bytes"
	"io"
	"net/http/httputil"
	"sync/atomic"
	"syscall"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"github.com/carobknot/carobknot/pkg/carobkind"
)

const (
	expectContinue = "100-continue"
	// tcpClose is the state of a TCP connection that was reset (TCP_CLOSE of Linux).
	tcpClose = 7
	// copyBufferSize is the size of the buffer that copies a body, in bytes. It is also
	// the longest body that discardResponse reads.
	copyBufferSize = 32 * 1024
)

// exchange sends one request on one connection and reads the header of the
// response.
//
// The HTTP library writes the whole request before it reads anything. A response
// that arrives while a long body is still being sent would be read too late, or
// never if the peer has closed its side of the connection. Therefore a separate
// goroutine sends the body here.
type exchange struct {
	config  Config
	conn    *pooledConn
	request *fasthttp.Request
	// requestSent is true once the whole request has been written.
	requestSent atomic.Bool
}

// run sends the request and returns the final response, with its body not yet read.
func (x *exchange) run() (*fasthttp.Response, error) {
	x.request.Header.SetNoDefaultContentType(true)
	if !x.request.IsBodyStream() {
		x.setContentLength()
		if len(x.request.Body()) <= writeBufferSize {
			return x.runBuffered()
		}
	}
	if x.config.ExpectContinue {
		x.request.Header.Set(fasthttp.HeaderExpect, expectContinue)
	}
	if err := x.write(nil); err != nil {
		return nil, err
	}
	if x.config.ExpectContinue {
		resp, err := x.readHeader()
		if err != nil || resp.StatusCode() >= fasthttp.StatusOK {
			return resp, err
		}
		if resp.StatusCode() != fasthttp.StatusContinue {
			return nil, carobkind.New(carobkind.ConnectionLost, "response has the interim status %d instead of %d", resp.StatusCode(), fasthttp.StatusContinue)
		}
	}
	go x.sendBody()
	return x.readFinalResponse()
}

// setContentLength sets Content-Length for a body that is held in memory.
func (x *exchange) setContentLength() {
	if length := len(x.request.Body()); length > 0 {
		x.request.Header.SetContentLength(length)
	}
}

// runBuffered sends a request whose body fits into the write buffer, without a
// goroutine of its own.
func (x *exchange) runBuffered() (*fasthttp.Response, error) {
	if err := x.write(x.request.Body()); err != nil {
		return nil, err
	}
	x.requestSent.Store(true)
	return x.readFinalResponse()
}

// write sends the header, followed by the given body.
func (x *exchange) write(body []byte) error {
	if err := x.request.Header.Write(x.conn.writer); err != nil {
		return err
	}
	if _, err := x.conn.writer.Write(body); err != nil {
		return err
	}
	return x.conn.writer.Flush()
}

// sendBody sends the body. If reading the body from its source fails, the
// connection is closed, which keeps the peer from taking a truncated body for a
// complete one. If writing to the peer fails, the peer may have responded early;
// the goroutine that reads the response finds out.
func (x *exchange) sendBody() {
	source := x.newBodySource()
	err := x.copyBody(source)
	switch {
	case source.failed:
		_ = x.conn.Close()
	case err == nil:
		x.requestSent.Store(true)
	}
}

// isBroken reports whether the peer has reset the connection, or may have, before the whole
// request was sent. The kernel reports a reset once only. If the goroutine that sends the
// body receives that error, reading returns io.EOF, as at the end of a complete response.
func (x *exchange) isBroken() bool {
	if x.requestSent.Load() {
		return false
	}
	syscallConn, ok := x.conn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return true
	}
	broken := true
	err = raw.Control(func(fd uintptr) {
		// A connection that the peer has closed for sending only is not in this state.
		info, errInfo := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) //nolint:gosec // descriptors are small
		broken = errInfo != nil || info.State == tcpClose
	})
	return err != nil || broken
}

// newBodySource returns the reader of the body of the request.
func (x *exchange) newBodySource() *bodySource {
	if x.request.IsBodyStream() {
		return &bodySource{from: x.request.BodyStream()}
	}
	return &bodySource{from: bytes.NewReader(x.request.Body())}
}

// copyBody sends the body with the length of the request's header, or in chunks if
// the header has no length. A body that ends early is an error.
func (x *exchange) copyBody(from *bodySource) error {
	into := &bodyWriter{exchange: x}
	length := x.request.Header.ContentLength()
	if length < 0 {
		return x.copyChunked(into, from)
	}
	if err := x.copyAndFlush(into, io.LimitReader(from, int64(length))); err != nil {
		return err
	}
	if from.bytesRead < int64(length) {
		from.failed = true
		return io.ErrUnexpectedEOF
	}
	return nil
}

// copyChunked sends the body in chunks.
func (x *exchange) copyChunked(into *bodyWriter, from *bodySource) error {
	chunks := httputil.NewChunkedWriter(into)
	if err := x.copyAndFlush(chunks, from); err != nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	if _, err := io.WriteString(into, "\r\n"); err != nil {
		return err
	}
	return x.conn.writer.Flush()
}

// copyAndFlush copies until from returns io.EOF. It flushes after each read, so that
// no bytes wait in the buffer while the next read blocks.
func (x *exchange) copyAndFlush(into io.Writer, from io.Reader) error {
	buffer := make([]byte, copyBufferSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if _, errWrite := into.Write(buffer[:n]); errWrite != nil {
				return errWrite
			}
			if errFlush := x.conn.writer.Flush(); errFlush != nil {
				return errFlush
			}
		}
		if err == io.EOF { //nolint:errorlint // readers return io.EOF itself
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// bodySource reads the body of a request and records whether reading it failed.
type bodySource struct {
	from io.Reader
	// bytesRead is the number of bytes read so far.
	bytesRead int64
	// failed is true after an error other than io.EOF, or if the body ended early.
	failed bool
}

func (s *bodySource) Read(into []byte) (int, error) {
	n, err := s.from.Read(into)
	s.bytesRead += int64(n)
	if err != nil && err != io.EOF { //nolint:errorlint // readers return io.EOF itself
		s.failed = true
	}
	return n, err
}

// bodyWriter writes the body of a request to the connection. Each write extends the
// write deadline by Config.StallTimeout.
type bodyWriter struct {
	exchange *exchange
}

func (s *bodyWriter) Write(data []byte) (int, error) {
	config := s.exchange.config
	_ = s.exchange.conn.SetWriteDeadline(config.Timer.WallTime().Add(config.StallTimeout))
	return s.exchange.conn.writer.Write(data)
}
