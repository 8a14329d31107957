package delivery

import (
	"bufio"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"foldlb.example/foldlb/internal/tcp"
)

const (
	dialTimeout    = 250 * time.Millisecond
	userTimeout    = 500 * time.Millisecond // for bytes that the worker's machine does not acknowledge
	defaultKeep    = 4 * time.Second        // for which a connection is kept where the worker names no time
	keptPart       = 0.8                    // of the time that the worker names
	mostUnfinished = 16                     // requests remembered that ended on a connection without success
)

// conn is a connection to a worker. It carries one exchange at a time.
type conn struct {
	net.Conn
	kept       bool          // it has carried an exchange before
	keepFor    time.Duration // while idle
	closeAt    time.Duration // for an idle one
	previousID string        // request that it carried last
	unfinished []string      // requests that it carried and that may be sent again
}

// dial opens a connection to a worker.
func dial(address string) (*conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setUserTimeout}
	opened, err := dialer.Dial("tcp4", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: opened, keepFor: time.Duration(keptPart * float64(defaultKeep))}, nil
}

// setUserTimeout bounds how long bytes may stay unacknowledged: a machine without power says nothing.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// fresh tells whether an idle connection is open and nothing has come in on it. A request written to one that the worker
// has closed would end with an unknown outcome.
func (c *conn) fresh() bool { return tcp.Silent(c.Conn) }

// carriedBefore tells whether a request with this id has ended here without success. A worker in trouble may answer a second
// time, later, and such an answer would be taken for that of the new attempt.
func (c *conn) carriedBefore(requestID string) bool {
	return slices.Contains(c.unfinished, requestID)
}

// carried notes the request that was sent last, and tells whether the connection may carry another.
func (c *conn) carried(requestID string, succeeded bool) bool {
	c.kept, c.previousID = true, requestID
	if !succeeded {
		c.unfinished = append(c.unfinished, requestID)
	}
	return len(c.unfinished) <= mostUnfinished
}

func (c *conn) close() {
	_ = c.Conn.Close() // nothing that was wanted of it is outstanding
}

// readers are buffers for answers that are being read: idle connections are many, and need none.
var readers = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

func acquireReader(c *conn) *bufio.Reader {
	reader := readers.Get().(*bufio.Reader)
	reader.Reset(c.Conn)
	return reader
}

func releaseReader(reader *bufio.Reader) {
	reader.Reset(nil)
	readers.Put(reader)
}
