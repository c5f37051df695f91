package carobfaketarget

import (
	"net"
	"syscall"
)

// closedByCaller reports whether the caller has closed the connection. It peeks at the
// socket without blocking and without consuming data. It returns false if the
// connection gives no access to its socket.
func closedByCaller(conn net.Conn) bool {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		n, _, errPeek := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n == 0 && errPeek == nil || errPeek == syscall.ECONNRESET //nolint:errorlint // a system call's own number
		return true
	})
	return err != nil || closed
}
