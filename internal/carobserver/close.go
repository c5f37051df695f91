package carobserver

import (
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobpipelinedrequest"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

// lingerTimeout is how long a closing connection is still read after its last
// answer. If unread bytes were left on it, closing it would make the kernel send
// a reset, and the caller could lose the answer.
const lingerTimeout = time.Second

// shutdown closes the connection after the pending answers. It does nothing if the
// connection is closing already.
func (c *conn) shutdown() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closing {
		return
	}
	c.closing = true
	if len(c.pending) == 0 {
		_ = c.SetReadDeadline(c.server.config.Timer.WallTime())
	}
}

func (c *conn) isClosing() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.closing
}

// errClosing returns the error for a request that is read while its connection closes.
func errClosing() error {
	return carobkind.New(carobkind.Leaving, "the connection is closing")
}

// ClosesAfter reports whether the answer to pipelined is to say that the connection
// closes. Only the last answer may say so, because a caller discards what follows it and
// sends the other requests again, although targets run them. A draining server closes a
// connection once an answer is the last one.
func (c *conn) ClosesAfter(pipelined *carobpipelinedrequest.PipelinedRequest) bool {
	draining := c.server.isDraining()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	last := len(c.pending) == 1
	if pipelined.ClosesAfter() || draining && last && !c.reading {
		c.closing = true
	}
	if c.closing && last {
		c.final = true
	}
	return c.final
}

// reject refuses a request after the pending answers, and closes the connection. An
// error of kind Internal means that the connection is broken, so that there is no
// answer.
func (c *conn) reject(received *receivedRequest, err error) {
	if carobkind.Of(err) == carobkind.Internal {
		return
	}
	// Nothing of a request that is refused is kept while its response waits to be sent.
	empty := &fasthttp.Request{}
	empty.Header.SetMethodBytes(received.request.Header.Method())
	received.request, received.body = empty, nil
	pipelined := c.addRefusal(received)
	if pipelined == nil {
		return
	}
	c.release(received.reserved)
	resp := &fasthttp.Response{}
	c.server.config.Handler.Reject(resp, err)
	pipelined.SendResponse(resp)
}

// addRefusal appends a request that is refused, after which the connection closes. It
// returns nil if no response may follow. If the connection is closing already, it waits for
// the last answer, which then says so: the caller takes the request for one that was not
// read, and need not be refused.
func (c *conn) addRefusal(received *receivedRequest) *carobpipelinedrequest.PipelinedRequest {
	if c.isClosing() {
		<-c.lastDone
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.final {
		return nil
	}
	pipelined := c.append(received)
	pipelined.SetCloseAfter()
	return pipelined
}

// discard reads until the caller disconnects or the last answer was sent. What the caller
// sends behind its last request is ignored.
func (c *conn) discard() {
	c.mutex.Lock()
	answered := len(c.pending) == 0
	if !answered {
		c.setIdleDeadline()
	}
	c.mutex.Unlock()
	if !answered {
		_, _ = io.Copy(io.Discard, c.reader)
	}
}

// linger closes the sending side of a closing connection after its last answer,
// and discards what the caller still sends until it closes its side or
// lingerTimeout passes.
func (c *conn) linger() {
	if !c.isClosing() {
		return
	}
	<-c.lastDone
	tcpConn, ok := c.Conn.(*net.TCPConn)
	if !ok || tcpConn.CloseWrite() != nil {
		return
	}
	_ = tcpConn.SetReadDeadline(c.server.config.Timer.WallTime().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, tcpConn)
}

// notifyDisconnect notifies the pending requests that the caller has
// disconnected, and waits until all have ended.
func (c *conn) notifyDisconnect() {
	c.mutex.Lock()
	pending := append([]*carobpipelinedrequest.PipelinedRequest(nil), c.pending...)
	c.mutex.Unlock()
	for _, pipelined := range pending {
		pipelined.Disconnect()
	}
	<-c.lastDone
}
