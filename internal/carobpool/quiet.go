package carobpool

import (
	"errors"
	"net"
	"syscall"
)

// quiet reports whether an unused connection is still open with nothing to
// read. A connection that the other end has closed, or that holds bytes of an
// answer nobody asked for, must not serve another exchange.
func quiet(cn *conn) bool {
	if cn.reader.Buffered() > 0 {
		return false
	}
	tc, ok := cn.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tc.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, errPeek := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = errors.Is(errPeek, syscall.EAGAIN)
		return true
	})
	return err == nil && silent
}
