package carobpool

import (
	"errors"
	"net"
	"syscall"
)

// isReusable reports whether an idle connection is still open with nothing to
// read. A connection that the peer has closed, or on which bytes arrived without a
// request, must not serve another exchange.
func isReusable(conn *pooledConn) bool {
	if conn.reader.Buffered() > 0 {
		return false
	}
	tcpConn, ok := conn.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcpConn.SyscallConn()
	if err != nil {
		return false
	}
	wouldBlock := false
	err = raw.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, errPeek := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		wouldBlock = errors.Is(errPeek, syscall.EAGAIN)
		return true
	})
	return err == nil && wouldBlock
}
