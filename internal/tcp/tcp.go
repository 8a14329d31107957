// Package tcp tells what the kernel knows of a connection beyond what package net shows.
package tcp

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// look calls f with the connection's descriptor. It tells false where the connection is closed on this side; one without a
// descriptor is not looked at.
func look(c net.Conn, f func(fd int)) (open bool) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) }) == nil
}

// peek tells how many bytes wait unread, one at the most; 0 stands for the end.
func peek(fd int) (int, error) {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// Silent reports whether a connection is open and nothing has come in on it that was not read yet. It reads
// nothing and does not wait.
func OpenWithoutData(c net.Conn) bool {
	silent := true
	open := look(c, func(fd int) {
		_, err := peek(fd)
		silent = err == syscall.EAGAIN
	})
	return open && silent
}

// Ended reports whether a connection was closed on either side or reset, whatever came before that and was not read yet. It
// reads nothing and does not wait.
func Closed(c net.Conn) bool {
	ended := false
	open := look(c, func(fd int) {
		n, err := peek(fd)
		switch {
		case err == syscall.EAGAIN || err == syscall.EINTR:
		case err != nil || n == 0:
			ended = true
		default:
			ended = PeerClosed(fd)
		}
	})
	return !open || ended
}

// PeerClosed reports whether the other side of a descriptor has closed its end or reset the connection, though bytes may stand before that.
func PeerClosed(fd int) bool {
	p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(p, 0)
	return err == nil && n > 0 && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
