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
	bodySlack      = 64 << 10 // bodies a little too long are read, so that the 413 is not lost in a reset
	headerSlack    = 1 << 10  // for the request line
	readyReadLimit = 4 << 10
	readyConns     = 64
	readyTimeout   = 5 * time.Second
)

// newFrontServer returns the server for clients. Header bounds and timeouts are those of the limits given;
// the bound of bodies follows the newest configuration.
func newFrontServer(d *dispatcher, limits catalog.Limits) *fasthttp.Server {
	server := newServer(d.handle)
	server.Concurrency = maxConnections(d.settings.Limits.MaxFds)
	server.ReadBufferSize = limits.MaxHeaderBytes + headerSlack
	server.ReadTimeout = time.Duration(limits.HeaderTimeoutMs) * time.Millisecond
	server.IdleTimeout = time.Duration(limits.IdleTimeoutMs) * time.Millisecond
	server.HeaderReceived = d.boundBody
	server.ErrorHandler = answerUnreadable
	return server
}

// newReadyServer returns the server for the platform's question whether the dispatcher is ready.
func newReadyServer(handler fasthttp.RequestHandler) *fasthttp.Server {
	server := newServer(handler)
	server.Concurrency = readyConns
	server.ReadBufferSize = readyReadLimit
	server.ReadTimeout = readyTimeout
	server.IdleTimeout = readyTimeout
	return server
}

// newServer returns what both servers have in common.
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
		Logger:                       silentLogger{},
	}
}

// boundBody bounds size and time of a body by the newest configuration.
func (d *dispatcher) boundBody(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	config := d.cluster.View().Config
	if config == nil {
		return fasthttp.RequestConfig{}
	}
	return fasthttp.RequestConfig{
		MaxRequestBodySize: config.Limits.MaxBodyBytes + bodySlack,
		ReadTimeout:        time.Duration(config.Limits.IdleTimeoutMs) * time.Millisecond,
	}
}

// answerUnreadable answers a request that could not be read whole. None of these was taken.
func answerUnreadable(ctx *fasthttp.RequestCtx, err error) {
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

// silentLogger drops the server's lines about single connections.
type silentLogger struct{}

// Printf does nothing.
func (silentLogger) Printf(string, ...any) {}
