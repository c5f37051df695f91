package test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// wire is a TCP relay in front of an address. Its open connections can be cut,
// or go silent for good while new ones work.
type wire struct {
	address  string
	listener net.Listener
	// behind is where it leads to.
	behind atomic.Value
	mutex  sync.Mutex
	open   []*strand
}

// strand is one connection through a wire.
type strand struct {
	near, far net.Conn
	// silent says that bytes are taken and passed on no more; mute that those of
	// answers are not.
	silent, mute atomic.Bool
}

func newWire(t *testing.T) *wire {
	t.Helper()
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	w := &wire{address: ls.Addr().String()}
	w.serve(ls)
	t.Cleanup(func() {
		w.refuse()
		w.cut()
	})
	return w
}

func (w *wire) serve(ls net.Listener) {
	w.listener = ls
	go func() {
		for {
			cn, err := ls.Accept()
			if err != nil {
				return
			}
			w.connect(cn)
		}
	}()
}

// refuse takes no connections any more; accept does again.
func (w *wire) refuse() { _ = w.listener.Close() }

func (w *wire) accept(t *testing.T) {
	t.Helper()
	w.refuse()
	ls, err := net.Listen("tcp", w.address)
	require.NoError(t, err)
	w.serve(ls)
}

func (w *wire) connect(near net.Conn) {
	behind, _ := w.behind.Load().(string)
	far, err := net.Dial("tcp", behind)
	if err != nil {
		_ = near.Close()
		return
	}
	st := &strand{near: near, far: far}
	w.mutex.Lock()
	w.open = append(w.open, st)
	w.mutex.Unlock()
	go st.pass(far, near, false)
	go st.pass(near, far, true)
}

// pass moves bytes one way until an end closes.
func (s *strand) pass(to, from net.Conn, answers bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		dropped := s.silent.Load() || answers && s.mute.Load()
		if n > 0 && !dropped {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err == io.EOF && !dropped { //nolint:errorlint // readers return io.EOF itself
			if tc, ok := to.(*net.TCPConn); ok {
				_ = tc.CloseWrite()
			}
			return
		}
		if err != nil {
			break
		}
	}
	if !s.silent.Load() {
		_, _ = s.near.Close(), s.far.Close()
	}
}

// each does something to all connections that are open now.
func (w *wire) each(do func(*strand)) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, st := range w.open {
		do(st)
	}
}

func (w *wire) cut()     { w.each(func(s *strand) { _, _ = s.near.Close(), s.far.Close() }) }
func (w *wire) silence() { w.each(func(s *strand) { s.silent.Store(true) }) }
func (w *wire) mute()    { w.each(func(s *strand) { s.mute.Store(true) }) }
