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

// endings are the ways in which a connection ends.
var connectionEndings = map[string]func(net.Conn){
	"reset":  resetConn,
	"closed": func(c net.Conn) { _ = c.Close() },
}

// warm has a worker carry an exchange, so that the next one goes over a used connection.
func warmUpConn(t *testing.T, e *Engine, isKept bool) {
	t.Helper()
	if isKept {
		must.Eq(t, Succeeded, await(t, submit(e, newJob())).Kind)
	}
}

// TestAnswerThatEndsAtEachByte ends the connection after each byte of an answer: nothing is proven before the last one, and the
// request is not sent again.
func TestAnswerThatEndsAtEachByte(t *testing.T) {
	for name, end := range connectionEndings {
		for _, isKept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, kept %t", name, isKept), func(t *testing.T) {
				length := len(responseText("request-000", 200, headerStamp+": "+testStamp))
				for at := range length - 1 {
					var exchanges atomic.Int64
					worker := startFakeWorker(t, func(c net.Conn, r *http.Request) {
						if isKept && exchanges.Add(1) == 1 {
							succeed(c, r)
							return
						}
						said := responseText(r.Header.Get(headerRequestID), 200, headerStamp+": "+testStamp)
						_, _ = io.WriteString(c, said[:min(at, len(said)-1)])
						end(c)
					})
					e := startEngine(t, testConfig(), worker)
					warmUpConn(t, e, isKept)
					before := worker.requests.Load()
					must.Eq(t, Unknown, await(t, submit(e, newJob())).Kind, must.Sprint("after byte ", at))
					must.Eq(t, before+1, worker.requests.Load(), must.Sprint("after byte ", at))
					e.Close()
					worker.close()
				}
			})
		}
	}
}

// TestRequestThatEndsAtEachByte ends the connection after the worker has read each byte of a request. It may have run, so it is not
// sent again.
func TestRequestThatEndsAtEachByte(t *testing.T) {
	length := len(appendRequest(nil, newJob(), 300e6, "i-0"))
	for name, end := range connectionEndings {
		t.Run(name, func(t *testing.T) {
			for at := 1; at <= length; at++ {
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
						_, _ = io.ReadFull(conn, make([]byte, at))
						end(conn)
					}
				}()
				e := startEngine(t, testConfig(), &fakeWorker{listener: listener})
				must.Eq(t, Unknown, await(t, submit(e, newJob())).Kind, must.Sprint("after byte ", at))
				must.Eq(t, 1, connections.Load(), must.Sprint("after byte ", at))
				e.Close()
				must.NoError(t, listener.Close())
			}
		})
	}
}

// TestSuccessWithoutANameOnAUsedConnection may be the late answer to an earlier request, and proves nothing.
func TestSuccessWithoutANameOnAUsedConnection(t *testing.T) {
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
