// Package control implements the control socket: a Unix socket, accessible to its owner only, through which operators query
// a running dispatcher and give it orders. A question is one line of JSON; an answer is one or more such lines.
package control

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	jsoniter "github.com/json-iterator/go"
	"github.com/sirupsen/logrus"

	"foldlb.example/foldlb/internal/hold"
)

var codec = jsoniter.ConfigCompatibleWithStandardLibrary

const (
	maxQuestionBytes = 64 << 10        // longest question
	maxConns         = 16              // served at once, to keep descriptors available for other uses
	readTimeout      = 5 * time.Second // for the question to arrive
	writeTimeout     = 5 * time.Second // for each line of an answer
)

// Question is an operator's question.
type Question struct {
	Ask  string          `json:"ask"`            // name of the handler
	Args json.RawMessage `json:"args,omitempty"` // passed to the handler
}

// ErrorReply is the answer to a question that could not be answered.
type ErrorReply struct {
	Error string `json:"error"`
}

// RemoteError is the error that a server returned for a question it received, with the server's text.
type RemoteError string

func (r RemoteError) Error() string { return string(r) }

// Handler answers a question by calling say with any number of values, each of which becomes a line. A returned error is
// sent as the last line.
type Handler func(args json.RawMessage, say func(v any) error) error

// Server answers questions on a listener. Its open connections are not handed over in an upgrade: the process that
// received a question also answers it.
type Server struct {
	ln         *net.UnixListener
	handlers   map[string]Handler
	log        logrus.FieldLogger
	slots      chan struct{}
	handedOver atomic.Bool
}

// Listen opens the socket at a path, accessible to this user only. It replaces a socket that no process listens on, and
// returns an error if a process does.
func Listen(path string) (*net.UnixListener, error) {
	if c, err := net.DialTimeout("unix", path, time.Second); err == nil {
		c.Close()
		return nil, fmt.Errorf("control socket %s: a running process answers there", path)
	} else if errors.Is(err, syscall.ECONNREFUSED) {
		if err := os.Remove(path); err != nil {
			return nil, fmt.Errorf("control socket: %w", err)
		}
	}
	// The mode must be set at creation: changed afterwards, the socket would be accessible to others in between.
	old := syscall.Umask(0o177)
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	syscall.Umask(old)
	if err != nil {
		return nil, fmt.Errorf("control socket: %w", err)
	}
	return ln, nil
}

// Taken returns the listener that another process handed over at the given place. Closing it removes the socket's file.
func Taken(place int, files *hold.Received) (*net.UnixListener, error) {
	ln, err := files.Listener(place)
	if err != nil {
		return nil, fmt.Errorf("control socket: %w", err)
	}
	u, ok := ln.(*net.UnixListener)
	if !ok {
		ln.Close()
		return nil, errors.New("control socket: not a Unix socket")
	}
	u.SetUnlinkOnClose(true)
	return u, nil
}

// NewServer returns a server that answers the questions that have a handler.
func NewServer(ln *net.UnixListener, handlers map[string]Handler, log logrus.FieldLogger) *Server {
	return &Server{ln: ln, handlers: handlers, log: log, slots: make(chan struct{}, maxConns)}
}

// FD calls f with the listener's file descriptor, which is valid only during the call.
func (s *Server) FD(f func(fd int)) error { return hold.FD(s.ln, f) }

// Run serves until the listener is closed.
func (s *Server) Run() {
	for {
		s.slots <- struct{}{}
		c, err := s.ln.Accept()
		if err != nil {
			<-s.slots
			if errors.Is(err, net.ErrClosed) {
				return
			}
			s.log.WithError(err).Warn("control socket: accept failed, retrying")
			time.Sleep(10 * time.Millisecond)
			continue
		}
		go func() {
			defer func() { c.Close(); <-s.slots }()
			s.serve(c)
		}()
	}
}

// Leave is called when another process answers from now on: questions that still arrive here are closed without an answer,
// so that Ask repeats them.
func (s *Server) Leave() { s.handedOver.Store(true) }

// Close closes the socket and removes its file.
func (s *Server) Close() error { return s.ln.Close() }

func (s *Server) serve(c net.Conn) {
	c.SetReadDeadline(time.Now().Add(readTimeout))
	line, err := bufio.NewReader(io.LimitReader(c, maxQuestionBytes)).ReadBytes('\n')
	say := func(v any) error {
		text, err := codec.Marshal(v)
		if err != nil {
			return err
		}
		c.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, err = c.Write(append(text, '\n'))
		return err
	}
	if s.handedOver.Load() {
		return
	}
	if err != nil {
		say(ErrorReply{"no question came: a question is one line of JSON"})
		return
	}
	var q Question
	if err := codec.Unmarshal(line, &q); err != nil {
		say(ErrorReply{"not a question: " + err.Error()})
		return
	}
	h := s.handlers[q.Ask]
	if h == nil {
		say(ErrorReply{fmt.Sprintf("ask: %q is not known here", q.Ask)})
		return
	}
	if err := h(q.Args, say); err != nil {
		say(ErrorReply{err.Error()})
	}
}

// askRetryPeriod is how long Ask repeats a question whose connection closed without an answer, as during an upgrade.
const askRetryPeriod = 2 * time.Second

// Ask sends a question to the socket at a path and calls receive with each line of the answer, which is valid only during
// the call. If the answer is an ErrorReply, it returns a RemoteError.
func Ask(path, what string, args any, receive func(line []byte) error) error {
	q := Question{Ask: what}
	if args != nil {
		text, err := codec.Marshal(args)
		if err != nil {
			return err
		}
		q.Args = text
	}
	until := time.Now().Add(askRetryPeriod)
	for {
		lines, err := askOnce(path, q, receive)
		if err != nil || lines > 0 {
			return err
		}
		if time.Now().After(until) {
			return fmt.Errorf("%s: the connection ended without an answer", path)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func askOnce(path string, q Question, receive func([]byte) error) (lines int, err error) {
	c, err := net.Dial("unix", path)
	if err != nil {
		return 0, fmt.Errorf("no dispatcher answers at its control socket: %w", err)
	}
	defer c.Close()
	text, err := codec.Marshal(q)
	if err != nil {
		return 0, err
	}
	if _, err := c.Write(append(text, '\n')); err != nil {
		return 0, nil
	}
	in := bufio.NewScanner(c)
	in.Buffer(nil, 1<<20)
	for in.Scan() {
		lines++
		var f ErrorReply
		if codec.Unmarshal(in.Bytes(), &f) == nil && f.Error != "" {
			return lines, RemoteError(f.Error)
		}
		if err := receive(in.Bytes()); err != nil {
			return lines, err
		}
	}
	return lines, nil
}
