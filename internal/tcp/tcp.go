// Package tcp queries socket states that package net does not expose.
package tcp

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// withDescriptor calls f with the connection's descriptor. It returns false if the connection is closed on this side, and true without
// calling f if the connection has no descriptor.
func withDescriptor(c net.Conn, f func(fd int)) (open bool) {
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

// peek returns the number of unread bytes, at most 1; 0 without an error stands for the end of the stream.
func peek(fd int) (int, error) {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// OpenWithoutData reports whether a connection is open and has no unread bytes. It neither consumes bytes nor waits.
func OpenWithoutData(c net.Conn) bool {
	silent := true
	open := withDescriptor(c, func(fd int) {
		_, err := peek(fd)
		silent = err == syscall.EAGAIN
	})
	return open && silent
}

// Closed reports whether a connection was closed on either side or reset, even if unread bytes precede that. It neither consumes bytes
// nor waits.
func Closed(c net.Conn) bool {
	ended := false
	open := withDescriptor(c, func(fd int) {
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

// PeerClosed reports whether the peer of a descriptor has closed its end or reset the connection, even if unread bytes precede that.
func PeerClosed(fd int) bool {
	p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(p, 0)
	return err == nil && n > 0 && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
