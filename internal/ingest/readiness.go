package ingest

import (
	"time"

	"github.com/valyala/fasthttp"

	"foldlb.example/foldlb/internal/cluster"
)

const (
	pathReady      = "/api/ready"
	controlTimeout = 10 * time.Second // if the leader has granted nothing for this long, a failed store call makes the dispatcher not ready
)

// readiness decides whether the platform should send clients to this dispatcher.
type readiness struct {
	dispatcher *dispatcher
	control    interface{ TimeSinceRenewal() time.Duration }
}

// ready reports whether a new message is likely to be accepted.
func (r *readiness) ready() bool {
	d := r.dispatcher
	if !d.serving.Load() || d.stopping.Load() || !canAccept(d.cluster.View()) || d.health.allFailing() {
		return false
	}
	return !(r.control.TimeSinceRenewal() > controlTimeout && d.health.lastCallFailed())
}

// canAccept reports whether a view suffices to accept messages.
func canAccept(view *cluster.View) bool {
	return view.Config != nil && view.HasOwners()
}

// handle answers the platform's readiness probe.
func (r *readiness) handle(ctx *fasthttp.RequestCtx) {
	switch {
	case string(ctx.Path()) != pathReady:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	case r.ready():
		ctx.SetStatusCode(fasthttp.StatusOK)
	default:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}
