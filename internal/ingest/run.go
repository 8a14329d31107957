package ingest

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"foldlb.example/foldlb/internal/cluster"
	"foldlb.example/foldlb/internal/holdup"
	"foldlb.example/foldlb/internal/metrics"
	"foldlb.example/foldlb/internal/settings"
)

const (
	serveOn         = 2300 * time.Millisecond // after SIGTERM, while the platform still sends connections here
	graceReserve    = 2 * time.Second         // of graceS, kept against late timers
	leastCloseTime  = 500 * time.Millisecond
	incarnationBase = 36
)

// Options are what a dispatcher is told at its start.
type Options struct {
	Settings *settings.Settings // read and checked
	Log      logr.Logger

	// RoundTripper reaches control processes and stores; nil for TCP.
	RoundTripper http.RoundTripper
}

// Run runs the dispatcher until the context ends, and then shuts it down in order: not ready at once, serving
// on for a while, then closing connections with their answers. It returns an error where an address can't
// be listened on or a server fails.
func Run(ctx context.Context, settings *settings.Settings, log logr.Logger) error {
	if settings.Listen.Front == "" || settings.Listen.Ready == "" {
		return &ListenError{}
	}
	following, stopFollowing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopFollowing()
	return Start(following, Options{Settings: settings, Log: log}).run(ctx)
}

// Process is the dispatcher role of one process. Create it with Follow.
type Process struct {
	dispatcher *dispatcher
	client     *cluster.Client
	failures   chan error // of servers
	log        logr.Logger
}

// Follow makes a dispatcher that follows the control plane until the context ends. It listens on nothing.
func Start(ctx context.Context, options Options) *Process {
	client := cluster.Start(ctx, cluster.Options{
		Settings:     options.Settings,
		Role:         cluster.RoleDispatcher,
		Incarnation:  strconv.FormatUint(randomName(), incarnationBase),
		Log:          options.Log,
		RoundTripper: options.RoundTripper,
	})
	dispatcher := newDispatcher(options.Settings, client)
	dispatcher.health.prober = &prober{ctx: ctx, cluster: client}
	return &Process{dispatcher: dispatcher, client: client, failures: make(chan error, 2), log: options.Log}
}

// Handle answers one request of a client.
func (p *Process) Handle(ctx *fasthttp.RequestCtx) { p.dispatcher.handle(ctx) }

// run serves clients until the context ends.
func (p *Process) run(ctx context.Context) error {
	listen := p.dispatcher.settings.Listen
	readiness := &readiness{dispatcher: p.dispatcher, control: p.client}
	if err := p.serve(newReadyServer(readiness.handle), listen.Ready); err != nil {
		return err
	}
	heldUp := holdup.Watch(ctx, p.log)
	figures := metrics.ServeRole(p.dispatcher.settings, p.log, func() []metrics.Figure {
		return append(p.dispatcher.figures(), heldUp.Figures()...)
	})
	defer func() { _ = figures.Close() }()
	view, err := p.firstConfig(ctx)
	if err != nil || view == nil {
		return err
	}
	front := newFrontServer(p.dispatcher, view.Config.Limits)
	if err := p.serve(front, listen.Front); err != nil {
		return err
	}
	p.dispatcher.serving.Store(true)
	p.log.Info("dispatcher serves", "front", listen.Front, "configuration", view.ConfigVersion)
	select {
	case err := <-p.failures:
		return err
	case <-ctx.Done():
		return p.shutDown(front)
	}
}

// firstConfig waits for the first configuration: before it nothing can be accepted, and a refused connection
// tells that best. The view is nil where the context ended first.
func (p *Process) firstConfig(ctx context.Context) (*cluster.View, error) {
	for {
		view := p.client.View()
		if view.Config != nil {
			return view, nil
		}
		select {
		case <-view.Superseded():
		case err := <-p.failures:
			return nil, err
		case <-ctx.Done():
			return nil, nil
		}
	}
}

// serve listens on an address and serves it in the background.
func (p *Process) serve(server *fasthttp.Server, address string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return &ListenError{Address: address, Cause: err}
	}
	go func() {
		if err := server.Serve(listener); err != nil {
			p.failures <- errors.Wrapf(err, "serve %s", address)
		}
	}()
	return nil
}

// shutDown ends the front server in order, within graceS less a reserve.
func (p *Process) shutDown(front *fasthttp.Server) error {
	total := time.Duration(p.dispatcher.settings.Bounds.GraceS*float64(time.Second)) - graceReserve
	ahead := max(min(serveOn, total-leastCloseTime), 0)
	p.dispatcher.stopping.Store(true)
	p.log.Info("dispatcher shuts down", "after", ahead.String())
	time.Sleep(ahead)
	p.dispatcher.closing.Store(true)
	bounded, cancel := context.WithTimeout(context.Background(), max(total-ahead, leastCloseTime))
	defer cancel()
	if err := front.ShutdownWithContext(bounded); err != nil {
		p.log.Info("connections were left open at the end", "cause", err.Error())
	}
	return nil
}
