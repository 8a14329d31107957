package delivery

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
)

// connectionEndings are the ways in which a worker ends a connection.
var connectionEndings = map[string]func(net.Conn){
	"reset":  resetConn,
	"closed": func(c net.Conn) { _ = c.Close() },
}

// warmUpConn performs an exchange, if reused is set, so that the next one goes over a reused connection.
func warmUpConn(t *testing.T, e *Engine, reused bool) {
	t.Helper()
	if reused {
		must.Eq(t, Succeeded, await(t, submit(e, newJob())).Kind)
	}
}

// TestResponseTruncatedAtEachByte ends the connection after each byte of a response: the outcome is unknown unless the response
// is complete, and the request is not sent again.
func TestResponseTruncatedAtEachByte(t *testing.T) {
	for name, end := range connectionEndings {
		for _, reused := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reused %t", name, reused), func(t *testing.T) {
				length := len(responseText("request-000", 200, headerStamp+": "+testStamp))
				for offset := range length - 1 {
					var exchanges atomic.Int64
					worker := startFakeWorker(t, func(c net.Conn, r *http.Request) {
						if reused && exchanges.Add(1) == 1 {
							succeed(c, r)
							return
						}
						full := responseText(r.Header.Get(headerRequestID), 200, headerStamp+": "+testStamp)
						_, _ = io.WriteString(c, full[:min(offset, len(full)-1)])
						end(c)
					})
					e := startEngine(t, testConfig(), worker)
					warmUpConn(t, e, reused)
					before := worker.requests.Load()
					must.Eq(t, Unknown, await(t, submit(e, newJob())).Kind, must.Sprint("after byte ", offset))
					must.Eq(t, before+1, worker.requests.Load(), must.Sprint("after byte ", offset))
					e.Close()
					worker.close()
				}
			})
		}
	}
}

// TestRequestTruncatedAtEachByte ends the connection after the worker has read each byte of a request. It may have run, so it is
// not sent again.
func TestRequestTruncatedAtEachByte(t *testing.T) {
	length := len(appendRequest(nil, newJob(), 300e6, "i-0"))
	for name, end := range connectionEndings {
		t.Run(name, func(t *testing.T) {
			for offset := 1; offset <= length; offset++ {
				listener, err := net.Listen("tcp4", "127.0.0.1:0")
				must.NoError(t, err)
				var connections atomic.Int64
				go func() {
					for {
						conn, err := listener.Accept()
						if err != nil {
							return
						}
						connections.Add(1)
						_, _ = io.ReadFull(conn, make([]byte, offset))
						end(conn)
					}
				}()
				e := startEngine(t, testConfig(), &fakeWorker{listener: listener})
				must.Eq(t, Unknown, await(t, submit(e, newJob())).Kind, must.Sprint("after byte ", offset))
				must.Eq(t, 1, connections.Load(), must.Sprint("after byte ", offset))
				e.Close()
				must.NoError(t, listener.Close())
			}
		})
	}
}

// A success without a request id on a reused connection may be the late response to an earlier request, and proves nothing.
func TestSuccessWithoutRequestIDOnReusedConnection(t *testing.T) {
	var exchanges atomic.Int64
	worker := startFakeWorker(t, func(c net.Conn, r *http.Request) {
		if exchanges.Add(1) == 1 {
			succeed(c, r)
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Response-Stamp: late\r\nContent-Length: 0\r\n\r\n")
	})
	e := startEngine(t, testConfig(), worker)
	warmUpConn(t, e, true)
	must.Eq(t, Unknown, await(t, submit(e, newJob())).Kind)
	must.Eq(t, 2, worker.requests.Load())
}
