package carobserver

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobpipelinedrequest"
	"github.com/carobknot/carobknot/pkg/carobconnectionid"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobsize"
)

// writeBufferSize is the size in bytes up to which an answer is sent in one write.
const writeBufferSize = 4096

// conn is a connection of a caller. One goroutine reads its requests; the
// goroutines of the requests write the answers, one after the other.
type conn struct {
	net.Conn
	server *Server
	reader *bufio.Reader
	writer *bufio.Writer
	mutex  sync.Mutex
	// pending holds the requests without an answer, in the order of their arrival.
	// It is guarded by mutex, as are reading, closing and final.
	pending []*carobpipelinedrequest.PipelinedRequest
	// lastDone is closed when the newest request is done.
	lastDone <-chan struct{}
	// reading is true while a request is being read.
	reading bool
	// closing is true once no further request is passed on.
	closing bool
	// final is true once no further response may be sent: one says that the connection
	// closes, or the connection is broken. It implies closing.
	final bool
	// idleSince is when the connection last had no request left, or was accepted. It is
	// guarded by mutex.
	idleSince carobinstant.Instant
	// refused is true if the first request is rejected, because the server has no room for
	// another connection.
	refused bool
	// id is the connection's ID in Config.Connections.
	id carobconnectionid.ID
	// readerSize is the number of bytes that are reserved for a reader that is larger than
	// readBufferSize; 0 if it is not.
	readerSize carobsize.Size
	// pendingSize is the number of bytes that are reserved for the pending requests. It is
	// guarded by mutex.
	pendingSize carobsize.Size
	// yielding is true if the request that is being received is to be refused.
	yielding atomic.Bool
	// blockedSince is the carobinstant.Instant since when a write of a response waits.
	blockedSince atomic.Int64
	// slotFreed signals that a pending request has ended. It has room for one
	// element.
	slotFreed chan struct{}
}

// closedChannel is the lastDone of a connection without requests.
var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

func newConn(s *Server, netConn net.Conn) *conn {
	c := &conn{
		Conn: netConn, server: s, lastDone: closedChannel, slotFreed: make(chan struct{}, 1), idleSince: s.config.Timer.Now(),
		reader: bufio.NewReaderSize(netConn, min(readBufferSize, int(s.config.MaxHeader))),
	}
	c.writer = bufio.NewWriterSize(blockingWriter{c}, writeBufferSize)
	return c
}

// run serves requests until the connection ends.
func (c *conn) run() {
	defer c.server.remove(c)
	defer func() { _ = c.Close() }()
	for c.serveNext() {
	}
	c.linger()
	c.notifyDisconnect()
}

// serveNext reads a request and starts its handler. It reports whether another
// request may follow.
func (c *conn) serveNext() bool {
	if !c.awaitRequest() {
		return false
	}
	config := &c.server.config
	c.limitRead(config.HeaderTimeout)
	config.Connections.BeginRequest(c.id)
	received := &receivedRequest{request: &fasthttp.Request{}}
	received.request.Header.SetNoDefaultContentType(true)
	err := c.receive(received)
	config.Connections.EndRequest(c.id)
	var pipelined *carobpipelinedrequest.PipelinedRequest
	if err == nil {
		pipelined, err = c.addRequest(received)
	}
	if err != nil {
		c.reject(received, err)
		return false
	}
	go c.handle(pipelined, received.reserved)
	c.shrinkReader()
	if pipelined.ClosesAfter() {
		c.discard()
		return false
	}
	return true
}

// awaitRequest waits for the first byte of a request. It returns false if the
// connection failed, or if no response may follow.
func (c *conn) awaitRequest() bool {
	if c.reader.Buffered() == 0 {
		c.mutex.Lock()
		c.setIdleDeadline()
		c.mutex.Unlock()
	}
	_, err := c.reader.Peek(1)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reading = err == nil
	return c.reading && !c.final
}

// receive reads a request and waits until it may run. The error has the kind of the refusal.
func (c *conn) receive(received *receivedRequest) error {
	err := c.readRequest(received)
	if err == nil {
		err = c.awaitSlot(received)
	}
	if carobkind.Of(err) == carobkind.RequestTimeout && c.isClosing() {
		return errClosing()
	}
	return err
}

// setIdleDeadline limits the wait for the next request to Config.IdleTimeout if no
// request is pending, and removes the read deadline otherwise. The mutex must be
// held.
func (c *conn) setIdleDeadline() {
	if len(c.pending) > 0 {
		_ = c.SetReadDeadline(time.Time{})
		return
	}
	c.idleSince = c.server.config.Timer.Now()
	c.setReadTimeout(c.server.config.IdleTimeout)
}

// limitRead limits the time of the next reads of a request.
func (c *conn) limitRead(timeout time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.setReadTimeout(timeout)
}

// setReadTimeout sets the read deadline. It has passed already if the request that is being
// read is to be refused. The mutex must be held.
func (c *conn) setReadTimeout(timeout time.Duration) {
	if c.yielding.Load() || c.closing && len(c.pending) == 0 {
		timeout = 0
	}
	_ = c.SetReadDeadline(c.server.config.Timer.WallTime().Add(timeout))
}

// readBody reads the whole body of a request. If the caller waits for "100
// Continue", it is sent once the request may run.
func (c *conn) readBody(received *receivedRequest) error {
	req := received.request
	if req.MayContinue() {
		if err := c.awaitSlot(received); err != nil {
			return err
		}
		c.ExtendDeadline()
		if _, err := io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return err
		}
	}
	if req.Header.ContentLength() == 0 {
		return nil
	}
	return c.receiveBody(received)
}

// awaitSlot waits until a request may run beside the pending ones. It returns an
// error if the connection is closing. Only GET and HEAD run beside others: if the
// connection breaks after an earlier answer, the caller assumes that later
// requests were not read and sends them again. Such requests have to be
// idempotent. Together they hold at most maxPendingSize, or are a single one. A request whose
// caller waits for "100 Continue" runs beside none, since that must not come within a response.
func (c *conn) awaitSlot(received *receivedRequest) error {
	limit, req := 1, received.request
	if (req.Header.IsGet() || req.Header.IsHead()) && !req.MayContinue() {
		limit = c.server.config.MaxPipelined
	}
	for {
		c.mutex.Lock()
		free, closing := len(c.pending) == 0 || len(c.pending) < limit && c.pendingSize+received.reserved <= maxPendingSize, c.closing
		c.mutex.Unlock()
		if closing {
			return errClosing()
		}
		if free {
			return nil
		}
		<-c.slotFreed
	}
}

// addRequest appends a request to the pending ones. It returns an error if the
// connection is closing.
func (c *conn) addRequest(received *receivedRequest) (*carobpipelinedrequest.PipelinedRequest, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closing {
		return nil, errClosing()
	}
	pipelined := c.append(received)
	if c.yielding.Load() {
		// The request was complete before its client could be told that it stalls.
		pipelined.SetCloseAfter()
	}
	return pipelined, nil
}

// append appends a request to the pending ones. The mutex must be held.
func (c *conn) append(received *receivedRequest) *carobpipelinedrequest.PipelinedRequest {
	pipelined := carobpipelinedrequest.NewPipelinedRequest(carobpipelinedrequest.Config{
		Request: received.request, Body: received.body, Connection: c, Writer: c.writer, PreviousDone: c.lastDone,
	})
	c.reading = false
	c.pendingSize += received.reserved
	c.lastDone = pipelined.Done()
	c.pending = append(c.pending, pipelined)
	return pipelined
}

// ExtendDeadline extends the write deadline by Config.StallTimeout.
func (c *conn) ExtendDeadline() {
	_ = c.SetWriteDeadline(c.server.config.Timer.WallTime().Add(c.server.config.StallTimeout))
}

// Remove removes an answered request. If complete is false, the answer could not be
// sent completely, and the connection is closed.
func (c *conn) Remove(pipelined *carobpipelinedrequest.PipelinedRequest, complete bool) {
	c.server.config.Connections.Finish(c.id, pipelined.Responded())
	c.mutex.Lock()
	for i := range c.pending {
		if c.pending[i] == pipelined {
			c.pending = append(c.pending[:i], c.pending[i+1:]...)
			break
		}
	}
	switch {
	case !complete:
		c.closing, c.final = true, true
		_ = c.Close()
	case c.closing && len(c.pending) == 0:
		_ = c.SetReadDeadline(c.server.config.Timer.WallTime())
	default:
		c.setIdleDeadline()
	}
	c.mutex.Unlock()
	select {
	case c.slotFreed <- struct{}{}:
	default:
	}
}

// readError adds the error kind to an error that occurred while a request was read.
// The kind is Internal if the connection is broken, so that no answer can be sent. The library's
// errors about malformed requests are left out, because they quote the header with its keys.
func readError(err error) error {
	var smallBuffer *fasthttp.ErrSmallBuffer
	var netErr net.Error
	switch {
	case errors.As(err, &smallBuffer):
		return carobkind.New(carobkind.HeaderTooLarge, "the header exceeds its limit")
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return carobkind.Wrap(carobkind.TooLarge, err, "read body")
	case errors.As(err, &netErr) && netErr.Timeout():
		return carobkind.Wrap(carobkind.RequestTimeout, err, "read request")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netErr):
		return carobkind.Wrap(carobkind.Internal, err, "read request")
	default:
		return carobkind.New(carobkind.Invalid, "the request is malformed")
	}
}
