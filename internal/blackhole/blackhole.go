// Package blackhole lets tests cut off one end of a TCP connection: what arrives there
// is dropped, without a reset or an acknowledgement, as if the link had failed. Other
// connections to the same address work.
package blackhole

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Drop drops what arrives on c, keep-alive probes included, until Restore.
func Drop(c net.Conn) error {
	return control(c, func(fd int) error {
		dropAll := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: 0}
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &dropAll})
	})
}

// Restore ends Drop.
func Restore(c net.Conn) error {
	return control(c, func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0) })
}

func control(c net.Conn, f func(fd int) error) error {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	var sockoptErr error
	err = raw.Control(func(fd uintptr) { sockoptErr = f(int(fd)) })
	return errors.Join(err, sockoptErr)
}
