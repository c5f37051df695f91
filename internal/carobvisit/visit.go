// Package carobvisit holds a request on a connection until it was answered.
package carobvisit

import (
	"bufio"
	"io"
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobanswer"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

// link is the connection that a visit came on.
type link interface {
	// Closing reports whether the connection is to be closed behind the answer, and
	// if so takes no further request.
	Closing(v *Visit) bool
	// Allow gives the receiver time anew to take bytes.
	Allow()
	// Done takes the answer for written, or the connection for broken.
	Done(v *Visit, whole bool)
}

// Config is how a visit is made.
type Config struct {
	// Request has its whole body.
	Request *fasthttp.Request
	Link    link
	Writer  *bufio.Writer
	// Turn is closed once the visits before have been answered.
	Turn <-chan struct{}
}

// Visit is a request and the place of its answer in the order of its connection.
type Visit struct {
	config Config
	mutex  sync.Mutex
	// gone is called once the caller is gone; nil if nobody wants to know.
	gone func()
	left bool
	// closing says that the connection closes behind the answer.
	closing bool
	done    chan struct{}
}

// NewVisit returns a visit that waits for its answer.
func NewVisit(c Config) *Visit {
	return &Visit{config: c, done: make(chan struct{})}
}

// Request returns the request with its whole body.
func (v *Visit) Request() *fasthttp.Request { return v.config.Request }

// Done is closed once the visit was answered or its connection broke.
func (v *Visit) Done() <-chan struct{} { return v.done }

// CloseAfter has the connection closed behind the answer.
func (v *Visit) CloseAfter() { v.closing = true }

// ClosesAfter reports whether the answer asks for the connection to be closed.
func (v *Visit) ClosesAfter() bool { return v.closing || v.config.Request.ConnectionClose() }

// Notify has call run once if the caller is found to be gone, at once if it is
// already. nil stops that.
func (v *Visit) Notify(call func()) {
	v.mutex.Lock()
	v.gone = call
	left := v.left
	v.mutex.Unlock()
	if left && call != nil {
		call()
	}
}

// Leave notes that the caller is gone.
func (v *Visit) Leave() {
	v.mutex.Lock()
	call := v.gone
	first := !v.left
	v.left = true
	v.mutex.Unlock()
	if first && call != nil {
		call()
	}
}

// Reply sends an answer that is all here, when its turn has come.
func (v *Visit) Reply(rs *fasthttp.Response) {
	<-v.config.Turn
	v.end(v.writeWhole(rs) == nil)
}

// Pass sends an answer whose body is still to come, when its turn has come, and
// tells how that went: None if all of it was sent.
func (v *Visit) Pass(an *carobanswer.Answer) carobkind.Kind {
	<-v.config.Turn
	err := v.writeStream(an)
	errClose := an.Body.Close()
	v.end(err == nil)
	if err != nil || errClose != nil && !an.Bodiless {
		return carobkind.ConnectionLost
	}
	return carobkind.None
}

func (v *Visit) end(whole bool) {
	close(v.done)
	v.config.Link.Done(v, whole)
}

func (v *Visit) head(rs *fasthttp.Response) {
	rs.Header.SetNoDefaultContentType(true)
	if v.config.Link.Closing(v) {
		rs.SetConnectionClose()
	}
	v.config.Link.Allow()
}

func (v *Visit) writeWhole(rs *fasthttp.Response) error {
	v.head(rs)
	body := rs.Body()
	rs.Header.SetContentLength(len(body))
	if err := rs.Header.Write(v.config.Writer); err != nil {
		return err
	}
	if !v.config.Request.Header.IsHead() {
		if _, err := v.config.Writer.Write(body); err != nil {
			return err
		}
	}
	return v.config.Writer.Flush()
}

// chunk is how much of a body is copied at once.
const chunk = 16 * 1024

func (v *Visit) writeStream(an *carobanswer.Answer) error {
	v.head(an.Response)
	if !an.Bodiless {
		an.Response.Header.SetContentLength(an.Length)
	}
	if err := an.Response.Header.Write(v.config.Writer); err != nil {
		return err
	}
	switch {
	case an.Bodiless:
	case an.Length >= 0:
		if err := v.copyLength(an); err != nil {
			return err
		}
	default:
		if err := v.copyChunks(an.Body); err != nil {
			return err
		}
	}
	return v.config.Writer.Flush()
}

func (v *Visit) copyLength(an *carobanswer.Answer) error {
	n, err := io.CopyBuffer(v.config.Writer, &allowing{Reader: an.Body, link: v.config.Link}, make([]byte, min(chunk, max(1, an.Length))))
	if err == nil && n != int64(an.Length) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (v *Visit) copyChunks(body io.Reader) error {
	buffer := make([]byte, chunk)
	for {
		v.config.Link.Allow()
		n, err := body.Read(buffer)
		if n > 0 {
			if errWrite := writeChunk(v.config.Writer, buffer[:n]); errWrite != nil {
				return errWrite
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

// allowing gives the receiver time anew for each piece.
type allowing struct {
	io.Reader
	link link
}

// Read reads the next piece.
func (a *allowing) Read(into []byte) (int, error) {
	a.link.Allow()
	return a.Reader.Read(into)
}
