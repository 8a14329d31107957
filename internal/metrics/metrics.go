// Package metrics serves the metrics of a process over HTTP in the Prometheus text exposition format: a HELP line and a "name value" line
// for each metric.
package metrics

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"foldlb.example/foldlb/internal/settings"
)

// Path is the HTTP path of the metrics.
const Path = "/metrics"

const (
	readTimeout    = 2 * time.Second // for the header of a request
	writeTimeout   = 5 * time.Second
	maxHeaderBytes = 4 << 10
)

// Metric is a single value that a process exposes.
type Metric struct {
	Name  string // snake case; names of counters end in _total
	Help  string // a single line
	Value uint64
}

// Server serves the metrics until it is closed.
type Server struct {
	server *http.Server
}

// Serve listens on address, host:port, and answers GET Path with the metrics that collect returns for each request. It returns an error that
// names the address if it can't listen there. collect is called concurrently.
func Serve(address string, collect func() []Metric) (*Server, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "metrics: listen on %s; free the port or choose another one", address)
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+Path, Handler(collect))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readTimeout, WriteTimeout: writeTimeout, MaxHeaderBytes: maxHeaderBytes}
	go func() { _ = server.Serve(listener) }()
	return &Server{server: server}, nil
}

// ServeRole serves the metrics of a role at the port that the command line names. It returns nil if no port is named or the port can't be
// used; the cause is logged, and the process runs without metrics.
func ServeRole(role *settings.Settings, log logr.Logger, collect func() []Metric) *Server {
	port := role.MetricsPort
	if port == 0 {
		return nil
	}
	if role.UsesPort(port) {
		log.Info("metrics are not served: the settings use this port for something else; choose another one", "port", port)
		return nil
	}
	server, err := Serve(net.JoinHostPort(role.IP, strconv.Itoa(port)), collect)
	if err != nil {
		log.Error(err, "metrics are not served")
	}
	return server
}

// Close closes the listener and all connections. It does nothing on a nil server.
func (s *Server) Close() error {
	if s == nil {
		return nil
	}
	return s.server.Close()
}

// Handler answers each request with the metrics that collect returns.
func Handler(collect func() []Metric) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "text/plain; version=0.0.4")
		_, _ = writer.Write(encodeText(collect()))
	})
}

func encodeText(metrics []Metric) []byte {
	var text bytes.Buffer
	for _, metric := range metrics {
		fmt.Fprintf(&text, "# HELP %s %s\n%s %d\n", metric.Name, metric.Help, metric.Name, metric.Value)
	}
	return text.Bytes()
}
