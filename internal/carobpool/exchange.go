package carobpool

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http/httputil"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/pkg/carobkind"
)

const (
	expectation = "100-continue"
	// maxInterim is the most interim answers before the final one.
	maxInterim = 100
	// chunkSize is how much of a body is copied at once.
	chunkSize = 32 * 1024
)

// exchange is one request and the head of its answer, on one connection.
//
// The HTTP library writes the whole request before it reads anything, so that an
// answer that comes while a long body is still going would be seen too late, or
// never if the other end has closed its side. Here the body goes in a goroutine
// of its own.
type exchange struct {
	config  Config
	conn    *conn
	request *fasthttp.Request
	// sent says that the whole request was written.
	sent atomic.Bool
}

// run sends the request and returns the head of the final answer.
func (x *exchange) run() (*fasthttp.Response, error) {
	x.request.Header.SetNoDefaultContentType(true)
	if !x.request.IsBodyStream() {
		x.setLength()
		if len(x.request.Body()) <= bufferSize {
			return x.runShort()
		}
	}
	if x.config.Ask {
		x.request.Header.Set(fasthttp.HeaderExpect, expectation)
	}
	if err := x.write(nil); err != nil {
		return nil, err
	}
	if x.config.Ask {
		rs, err := x.readHead()
		if err != nil || rs.StatusCode() != fasthttp.StatusContinue {
			return rs, err
		}
	}
	go x.pump()
	return x.readFinal()
}

// setLength names the length of a body that is all here.
func (x *exchange) setLength() {
	if length := len(x.request.Body()); length > 0 {
		x.request.Header.SetContentLength(length)
	}
}

func (x *exchange) runShort() (*fasthttp.Response, error) {
	if err := x.write(x.request.Body()); err != nil {
		return nil, err
	}
	x.sent.Store(true)
	return x.readFinal()
}

// write sends the header and a body that is all here.
func (x *exchange) write(body []byte) error {
	if err := x.request.Header.Write(x.conn.writer); err != nil {
		return err
	}
	if _, err := x.conn.writer.Write(body); err != nil {
		return err
	}
	return x.conn.writer.Flush()
}

// pump sends the body. If the body's source fails, the connection is closed, so
// that the other end never takes a part of it for the whole. If the other end
// does not take it, it may have answered, which is for the reader to see.
func (x *exchange) pump() {
	source := x.source()
	err := x.copyBody(source)
	switch {
	case source.failed:
		_ = x.conn.Close()
	case err == nil:
		x.sent.Store(true)
	}
}

func (x *exchange) source() *source {
	if x.request.IsBodyStream() {
		return &source{from: x.request.BodyStream()}
	}
	return &source{from: bytes.NewReader(x.request.Body())}
}

func (x *exchange) copyBody(from *source) error {
	into := &sink{exchange: x}
	length := x.request.Header.ContentLength()
	if length < 0 {
		return x.copyChunks(into, from)
	}
	if err := x.copyAll(into, io.LimitReader(from, int64(length))); err != nil {
		return err
	}
	if from.seen < int64(length) {
		from.failed = true
		return io.ErrUnexpectedEOF
	}
	return nil
}

func (x *exchange) copyChunks(into *sink, from *source) error {
	chunks := httputil.NewChunkedWriter(into)
	if err := x.copyAll(chunks, from); err != nil {
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

// copyAll copies until the source ends. What was read is sent before more is
// waited for.
func (x *exchange) copyAll(into io.Writer, from io.Reader) error {
	buffer := make([]byte, chunkSize)
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

// readFinal reads the head of the final answer and opens its body.
func (x *exchange) readFinal() (*fasthttp.Response, error) {
	for range maxInterim {
		rs, err := x.readHead()
		if err != nil {
			return nil, err
		}
		if rs.StatusCode() >= fasthttp.StatusOK {
			if x.config.Mine == nil || x.config.Mine(x.request, rs) {
				return rs, nil
			}
			if err := x.passOver(rs); err != nil {
				return nil, err
			}
			continue
		}
		if rs.StatusCode() == fasthttp.StatusSwitchingProtocols {
			return nil, carobkind.New(carobkind.ConnectionLost, "the other end switched protocols unasked")
		}
	}
	return nil, carobkind.New(carobkind.ConnectionLost, "too many interim answers")
}

// passOver reads an answer to an earlier request to its end.
func (x *exchange) passOver(rs *fasthttp.Response) error {
	length := rs.Header.ContentLength()
	if length < 0 || length > chunkSize || rs.ConnectionClose() {
		return carobkind.New(carobkind.ConnectionLost, "the answer belongs to another request")
	}
	if rs.BodyStream() == nil {
		return nil
	}
	n, err := io.Copy(io.Discard, rs.BodyStream())
	if err == nil && n < int64(length) {
		err = io.ErrUnexpectedEOF
	}
	return err
}

// readHead reads the head of the next answer. A final answer whose end could not
// be told from a broken connection is an error.
func (x *exchange) readHead() (*fasthttp.Response, error) {
	if err := x.checkFraming(); err != nil {
		return nil, err
	}
	rs := &fasthttp.Response{StreamBody: true}
	if err := rs.Header.Read(x.conn.reader); err != nil {
		return nil, err
	}
	if rs.StatusCode() < fasthttp.StatusOK || bodiless(x.request, rs) {
		return rs, nil
	}
	if rs.Header.ContentLength() < -1 && !x.config.Unframed {
		return nil, carobkind.New(carobkind.ConnectionLost, "the answer has neither a length nor chunks")
	}
	return rs, rs.ReadBody(x.conn.reader, 0)
}

var (
	headEnd    = []byte("\r\n\r\n")
	lengthName = []byte("\ncontent-length:")
	codingName = []byte("\ntransfer-encoding:")
)

// checkFraming refuses an answer that says in two ways where it ends. The
// library takes the one and forgets the other.
func (x *exchange) checkFraming() error {
	head, err := x.peekHead()
	if err != nil {
		return err
	}
	head = bytes.ToLower(head)
	if bytes.Contains(head, lengthName) && bytes.Contains(head, codingName) {
		return carobkind.New(carobkind.ConnectionLost, "the answer has both a length and a transfer encoding")
	}
	return nil
}

// peekHead waits for the head of an answer. A head that does not fit into the
// buffer is left to the library to refuse.
func (x *exchange) peekHead() ([]byte, error) {
	reader := x.conn.reader
	for wanted := 1; ; wanted = reader.Buffered() + 1 {
		if _, err := reader.Peek(wanted); err != nil {
			if errors.Is(err, bufio.ErrBufferFull) {
				return nil, nil
			}
			return nil, err
		}
		here, err := reader.Peek(reader.Buffered())
		if end := bytes.Index(here, headEnd); end >= 0 || err != nil {
			return here[:max(end, 0)], err
		}
	}
}

// bodiless reports whether an answer has no body, whatever its header says.
func bodiless(rq *fasthttp.Request, rs *fasthttp.Response) bool {
	status := rs.StatusCode()
	return rq.Header.IsHead() || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// source notes whether it was the source of a body that failed.
type source struct {
	from   io.Reader
	seen   int64
	failed bool
}

func (s *source) Read(into []byte) (int, error) {
	n, err := s.from.Read(into)
	s.seen += int64(n)
	if err != nil && err != io.EOF { //nolint:errorlint // readers return io.EOF itself
		s.failed = true
	}
	return n, err
}

// sink writes to the connection, which must go on taking bytes.
type sink struct {
	exchange *exchange
}

func (s *sink) Write(data []byte) (int, error) {
	cf := s.exchange.config
	_ = s.exchange.conn.SetWriteDeadline(cf.Timer.Wall().Add(cf.Stall))
	return s.exchange.conn.writer.Write(data)
}
