// Package metrics serves the figures of a process as text over HTTP, in the exposition format that monitoring systems read: one
// "name value" a line, with a line of help before it.
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

// Path is where the figures are served.
const Path = "/metrics"

const (
	readTimeout  = 2 * time.Second // of a request's header
	writeTimeout = 5 * time.Second
	headerBytes  = 4 << 10
)

// Figure is one number that a process tells of itself.
type Metric struct {
	Name  string // in lower case with underscores; one that only grows ends in _total
	Help  string // one line
	Value uint64
}

// Server answers requests for the figures until it is closed.
type Server struct {
	server *http.Server
}

// Serve listens on an address, host:port, and answers GET Path with what figures returns then. The error names the address where it
// can't be listened on. figures is called from several goroutines.
func Serve(address string, figures func() []Metric) (*Server, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "metrics: listen on %s; free the port or name another one", address)
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+Path, Handler(figures))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readTimeout, WriteTimeout: writeTimeout, MaxHeaderBytes: headerBytes}
	go func() { _ = server.Serve(listener) }()
	return &Server{server: server}, nil
}

// ServeRole serves the figures of a role at the port that the command line names. A process that can't tell its figures works on: the
// cause is logged, and the server is nil, as it is where no port is named.
func ServeRole(role *settings.Settings, log logr.Logger, figures func() []Metric) *Server {
	port := role.MetricsPort
	if port == 0 {
		return nil
	}
	if role.UsesPort(port) {
		log.Info("figures are not served: the settings use their port for something else; name another one", "port", port)
		return nil
	}
	server, err := Serve(net.JoinHostPort(role.IP, strconv.Itoa(port)), figures)
	if err != nil {
		log.Error(err, "figures are not served")
	}
	return server
}

// Close ends the server and its connections. A nil server is closed already.
func (s *Server) Close() error {
	if s == nil {
		return nil
	}
	return s.server.Close()
}

// Handler answers with what figures returns at that moment.
func Handler(figures func() []Metric) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "text/plain; version=0.0.4")
		_, _ = writer.Write(encode(figures()))
	})
}

func encode(figures []Metric) []byte {
	var text bytes.Buffer
	for _, figure := range figures {
		fmt.Fprintf(&text, "# HELP %s %s\n%s %d\n", figure.Name, figure.Help, figure.Name, figure.Value)
	}
	return text.Bytes()
}
