// Package ops implements the admin HTTP interface of a dispatcher: an HTTP/1.1 listener of its own for readiness checks,
// statistics, excluding and readmitting quote workers, and draining the dispatcher.
//
// This file parses requests and builds responses without I/O; server.go handles the connections.
package ops

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/valyala/fasthttp"

	"foldlb.example/foldlb/internal/core"
)

// Kind is the operation that a request asks for.
type Kind int

// The kinds of requests.
const (
	KindReadiness Kind = iota
	KindStats
	KindWorkerDown
	KindWorkerUp
	KindDrainStart
	KindDrainStop
)

// Request is a valid request.
type Request struct {
	Kind   Kind
	Worker core.WorkerID // only for KindWorkerDown and KindWorkerUp
}

// Bounds of a request.
const (
	maxHeadBytes     = 4 << 10 // request line and headers
	maxWorkerIDBytes = 256     // id of a quote worker
	maxBodyBytes     = 512     // an id with white space around it
)

// routes maps each path to its method and kind.
var routes = map[string]struct {
	method string
	kind   Kind
}{
	"/ops/readiness":          {fasthttp.MethodGet, KindReadiness},
	"/ops/stats":              {fasthttp.MethodGet, KindStats},
	"/ops/quote-workers/down": {fasthttp.MethodPost, KindWorkerDown},
	"/ops/quote-workers/up":   {fasthttp.MethodPost, KindWorkerUp},
	"/ops/drain/start":        {fasthttp.MethodPost, KindDrainStart},
	"/ops/drain/stop":         {fasthttp.MethodPost, KindDrainStop},
}

// Response is the response to a request.
type Response struct {
	Status int
	Body   []byte
	JSON   bool // Body is JSON; otherwise a line of plain text
}

func textResponse(status int, format string, args ...any) Response {
	return Response{Status: status, Body: []byte(fmt.Sprintf(format, args...) + "\n")}
}

// parseRequest parses and validates a request. For an invalid one it returns the error response, and false.
func parseRequest(method, target string, body []byte) (Request, Response, bool) {
	path, _, _ := strings.Cut(target, "?")
	r, known := routes[path]
	switch {
	case !known:
		return Request{}, textResponse(fasthttp.StatusNotFound, "no such call: %.100q", path), false
	case method != r.method:
		return Request{}, textResponse(fasthttp.StatusMethodNotAllowed, "%s is called by %s", path, r.method), false
	case r.kind != KindWorkerDown && r.kind != KindWorkerUp:
		return Request{Kind: r.kind}, Response{}, true
	}
	id := bytes.TrimSpace(body)
	switch {
	case len(id) == 0:
		return Request{}, textResponse(fasthttp.StatusBadRequest, "the body must be a quote worker's id"), false
	case len(id) > maxWorkerIDBytes:
		return Request{}, textResponse(fasthttp.StatusRequestEntityTooLarge, "an id has %d bytes at most", maxWorkerIDBytes), false
	case bytes.ContainsFunc(id, func(c rune) bool { return c <= ' ' || c == 0x7f || c == 0xfffd }):
		return Request{}, textResponse(fasthttp.StatusBadRequest, "not a quote worker's id: %.100q", id), false
	}
	return Request{Kind: r.kind, Worker: core.WorkerID(id)}, Response{}, true
}

// bytes returns the HTTP/1.1 encoding of a response, which closes the connection.
func (a Response) bytes() []byte {
	kind := "text/plain"
	if a.JSON {
		kind = "application/json"
	}
	return fmt.Appendf(make([]byte, 0, 160+len(a.Body)), "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		a.Status, fasthttp.StatusMessage(a.Status), kind, len(a.Body), a.Body)
}
