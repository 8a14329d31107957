package ingest

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"foldlb.example/foldlb/internal/rpc"
)

// Closes the connection after every proper prefix of a request: none may reach a store.
func TestRequestTruncatedAtEachByteIsNotStored(t *testing.T) {
	h := newHarness(t)
	wholes := map[string]string{
		"length": "POST /free/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: a\r\nContent-Length: 5\r\n\r\nhello",
		"chunks": "POST /free/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	}
	for name, whole := range wholes {
		for at := 1; at < len(whole); at++ {
			connection, err := h.listener.Dial()
			must.NoError(t, err)
			_, err = connection.Write([]byte(whole[:at]))
			must.NoError(t, err)
			must.NoError(t, connection.Close())
			must.EqOp(t, 0, h.puts(rpc.PutMode_OWNER)+h.puts(rpc.PutMode_HOLDER), must.Sprint(name, " after byte ", at))
		}
	}
	// The truncated requests have ended by the time a later one has been answered.
	must.Eq(t, fasthttp.StatusAccepted, h.send("POST", "/free/x", "whole").status)
	must.EqOp(t, 1, h.puts(rpc.PutMode_OWNER)+h.puts(rpc.PutMode_HOLDER))
}

// Writes requests on one connection without waiting for responses, alternately with and without a matching route.
func TestPipelinedRequestsGetTheirOwnResponses(t *testing.T) {
	h := newHarness(t)
	connection, err := h.listener.Dial()
	must.NoError(t, err)
	defer connection.Close()
	must.NoError(t, connection.SetDeadline(time.Now().Add(testTimeout)))
	const count = 20
	var written bytes.Buffer
	for i := range count {
		path := "/free/x"
		if i%2 == 1 {
			path = "/none/x"
		}
		body := fmt.Sprint("body ", i)
		fmt.Fprintf(&written, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r%d\r\nContent-Length: %d\r\n\r\n%s", path, i, len(body), body)
	}
	go func() { _, _ = connection.Write(written.Bytes()) }()
	reader := bufio.NewReader(connection)
	names := map[string]string{} // message bodies by message name
	for i := range count {
		response, err := http.ReadResponse(reader, nil)
		must.NoError(t, err)
		_, err = bytes.NewBuffer(nil).ReadFrom(response.Body)
		must.NoError(t, err)
		wanted := fasthttp.StatusAccepted
		if i%2 == 1 {
			wanted = fasthttp.StatusNotFound
		}
		must.Eq(t, wanted, response.StatusCode)
		if name := response.Header.Get("X-Msg-Id"); name != "" {
			names[name] = fmt.Sprint("body ", i)
		}
	}
	must.MapLen(t, count/2, names)
	for _, store := range h.stores {
		for _, put := range store.received() {
			must.EqOp(t, names[put.Messages[0].Name], string(put.Messages[0].Body))
		}
	}
}
