package ingest

import (
	"bytes"
	"strings"

	"github.com/valyala/fasthttp"
)

const (
	pathMessage       = "/api/message/"
	pathBody          = "/api/message-body/"
	retryAfterSeconds = "1"

	headerRetryAfter = "Retry-After"
	contentJSON      = "application/json"
	contentBinary    = "application/octet-stream"
)

// handle answers one client request.
func (d *dispatcher) handle(ctx *fasthttp.RequestCtx) {
	d.route(ctx)
	if d.closing.Load() {
		ctx.SetConnectionClose()
	}
}

// route dispatches a request: GET requests for a message's state or body are queries, all others are messages.
func (d *dispatcher) route(ctx *fasthttp.RequestCtx) {
	path := requestPath(ctx)
	if ctx.IsGet() {
		if name, ok := strings.CutPrefix(path, pathBody); ok {
			d.handleBody(ctx, name)
			return
		}
		if name, ok := strings.CutPrefix(path, pathMessage); ok {
			d.handleState(ctx, name)
			return
		}
	}
	d.handleMessage(ctx, path)
}

// requestPath returns the path as sent in the request line, neither decoded nor normalized, without the query.
func requestPath(ctx *fasthttp.RequestCtx) string {
	target := ctx.Request.Header.RequestURI()
	if query := bytes.IndexByte(target, '?'); query >= 0 {
		target = target[:query]
	}
	return string(target)
}

// handleMessage accepts a message or responds with the reason why not.
func (d *dispatcher) handleMessage(ctx *fasthttp.RequestCtx, path string) {
	view := d.cluster.View()
	if view.Table == nil || view.Map == nil {
		respondUnavailable(ctx)
		return
	}
	route, service, ok := view.Table.MatchMessage(string(ctx.Request.Header.Host()), path)
	if !ok {
		d.respondRejected(ctx, view.ConfigVersion, fasthttp.StatusNotFound)
		return
	}
	size := len(ctx.Request.Body())
	if size > view.Config.Limits.MaxBodyBytes {
		d.respondRejected(ctx, view.ConfigVersion, fasthttp.StatusRequestEntityTooLarge)
		return
	}
	if !d.limiter.acquire(size) {
		respondUnavailable(ctx)
		return
	}
	defer d.limiter.release(size)
	storeAndRespond(ctx, d, parseRequest(ctx, view.ConfigVersion, route, service))
}

// respondRejected responds with a status that follows from the given configuration version. If that version has
// not recently been confirmed as the newest one, an acknowledged change may lead to another status, so the
// response is 503 and the client retries.
func (d *dispatcher) respondRejected(ctx *fasthttp.RequestCtx, version uint64, status int) {
	if !d.cluster.ConfigConfirmed(version) {
		d.rejections.unsure.Inc()
		d.requestRenewal()
		respondUnavailable(ctx)
		return
	}
	d.rejections.confirmed.Inc()
	ctx.SetStatusCode(status)
}

// storeAndRespond stores a message and responds to the client.
func storeAndRespond(ctx *fasthttp.RequestCtx, d *dispatcher, message *request) {
	name, result := d.accept(message)
	switch result {
	case accepted:
		ctx.Response.Header.Set(headerMessageID, name)
		ctx.SetStatusCode(fasthttp.StatusAccepted)
	case refused:
		respondUnavailable(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
	}
}

// respondUnavailable responds with 503: the message was not accepted, and a retry may succeed.
func respondUnavailable(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.Set(headerRetryAfter, retryAfterSeconds)
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
}
