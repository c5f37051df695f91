package carobserver

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobheader"
	"github.com/carobknot/carobknot/internal/carobpipelinedrequest"
	"github.com/carobknot/carobknot/internal/carobsegmentedbody"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobsize"
)

const (
	// readBufferSize is the size in bytes of a connection's first read buffer. Most headers
	// fit into it; a longer one gets a buffer of Config.MaxHeader.
	readBufferSize = 4096
	// connectionSize is what an open connection holds without a request, in bytes: its
	// buffers and the stack of its goroutine.
	connectionSize = 20 * carobsize.KiB
	// requestSize is what a request holds beside its header and body, in bytes: the stacks of
	// its goroutines and the buffers by which it and its response are copied.
	requestSize = 24 * carobsize.KiB
	// headerCopies is how often the bytes of a header are held: as they were received, in
	// parsed fields, and in the same for the attempt at a target.
	headerCopies = 4
	// fieldSize is what a parsed field holds beside its bytes, in bytes, in the request and
	// in the attempt.
	fieldSize = 256
	// maxPendingSize is the number of bytes that the pending requests of a connection may
	// hold together. A connection that pipelines more is not read meanwhile.
	maxPendingSize = 512 * carobsize.KiB
)

// receivedRequest is a request that is being received.
type receivedRequest struct {
	request *fasthttp.Request
	// body is the body if it is in several segments; nil otherwise.
	body *carobsegmentedbody.SegmentedBody
	// reserved is the number of bytes that are reserved for the request.
	reserved carobsize.Size
}

// open adds the connection to Config.Connections.
func (c *conn) open() {
	id, ok := c.server.config.Connections.Open(connectionSize, c)
	c.id, c.refused = id, c.refused || !ok
}

// BlockedSince returns since when a write of a response waits; Never if none does.
func (c *conn) BlockedSince() carobinstant.Instant {
	return carobinstant.Instant(c.blockedSince.Load())
}

// Yield makes the connection give its memory back soon. A request that is being received
// is refused, since its client makes no progress; otherwise, or if a response that the
// client does not accept comes first, the connection is closed. Yield reports false, and does
// nothing, if a request has begun meanwhile.
func (c *conn) Yield(receiving bool) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch {
	case receiving && len(c.pending) == 0:
		c.yielding.Store(true)
		_ = c.SetReadDeadline(c.server.config.Timer.WallTime())
		return true
	case c.reading && !receiving:
		return false
	default:
		c.closing, c.final = true, true
		_ = c.Close()
		return true
	}
}

// Respond records that the call of a request has ended, and that its complete response is
// to be sent.
func (c *conn) Respond() {
	c.server.config.Connections.Respond(c.id)
}

// handle runs the handler of a request, and releases the memory of the request.
func (c *conn) handle(pipelined *carobpipelinedrequest.PipelinedRequest, reserved carobsize.Size) {
	c.server.config.Handler.Handle(pipelined)
	c.release(reserved)
}

// release returns the bytes of a request that has ended.
func (c *conn) release(reserved carobsize.Size) {
	c.mutex.Lock()
	c.pendingSize -= reserved
	c.mutex.Unlock()
	select {
	case c.slotFreed <- struct{}{}:
	default:
	}
	c.server.config.Connections.Release(c.id, reserved)
}

// reserve reserves bytes for a request.
func (c *conn) reserve(received *receivedRequest, size carobsize.Size) error {
	if err := c.server.config.Connections.Reserve(c.id, size); err != nil {
		return err
	}
	received.reserved += size
	return nil
}

// readRequest reads a request. The error has the kind of the refusal.
func (c *conn) readRequest(received *receivedRequest) error {
	header := &received.request.Header
	if err := c.awaitHeader(received); err != nil {
		return err
	}
	if err := header.Read(c.reader); err != nil {
		return readError(err)
	}
	if err := carobheader.Check(header); err != nil {
		return err
	}
	if c.isClosing() {
		return errClosing()
	}
	if c.refused {
		return carobkind.New(carobkind.Busy, "the limit of connections, which is %d, or that of their memory is reached", c.server.config.MaxConnections)
	}
	return c.readBody(received)
}

// awaitHeader waits until the header is in the read buffer, and reserves the memory that
// its fields will take when they are parsed. A header that does not fit, or that the client
// does not complete, is left to the HTTP library, which returns the error.
func (c *conn) awaitHeader(received *receivedRequest) error {
	for {
		buffered, _ := c.reader.Peek(c.reader.Buffered())
		if end := endOfHeader(buffered); end >= 0 {
			fields := bytes.Count(buffered[:end], []byte("\n"))
			return c.reserve(received, requestSize+carobsize.Size(headerCopies*end+fieldSize*fields))
		}
		if len(buffered) == c.reader.Size() {
			grown, err := c.growReader()
			if err != nil || !grown {
				return err
			}
		}
		if err := checkRequestLine(buffered); err != nil {
			return err
		}
		if _, err := c.reader.Peek(len(buffered) + 1); err != nil {
			return readError(err)
		}
		c.server.config.Connections.Receive(c.id, carobsize.Size(c.reader.Buffered()-len(buffered)))
	}
}

// endOfHeader returns the length of a header that is complete, or -1. Empty lines before it
// are counted, but do not end it, since the HTTP library skips them.
func endOfHeader(data []byte) int {
	header := bytes.TrimLeft(data, "\r\n")
	skipped := len(data) - len(header)
	if end := bytes.Index(header, []byte("\n\r\n")); end >= 0 {
		return skipped + end
	}
	if end := bytes.Index(header, []byte("\n\n")); end >= 0 {
		return skipped + end
	}
	return -1
}

// checkRequestLine returns an error if the first line of an incomplete header has arrived
// and is malformed, so that its client is refused before Config.HeaderTimeout. The error does
// not quote the line, which may hold a key.
func checkRequestLine(data []byte) error {
	line, _, complete := bytes.Cut(data, []byte("\n"))
	if !complete || len(bytes.TrimSpace(line)) == 0 {
		return nil
	}
	var header fasthttp.RequestHeader
	text := append(bytes.Clone(line), "\nHost: a\r\n\r\n"...)
	if err := header.Read(bufio.NewReaderSize(bytes.NewReader(text), len(text))); err != nil {
		return carobkind.New(carobkind.Invalid, "the request is malformed")
	}
	return nil
}

// growReader gives the connection a read buffer for the longest header, with the bytes that
// are in the present one. It reports false if that is as large already.
func (c *conn) growReader() (bool, error) {
	size := c.server.config.MaxHeader
	if carobsize.Size(c.reader.Size()) >= size {
		return false, nil
	}
	if err := c.server.config.Connections.Reserve(c.id, size); err != nil {
		return false, err
	}
	c.readerSize = size
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(buffered), c.Conn), int(size))
	_, err := c.reader.Peek(len(buffered))
	return true, err
}

// shrinkReader gives the connection a small read buffer again, if the large one is empty.
func (c *conn) shrinkReader() {
	if c.readerSize == 0 || c.reader.Buffered() > 0 {
		return
	}
	c.reader = bufio.NewReaderSize(c.Conn, readBufferSize)
	c.server.config.Connections.Release(c.id, c.readerSize)
	c.readerSize = 0
}

// receiveBody reads a body in steps, each of which is reserved first.
func (c *conn) receiveBody(received *receivedRequest) error {
	config := &c.server.config
	req, length := received.request, received.request.Header.ContentLength()
	if length > int(config.MaxBody) {
		return readError(fasthttp.ErrBodyTooLarge)
	}
	source := io.Reader(c.reader)
	switch {
	case length == carobheader.ChunkedLength:
		chunks, err := c.newChunkReader()
		if err != nil {
			return err
		}
		source = chunks
	case length < 0:
		setEmptyBody(&req.Header)
		return nil
	}
	body := carobsegmentedbody.NewSegmentedBody(carobsegmentedbody.Config{
		Reserve:  func(size int) error { return c.reserve(received, carobsize.Size(size)) },
		Received: func(size int) { config.Connections.Receive(c.id, carobsize.Size(size)) },
	})
	if err := body.Receive(stallingReader{c, source}, length, int(config.MaxBody)); err != nil {
		return bodyError(err)
	}
	if body.Size() > int(config.MaxBody) {
		return readError(fasthttp.ErrBodyTooLarge)
	}
	if body.Size() == 0 {
		carobheader.SetContentLength(&req.Header, 0)
	}
	if whole, ok := body.Contiguous(); ok {
		req.SetBodyRaw(whole)
	} else {
		received.body = body
	}
	return nil
}

// setEmptyBody sets the length of a request that announces neither a length nor chunks, and
// therefore has no body.
func setEmptyBody(header *fasthttp.RequestHeader) {
	if !header.IsGet() && !header.IsHead() {
		header.SetContentLength(0)
	}
}

// newChunkReader returns a reader of a body in chunks. The library adds the trailers behind
// them to the header of a request; here it is one that nobody reads, so that a client cannot
// add fields to the header of its call, or have some removed, after it was checked.
func (c *conn) newChunkReader() (io.Reader, error) {
	// The trailers have to fit into the buffer.
	if _, err := c.growReader(); err != nil {
		return nil, err
	}
	decoder := &fasthttp.Request{}
	decoder.Header.SetContentLength(carobheader.ChunkedLength)
	if err := decoder.ContinueReadBodyStream(c.reader, int(c.server.config.MaxBody), false); err != nil {
		return nil, readError(err)
	}
	return decoder.BodyStream(), nil
}

// bodyError adds the error kind to an error that occurred while a body was read. An error
// of Reserve has its kind already.
func bodyError(err error) error {
	if kind := carobkind.Of(err); kind == carobkind.Busy || kind == carobkind.RequestTimeout || errors.Is(err, net.ErrClosed) {
		return err
	}
	return readError(err)
}

// stallingReader reads a body. Each read may wait for Config.StallTimeout.
type stallingReader struct {
	conn   *conn
	source io.Reader
}

// Read reads from the body.
func (r stallingReader) Read(into []byte) (int, error) {
	if r.conn.reader.Buffered() == 0 {
		r.conn.limitRead(r.conn.server.config.StallTimeout)
	}
	return r.source.Read(into)
}

// blockingWriter writes to a connection, and records since when a write waits.
type blockingWriter struct {
	conn *conn
}

// Write writes to the connection.
func (w blockingWriter) Write(data []byte) (int, error) {
	w.conn.blockedSince.Store(int64(w.conn.server.config.Timer.Now()))
	defer w.conn.blockedSince.Store(int64(carobinstant.Never))
	return w.conn.Write(data)
}
