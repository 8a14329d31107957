package ingest

import (
	"time"

	"github.com/valyala/fasthttp"

	"foldlb.example/foldlb/internal/cluster"
)

const (
	pathReady      = "/api/ready"
	controlSilence = 10 * time.Second // without control this long, failing stores make the dispatcher not ready
)

// readiness decides whether clients should be sent here.
type readiness struct {
	dispatcher *dispatcher
	control    interface{ ControlReachable() time.Duration }
}

// ready reports whether a message that comes now is likely to be accepted.
func (r *readiness) ready() bool {
	d := r.dispatcher
	if !d.serving.Load() || d.stopping.Load() || !serviceable(d.cluster.View()) || d.health.failing() {
		return false
	}
	return !(r.control.ControlReachable() > controlSilence && d.health.failed())
}

// serviceable reports whether a view is enough to accept messages with.
func serviceable(view *cluster.View) bool {
	return view.Config != nil && view.HasOwners()
}

// handle answers the platform.
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
