package clientconn

import (
	"math/rand/v2"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Where two processes accept from one listening socket, the kernel wakes both for each connection, and mostly the same one is faster. A
// worker tries a report ten times, so the faster one must not take all tries for a job that the other one has.
const (
	yieldLasts = 10 * time.Second      // after a report on a job that is not known here
	yieldMost  = 20 * time.Millisecond // before a connection that waits is accepted, drawn anew each time
	yieldPoll  = 5 * time.Millisecond  // between looks at whether to go on
)

// reportMissed notes a report that another process on the same listener may be waiting for.
func (s *Server) reportMissed() {
	s.yieldUntil.Store(time.Now().Add(yieldLasts).UnixNano())
}

func (s *Server) yields() bool { return time.Now().UnixNano() < s.yieldUntil.Load() }

// yield waits for a connection and then for a moment, for as long as it takes until one is left that no other process has accepted, or there
// is no cause to yield any more.
func (s *Server) yield(ln net.Listener) {
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
	for s.yields() {
		if !hasConnection(raw, yieldPoll) {
			continue
		}
		time.Sleep(rand.N(yieldMost))
		if hasConnection(raw, 0) {
			return
		}
	}
}

// hasConnection reports whether a connection waits to be accepted, or does so within the time given. A socket that can't be asked counts as one.
func hasConnection(raw syscall.RawConn, most time.Duration) bool {
	ready := true
	err := raw.Control(func(descriptor uintptr) {
		polled := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLIN}}
		count, err := unix.Poll(polled, int(most/time.Millisecond))
		ready = count > 0 || err != nil && err != unix.EINTR
	})
	return ready || err != nil
}
