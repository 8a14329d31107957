package ingest

import (
	"bytes"
	"strings"

	"github.com/valyala/fasthttp"
)

const (
	typeAsync     = "async"
	pathMessage   = "/api/message/"
	pathBody      = "/api/message-body/"
	retryAfterOne = "1"

	headerRetryAfter = "Retry-After"
	contentJSON      = "application/json"
	contentBinary    = "application/octet-stream"
)

// handle answers one request of a client.
func (d *dispatcher) handle(ctx *fasthttp.RequestCtx) {
	d.route(ctx)
	if d.closing.Load() {
		ctx.SetConnectionClose()
	}
}

// route tells questions about messages from messages.
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

// requestPath is the path as it stands in the request line, without the query.
func requestPath(ctx *fasthttp.RequestCtx) string {
	target := ctx.Request.Header.RequestURI()
	if query := bytes.IndexByte(target, '?'); query >= 0 {
		target = target[:query]
	}
	return string(target)
}

// handleMessage accepts a message, or says why not.
func (d *dispatcher) handleMessage(ctx *fasthttp.RequestCtx, path string) {
	view := d.cluster.View()
	if view.Table == nil || view.Map == nil {
		refuse(ctx)
		return
	}
	route, service, ok := view.Table.Match(string(ctx.Request.Header.Host()), path)
	if !ok || service == nil || route.Type != typeAsync {
		d.reject(ctx, view.ConfigVersion, fasthttp.StatusNotFound)
		return
	}
	size := len(ctx.Request.Body())
	if size > view.Config.Limits.MaxBodyBytes {
		d.reject(ctx, view.ConfigVersion, fasthttp.StatusRequestEntityTooLarge)
		return
	}
	if !d.load.enter(size) {
		refuse(ctx)
		return
	}
	defer d.load.leave(size)
	answer(ctx, d, readRequest(ctx, route, service))
}

// reject answers with a status that a version of the configuration leads to. Where that has not been confirmed as the newest one lately, a
// change may have been acknowledged that leads to another, so the client is asked to come back.
func (d *dispatcher) reject(ctx *fasthttp.RequestCtx, version uint64, status int) {
	if !d.cluster.ConfigConfirmed(version) {
		d.rejections.unsure.Inc()
		d.kick()
		refuse(ctx)
		return
	}
	d.rejections.sure.Inc()
	ctx.SetStatusCode(status)
}

// answer has a message stored and answers the client.
func answer(ctx *fasthttp.RequestCtx, d *dispatcher, message *request) {
	name, result := d.accept(message)
	switch result {
	case accepted:
		ctx.Response.Header.Set(headerMessageID, name)
		ctx.SetStatusCode(fasthttp.StatusAccepted)
	case refused:
		refuse(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
	}
}

// refuse answers that nothing was taken, and that another try may succeed.
func refuse(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.Set(headerRetryAfter, retryAfterOne)
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
}
