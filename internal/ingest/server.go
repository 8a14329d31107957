package ingest

import (
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"foldlb.example/foldlb/internal/catalog"
)

const (
	writeTimeout   = 5 * time.Second
	bodySlack      = 64 << 10 // bodies above the limit by up to this many bytes are read, so that a connection reset does not hide the 413
	headerSlack    = 1 << 10  // for the request line
	readyReadLimit = 4 << 10
	readyConns     = 64
	readyTimeout   = 5 * time.Second
)

// newFrontServer returns the server for clients. Header limits and timeouts are those of the given limits and
// stay fixed; the body limit follows the newest configuration.
func newFrontServer(d *dispatcher, limits catalog.Limits) *fasthttp.Server {
	server := newServer(d.handle)
	server.Concurrency = maxConnections(d.settings.Limits.MaxFds)
	server.ReadBufferSize = limits.MaxHeaderBytes + headerSlack
	server.ReadTimeout = time.Duration(limits.HeaderTimeoutMs) * time.Millisecond
	server.IdleTimeout = time.Duration(limits.IdleTimeoutMs) * time.Millisecond
	server.HeaderReceived = d.bodyLimits
	server.ErrorHandler = handleReadError
	return server
}

// newReadyServer returns the server for the platform's readiness probe.
func newReadyServer(handler fasthttp.RequestHandler) *fasthttp.Server {
	server := newServer(handler)
	server.Concurrency = readyConns
	server.ReadBufferSize = readyReadLimit
	server.ReadTimeout = readyTimeout
	server.IdleTimeout = readyTimeout
	return server
}

// newServer returns a server with the options that both servers share.
func newServer(handler fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:                      handler,
		WriteTimeout:                 writeTimeout,
		ReduceMemoryUsage:            true,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		CloseOnShutdown:              true,
		Logger:                       discardLogger{},
	}
}

// bodyLimits returns the size and time limits for a body under the newest configuration.
func (d *dispatcher) bodyLimits(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	config := d.cluster.View().Config
	if config == nil {
		return fasthttp.RequestConfig{}
	}
	return fasthttp.RequestConfig{
		MaxRequestBodySize: config.Limits.MaxBodyBytes + bodySlack,
		ReadTimeout:        time.Duration(config.Limits.IdleTimeoutMs) * time.Millisecond,
	}
}

// handleReadError answers a request that could not be read completely. No such request is accepted.
func handleReadError(ctx *fasthttp.RequestCtx, err error) {
	var tooSmall *fasthttp.ErrSmallBuffer
	var network net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		ctx.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
	case errors.As(err, &tooSmall):
		ctx.SetStatusCode(fasthttp.StatusRequestHeaderFieldsTooLarge)
	case errors.As(err, &network) && network.Timeout():
		ctx.SetStatusCode(fasthttp.StatusRequestTimeout)
	default:
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
	}
}

// discardLogger discards fasthttp's log lines about individual connections.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
