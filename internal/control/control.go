// Package control is the control socket: a Unix socket, for its owner only, over which operators ask a running
// dispatcher for its state and give it orders. A question is one line of JSON, an answer one or more of them.
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
	mostLine  = 64 << 10
	mostConns = 16 // at once; descriptors are needed elsewhere
	askWait   = 5 * time.Second
	writeWait = 5 * time.Second
)

// Question is what an operator asks.
type Question struct {
	Ask  string          `json:"ask"`
	Args json.RawMessage `json:"args,omitempty"`
}

// Fault is the answer to a question that could not be answered.
type ErrorReply struct {
	Error string `json:"error"`
}

// Refused is the error of a question that was heard and could not be answered, in the words of whoever was asked.
type RemoteError string

func (r RemoteError) Error() string { return string(r) }

// Handler answers a question by any number of values, each of which becomes a line. An error becomes the last one.
type Handler func(args json.RawMessage, say func(v any) error) error

// Server answers questions. The connections that it serves do not pass on in an upgrade: who asked is told by the
// process that was asked.
type Server struct {
	ln       *net.UnixListener
	handlers map[string]Handler
	log      logrus.FieldLogger
	places   chan struct{}
	left     atomic.Bool
}

// Listen opens the socket at a path, for this user only. A socket that no process answers at is replaced; one that a
// process answers at is an error.
func Listen(path string) (*net.UnixListener, error) {
	if c, err := net.DialTimeout("unix", path, time.Second); err == nil {
		c.Close()
		return nil, fmt.Errorf("control socket %s: a running process answers there", path)
	} else if errors.Is(err, syscall.ECONNREFUSED) {
		if err := os.Remove(path); err != nil {
			return nil, fmt.Errorf("control socket: %w", err)
		}
	}
	// Danger: made first and closed to others afterwards, it would be open to them in between.
	old := syscall.Umask(0o177)
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	syscall.Umask(old)
	if err != nil {
		return nil, fmt.Errorf("control socket: %w", err)
	}
	return ln, nil
}

// Taken makes a listener of the one that another process handed over. It removes the socket's file when closed.
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

// NewServer makes a server of a listener.
func NewServer(ln *net.UnixListener, handlers map[string]Handler, log logrus.FieldLogger) *Server {
	return &Server{ln: ln, handlers: handlers, log: log, places: make(chan struct{}, mostConns)}
}

// FD calls f with the listener's descriptor.
func (s *Server) FD(f func(fd int)) error { return hold.FD(s.ln, f) }

// Run serves until the listener is closed.
func (s *Server) Run() {
	for {
		s.places <- struct{}{}
		c, err := s.ln.Accept()
		if err != nil {
			<-s.places
			if errors.Is(err, net.ErrClosed) {
				return
			}
			s.log.WithError(err).Warn("control socket")
			time.Sleep(10 * time.Millisecond)
			continue
		}
		go func() {
			defer func() { c.Close(); <-s.places }()
			s.serve(c)
		}()
	}
}

// Leave says that another process answers from now on: new questions that still come here end without a word, and
// are asked again.
func (s *Server) Leave() { s.left.Store(true) }

// Close closes the socket and removes its file.
func (s *Server) Close() error { return s.ln.Close() }

func (s *Server) serve(c net.Conn) {
	c.SetReadDeadline(time.Now().Add(askWait))
	line, err := bufio.NewReader(io.LimitReader(c, mostLine)).ReadBytes('\n')
	say := func(v any) error {
		text, err := codec.Marshal(v)
		if err != nil {
			return err
		}
		c.SetWriteDeadline(time.Now().Add(writeWait))
		_, err = c.Write(append(text, '\n'))
		return err
	}
	if s.left.Load() {
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

// retry is for how long a question is asked again whose connection ended without a word: an upgrade may have come
// between.
const retry = 2 * time.Second

// Ask asks a question at a socket and passes each line of the answer to hear, until the end. An answer that is a
// Fault is an error.
func Ask(path, what string, args any, hear func(line []byte) error) error {
	q := Question{Ask: what}
	if args != nil {
		text, err := codec.Marshal(args)
		if err != nil {
			return err
		}
		q.Args = text
	}
	until := time.Now().Add(retry)
	for {
		lines, err := ask(path, q, hear)
		if err != nil || lines > 0 {
			return err
		}
		if time.Now().After(until) {
			return fmt.Errorf("%s: the connection ended without an answer", path)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func ask(path string, q Question, hear func([]byte) error) (lines int, err error) {
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
		if err := hear(in.Bytes()); err != nil {
			return lines, err
		}
	}
	return lines, nil
}
