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
	drainTime       = 2300 * time.Millisecond // after SIGTERM, while the platform still routes new connections here
	graceReserve    = 2 * time.Second         // unused part of graceS, a margin for late timers
	minCloseTime    = 500 * time.Millisecond
	incarnationBase = 36
)

// Options configure a dispatcher.
type Options struct {
	Settings *settings.Settings // validated
	Log      logr.Logger

	// RoundTripper is the transport to control processes and stores; nil means TCP.
	RoundTripper http.RoundTripper
}

// Run runs the dispatcher until the context ends and then shuts it down: it reports not ready at once, keeps
// serving for a while, and then closes each connection after its response. It returns an error if an address
// can't be listened on or a server fails.
func Run(ctx context.Context, settings *settings.Settings, log logr.Logger) error {
	if settings.Listen.Front == "" || settings.Listen.Ready == "" {
		return &ListenError{}
	}
	clientCtx, stopClient := context.WithCancel(context.WithoutCancel(ctx))
	defer stopClient()
	return Start(clientCtx, Options{Settings: settings, Log: log}).run(ctx)
}

// Process is the dispatcher role of one process. Start creates it.
type Process struct {
	dispatcher *dispatcher
	client     *cluster.Client
	failures   chan error // of the servers
	log        logr.Logger
}

// Start starts a dispatcher that follows the control plane until the context ends. It opens no listeners.
func Start(ctx context.Context, options Options) *Process {
	client := cluster.Start(ctx, cluster.Options{
		Settings:     options.Settings,
		Role:         cluster.RoleDispatcher,
		Incarnation:  strconv.FormatUint(randomID(), incarnationBase),
		Log:          options.Log,
		RoundTripper: options.RoundTripper,
	})
	dispatcher := newDispatcher(options.Settings, client)
	dispatcher.health.prober = &prober{ctx: ctx, cluster: client}
	return &Process{dispatcher: dispatcher, client: client, failures: make(chan error, 2), log: options.Log}
}

// Handle answers one client request.
func (p *Process) Handle(ctx *fasthttp.RequestCtx) { p.dispatcher.handle(ctx) }

// run serves clients until the context ends.
func (p *Process) run(ctx context.Context) error {
	listen := p.dispatcher.settings.Listen
	readiness := &readiness{dispatcher: p.dispatcher, control: p.client}
	if err := p.serve(newReadyServer(readiness.handle), listen.Ready); err != nil {
		return err
	}
	holdups := holdup.Watch(ctx, p.log)
	metricsServer := metrics.ServeRole(p.dispatcher.settings, p.log, func() []metrics.Metric {
		return append(p.dispatcher.collectMetrics(), holdups.Figures()...)
	})
	defer func() { _ = metricsServer.Close() }()
	view, err := p.awaitConfig(ctx)
	if err != nil || view == nil {
		return err
	}
	front := newFrontServer(p.dispatcher, view.Config.Limits)
	if err := p.serve(front, listen.Front); err != nil {
		return err
	}
	p.dispatcher.serving.Store(true)
	p.log.Info("dispatcher serving", "front", listen.Front, "configuration", view.ConfigVersion)
	select {
	case err := <-p.failures:
		return err
	case <-ctx.Done():
		return p.shutDown(front)
	}
}

// awaitConfig waits for the first configuration. The front address is not listened on before, as no message can
// be accepted and a refused connection tells clients so at once. The view is nil if the context ended first.
func (p *Process) awaitConfig(ctx context.Context) (*cluster.View, error) {
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

// serve listens on an address and serves it in the background. A later failure of the server is sent to
// p.failures.
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

// shutDown drains and closes the front server within graceS less graceReserve.
func (p *Process) shutDown(front *fasthttp.Server) error {
	total := time.Duration(p.dispatcher.settings.Bounds.GraceS*float64(time.Second)) - graceReserve
	drain := max(min(drainTime, total-minCloseTime), 0)
	p.dispatcher.stopping.Store(true)
	p.log.Info("dispatcher shutting down", "after", drain.String())
	time.Sleep(drain)
	p.dispatcher.closing.Store(true)
	closeCtx, cancel := context.WithTimeout(context.Background(), max(total-drain, minCloseTime))
	defer cancel()
	if err := front.ShutdownWithContext(closeCtx); err != nil {
		p.log.Info("front server shutdown incomplete", "cause", err.Error())
	}
	return nil
}
