package delivery

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"foldlb.example/foldlb/internal/responsecheck"
	"foldlb.example/foldlb/internal/tcp"
)

const (
	dialTimeout        = 250 * time.Millisecond
	tcpUserTimeout     = 500 * time.Millisecond // for unacknowledged bytes
	defaultIdleTimeout = 4 * time.Second        // if the worker names no Keep-Alive timeout
	idleTimeoutShare   = 0.8                    // of the worker's timeout, so that this side closes first
	maxUnsuccessfulIDs = 16                     // beyond this, the connection is closed rather than reused
)

// conn is a connection to a worker. It carries one exchange at a time.
type conn struct {
	net.Conn
	reused            bool          // it has carried an exchange before
	idleTimeout       time.Duration // how long the connection may stay idle
	idleDeadline      time.Duration // when an idle connection is closed
	previousRequestID string        // of the request sent last
	unsuccessfulIDs   []string      // requests that ended here without success, and may be sent again
}

// dial opens a connection to a worker.
func dial(address string) (*conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setUserTimeout}
	opened, err := dialer.Dial("tcp4", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: opened, idleTimeout: time.Duration(idleTimeoutShare * float64(defaultIdleTimeout))}, nil
}

// setUserTimeout limits how long sent bytes may stay unacknowledged, because a machine that lost power sends neither FIN nor RST.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}

// isUsable reports whether an idle connection is open and has no unread data. A request written to a connection that the worker
// has closed would have an unknown outcome.
func (c *conn) isUsable() bool { return tcp.OpenWithoutData(c.Conn) }

// hasUnsuccessful reports whether a request with this id has ended on this connection without success. A faulty worker may
// respond to it a second time, later, and that response would be mistaken for the response to the new attempt.
func (c *conn) hasUnsuccessful(requestID string) bool {
	return slices.Contains(c.unsuccessfulIDs, requestID)
}

// recordExchange records the request that was sent last, and reports whether the connection may carry another one.
func (c *conn) recordExchange(requestID string, succeeded bool) bool {
	c.reused, c.previousRequestID = true, requestID
	if !succeeded {
		c.unsuccessfulIDs = append(c.unsuccessfulIDs, requestID)
	}
	return len(c.unsuccessfulIDs) <= maxUnsuccessfulIDs
}

func (c *conn) close() {
	_ = c.Conn.Close() // errors don't matter: no data is outstanding
}

// readerPool holds buffers for reading responses. The many idle connections need none.
var readerPool = sync.Pool{New: func() any { return responsecheck.NewReader(nil, http.MethodGet) }}

// acquireReader returns a reader of the responses on a connection to requests with this method.
func acquireReader(c *conn, method string) *responsecheck.Reader {
	reader := readerPool.Get().(*responsecheck.Reader)
	reader.ResetTo(c.Conn, method)
	return reader
}

func releaseReader(reader *responsecheck.Reader) {
	reader.ResetTo(nil, http.MethodGet)
	readerPool.Put(reader)
}
