package carobstandtarget

import (
	"net"
	"syscall"
)

// hungUp reports whether the other end of a connection has closed it. It does
// not wait.
func hungUp(cn net.Conn) bool {
	sc, ok := cn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, errPeek := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n == 0 && errPeek == nil || errPeek == syscall.ECONNRESET //nolint:errorlint // a system call's own number
		return true
	})
	return err != nil || closed
}
