package clientconn

import (
	"math/rand/v2"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// If two processes accept on one listening socket, the kernel wakes both for each connection, and mostly the same one
// wins. A worker tries to deliver a callback ten times, so the faster process must not receive all tries for a job of
// the other one.
const (
	yieldDuration     = 10 * time.Second      // after a callback for an unknown job
	maxYieldDelay     = 20 * time.Millisecond // upper bound of the random delay before a waiting connection is accepted
	yieldPollInterval = 5 * time.Millisecond  // between checks whether to stop yielding
)

// noteUnknownCallback records that a callback was received that another process on the same listener may be waiting for.
func (s *Server) noteUnknownCallback() {
	s.yieldUntil.Store(time.Now().Add(yieldDuration).UnixNano())
}

func (s *Server) shouldYield() bool { return time.Now().UnixNano() < s.yieldUntil.Load() }

// yieldAccept waits until a connection is still in the accept queue after a random delay, so that the other process had
// the chance to accept it, or until yielding ends.
func (s *Server) yieldAccept(ln net.Listener) {
	socket, ok := ln.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	s.gate.Rest()
	defer s.gate.Wake()
	for s.shouldYield() {
		if !hasConnection(raw, yieldPollInterval) {
			continue
		}
		time.Sleep(rand.N(maxYieldDelay))
		if hasConnection(raw, 0) {
			return
		}
	}
}

// hasConnection reports whether a connection can be accepted, waiting up to the given time. It returns true if the
// socket can't be polled.
func hasConnection(raw syscall.RawConn, maxWait time.Duration) bool {
	ready := true
	err := raw.Control(func(descriptor uintptr) {
		polled := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLIN}}
		count, err := unix.Poll(polled, int(maxWait/time.Millisecond))
		ready = count > 0 || err != nil && err != unix.EINTR
	})
	return ready || err != nil
}
