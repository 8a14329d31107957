package responsetest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"foldlb.example/foldlb/internal/loopback"
)

// Response returns an ordinary response with a status, a body and further fields.
func Response(status int, body string, fields ...string) string {
	head := fmt.Sprintf("HTTP/1.1 %d Text\r\n", status)
	for _, field := range fields {
		head += field + lineEnd
	}
	return fmt.Sprintf("%s%s %d%s%s", head, lengthName, len(body), headEnd, body)
}

// Server answers the first request on each connection with the same bytes, and ends the connection after them. A client that keeps connections
// may send its next request on one that ends meanwhile, so a test needs a server for each request.
type Server struct {
	Address  string // host:port
	listener net.Listener
	serving  sync.WaitGroup
}

// Serve starts a server that is closed at the end of the test.
func Serve(t testing.TB, response string) *Server {
	t.Helper()
	listener, err := loopback.Listen()
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Address: listener.Addr().String(), listener: listener}
	s.serving.Go(func() { s.accept(response) })
	t.Cleanup(func() {
		_ = listener.Close()
		s.serving.Wait()
	})
	return s
}

func (s *Server) accept(response string) {
	for {
		connection, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.serving.Go(func() { answer(connection, response) })
	}
}

// answer reads one request and writes the response. Closing waits for the client, so that it gets all bytes.
func answer(connection net.Conn, response string) {
	defer connection.Close()
	request, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	_, _ = io.WriteString(connection, response)
	_ = connection.(*net.TCPConn).CloseWrite()
	_, _ = io.Copy(io.Discard, connection)
}
