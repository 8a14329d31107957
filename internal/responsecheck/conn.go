package responsecheck

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Conn is a connection whose responses are checked as they are read. A read returns an InvalidResponseError before an invalid one is
// complete. It is for HTTP without TLS, and requests on it must not use the methods HEAD and CONNECT, whose responses have other bodies. One
// goroutine at a time may read.
type Conn struct {
	net.Conn
	source source
}

// NewConn returns a connection that checks the responses on an open one.
func NewConn(open net.Conn) *Conn {
	return &Conn{Conn: open, source: source{connection: open}}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) { return c.source.Read(p) }

// DialFunc opens a connection, as http.Transport.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a function that opens connections with dial and checks the responses on them.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		open, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(open), nil
	}
}

// NewClient returns an HTTP client with the defaults of net/http that checks responses, within the bounds of Conn. A timeout of 0 is none.
func NewClient(timeout time.Duration) *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.DialContext = Dial(transport.DialContext)
	return &http.Client{Transport: transport, Timeout: timeout}
}
