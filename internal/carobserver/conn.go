package carobserver

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobheader"
	"github.com/carobknot/carobknot/internal/carobvisit"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

const (
	// writeBuffer is the longest answer that is sent in one write.
	writeBuffer = 4096
	// lingering is how long bytes behind a closing answer are still read: to close
	// before would make the kernel throw the answer away.
	lingering = time.Second
)

// conn is a connection of a caller.
type conn struct {
	net.Conn
	server *Server
	reader *bufio.Reader
	writer *bufio.Writer
	mutex  sync.Mutex
	// open are the visits without an answer, in the order of their requests.
	open []*carobvisit.Visit
	// last is the end of the newest visit.
	last <-chan struct{}
	// coming says that a request is being read.
	coming bool
	// closing says that no further request is taken.
	closing bool
	// freed holds one element when a visit has ended.
	freed chan struct{}
}

// atOnce is the turn of the first visit.
var atOnce = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

func newConn(s *Server, nc net.Conn) *conn {
	return &conn{
		Conn: nc, server: s, last: atOnce, freed: make(chan struct{}, 1),
		reader: bufio.NewReaderSize(nc, int(s.config.Header)), writer: bufio.NewWriterSize(nc, writeBuffer),
	}
}

// run reads requests until the connection ends.
func (c *conn) run() {
	defer c.server.remove(c)
	defer func() { _ = c.Close() }()
	for c.next() {
	}
	c.linger()
	c.abandon()
}

// next takes one request, and reports whether another may follow.
func (c *conn) next() bool {
	if !c.await() {
		return false
	}
	config := &c.server.config
	_ = c.SetReadDeadline(config.Timer.Wall().Add(config.Head))
	rq := &fasthttp.Request{}
	rq.Header.SetNoDefaultContentType(true)
	if err := rq.Header.Read(c.reader); err != nil {
		c.reject(rq, readFault(err))
		return false
	}
	if err := carobheader.Check(&rq.Header); err != nil {
		c.reject(rq, err)
		return false
	}
	if err := c.readBody(rq); err != nil {
		c.reject(rq, err)
		return false
	}
	if !c.makeRoom(rq) {
		return false
	}
	v := c.enter(rq)
	if v == nil {
		return false
	}
	go config.Handler.Handle(v)
	if v.ClosesAfter() {
		// Nothing more is taken, but the caller may still hang up.
		c.await()
		return false
	}
	return true
}

// await waits for the first byte of a request.
func (c *conn) await() bool {
	if c.reader.Buffered() == 0 {
		c.mutex.Lock()
		c.expire()
		c.mutex.Unlock()
	}
	_, err := c.reader.Peek(1)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.coming = err == nil
	return c.coming && !c.closing
}

// expire bounds the wait for a request while no other is under way.
func (c *conn) expire() {
	if len(c.open) == 0 {
		_ = c.SetReadDeadline(c.server.config.Timer.Wall().Add(c.server.config.Idle))
		return
	}
	_ = c.SetReadDeadline(time.Time{})
}

func (c *conn) readBody(rq *fasthttp.Request) error {
	config := &c.server.config
	if rq.MayContinue() {
		if !c.makeRoom(rq) {
			return io.ErrClosedPipe
		}
		if _, err := io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return err
		}
	}
	if rq.Header.ContentLength() == 0 {
		return nil
	}
	_ = c.SetReadDeadline(config.Timer.Wall().Add(config.Stall))
	if err := rq.ContinueReadBody(c.reader, int(config.Body), false); err != nil {
		return readFault(err)
	}
	return nil
}

// makeRoom waits until a request may run beside those under way. Only idempotent
// methods do: when the connection closes behind an earlier answer, the caller
// takes the later requests for unread and sends them again.
func (c *conn) makeRoom(rq *fasthttp.Request) bool {
	most := 1
	if rq.Header.IsGet() || rq.Header.IsHead() {
		most = c.server.config.Most
	}
	for {
		c.mutex.Lock()
		room, closing := len(c.open) < most, c.closing
		c.mutex.Unlock()
		if closing {
			return false
		}
		if room {
			return true
		}
		<-c.freed
	}
}

// enter makes the visit of a request, or nil if the connection takes none.
func (c *conn) enter(rq *fasthttp.Request) *carobvisit.Visit {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closing {
		return nil
	}
	v := carobvisit.NewVisit(carobvisit.Config{
		Request: rq, Link: c, Writer: c.writer, Turn: c.last,
	})
	c.coming = false
	c.last = v.Done()
	c.open = append(c.open, v)
	return v
}

// reject answers what is no request, behind the answers under way, and takes
// nothing more.
func (c *conn) reject(rq *fasthttp.Request, err error) {
	if carobkind.Of(err) == carobkind.Internal {
		return
	}
	v := c.enter(rq)
	if v == nil {
		return
	}
	rs := &fasthttp.Response{}
	c.server.config.Handler.Reject(rs, err)
	v.CloseAfter()
	v.Reply(rs)
}

// Closing reports whether the connection is closed behind the visit's answer.
func (c *conn) Closing(v *carobvisit.Visit) bool {
	draining := c.server.isDraining()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	alone := len(c.open) == 1 && !c.coming
	if v.ClosesAfter() || draining && alone {
		c.closing = true
	}
	return c.closing
}

// Allow gives the receiver time anew to take bytes.
func (c *conn) Allow() {
	_ = c.SetWriteDeadline(c.server.config.Timer.Wall().Add(c.server.config.Stall))
}

// Done takes a visit out that was answered.
func (c *conn) Done(v *carobvisit.Visit, whole bool) {
	c.mutex.Lock()
	for i := range c.open {
		if c.open[i] == v {
			c.open = append(c.open[:i], c.open[i+1:]...)
			break
		}
	}
	c.closing = c.closing || !whole
	switch {
	case !whole:
		_ = c.Close()
	case c.closing && len(c.open) == 0:
		_ = c.SetReadDeadline(c.server.config.Timer.Wall())
	default:
		c.expire()
	}
	c.mutex.Unlock()
	select {
	case c.freed <- struct{}{}:
	default:
	}
}

// hurry ends the connection once the answers under way are written.
func (c *conn) hurry() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closing = true
	if len(c.open) == 0 {
		_ = c.SetReadDeadline(c.server.config.Timer.Wall())
	}
}

// linger reads what still comes behind a closing answer, until the other end has
// seen that.
func (c *conn) linger() {
	c.mutex.Lock()
	closing := c.closing
	c.mutex.Unlock()
	if !closing {
		return
	}
	<-c.last
	tc, ok := c.Conn.(*net.TCPConn)
	if !ok || tc.CloseWrite() != nil {
		return
	}
	_ = tc.SetReadDeadline(c.server.config.Timer.Wall().Add(lingering))
	_, _ = io.Copy(io.Discard, tc)
}

// abandon tells the visits under way that the caller is gone.
func (c *conn) abandon() {
	c.mutex.Lock()
	open := append([]*carobvisit.Visit(nil), c.open...)
	c.mutex.Unlock()
	for _, v := range open {
		v.Leave()
	}
	<-c.last
}

// readFault gives an error of reading its kind: Internal if the connection is
// gone, so that nobody is there to be told.
func readFault(err error) error {
	var small *fasthttp.ErrSmallBuffer
	var network net.Error
	switch {
	case errors.As(err, &small):
		return carobkind.Wrap(carobkind.HeaderTooLarge, err, "read header")
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return carobkind.Wrap(carobkind.TooLarge, err, "read body")
	case errors.As(err, &network) && network.Timeout():
		return carobkind.Wrap(carobkind.RequestTimeout, err, "read request")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &network):
		return carobkind.Wrap(carobkind.Internal, err, "read request")
	default:
		return carobkind.Wrap(carobkind.Invalid, err, "read request")
	}
}
