// Package ops is the operators' door: an HTTP/1.1 listener of its own at which staff and their tools ask whether a
// dispatcher serves and what it has done, take quote workers out and put them back, and send callers away.
//
// This file reads a call and words the answers, without I/O; door.go holds the connections.
package ops

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/valyala/fasthttp"

	"foldlb.example/foldlb/internal/core"
)

// Kind is what a call wants.
type Kind int

// The kinds of calls.
const (
	KindReadiness Kind = iota
	KindStats
	KindWorkerDown
	KindWorkerUp
	KindDrainStart
	KindDrainStop
)

// Call is a well-formed call.
type Call struct {
	Kind   Kind
	Worker core.WorkerID // of KindWorkerDown and KindWorkerUp
}

// Bounds of a call.
const (
	mostHead = 4 << 10 // bytes of its head
	mostID   = 256     // bytes of a quote worker's id
	mostBody = 512     // bytes of a body: an id and white space around it
)

// routes are the calls that there are.
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

// Answer is what a call is told.
type Answer struct {
	Status int
	Body   []byte
	JSON   bool // Body is JSON, else a line for people
}

func line(status int, format string, args ...any) Answer {
	return Answer{Status: status, Body: []byte(fmt.Sprintf(format, args...) + "\n")}
}

// parse reads a call. Where it is at fault itself it tells the answer to that, and false.
func parse(method, target string, body []byte) (Call, Answer, bool) {
	path, _, _ := strings.Cut(target, "?")
	r, known := routes[path]
	switch {
	case !known:
		return Call{}, line(fasthttp.StatusNotFound, "no such call: %.100q", path), false
	case method != r.method:
		return Call{}, line(fasthttp.StatusMethodNotAllowed, "%s is called by %s", path, r.method), false
	case r.kind != KindWorkerDown && r.kind != KindWorkerUp:
		return Call{Kind: r.kind}, Answer{}, true
	}
	id := bytes.TrimSpace(body)
	switch {
	case len(id) == 0:
		return Call{}, line(fasthttp.StatusBadRequest, "the body must be a quote worker's id"), false
	case len(id) > mostID:
		return Call{}, line(fasthttp.StatusRequestEntityTooLarge, "an id has %d bytes at most", mostID), false
	case bytes.ContainsFunc(id, func(c rune) bool { return c <= ' ' || c == 0x7f || c == 0xfffd }):
		return Call{}, line(fasthttp.StatusBadRequest, "not a quote worker's id: %.100q", id), false
	}
	return Call{Kind: r.kind, Worker: core.WorkerID(id)}, Answer{}, true
}

// bytes writes an answer down. It is the last on its connection.
func (a Answer) bytes() []byte {
	kind := "text/plain"
	if a.JSON {
		kind = "application/json"
	}
	return fmt.Appendf(make([]byte, 0, 160+len(a.Body)), "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		a.Status, fasthttp.StatusMessage(a.Status), kind, len(a.Body), a.Body)
}
