// Package tcp tells what the kernel knows of a connection beyond what package net shows.
package tcp

import (
	"net"
	"syscall"
)

// Silent reports whether a connection is open and nothing has come in on it that was not read yet. It reads
// nothing and does not wait.
func Silent(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = err == syscall.EAGAIN
	})
	return err == nil && silent
}
