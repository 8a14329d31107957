package control

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
)

func startServer(t *testing.T) (*Server, string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "c.sock")
	ln, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := NewServer(ln, map[string]Handler{
		"count": func(args json.RawMessage, say func(any) error) error {
			var n int
			if err := json.Unmarshal(args, &n); err != nil {
				return err
			}
			for i := range n {
				if err := say(map[string]int{"i": i}); err != nil {
					return err
				}
			}
			return nil
		},
		"fail": func(json.RawMessage, func(any) error) error { return errors.New("it can't be done") },
	}, log)
	go s.Run()
	t.Cleanup(func() { s.Close() })
	return s, path
}

func TestAsk(t *testing.T) {
	_, path := startServer(t)
	lines := 0
	if err := Ask(path, "count", 3, func([]byte) error { lines++; return nil }); err != nil || lines != 3 {
		t.Errorf("%d lines, %v", lines, err)
	}
	for what, want := range map[string]string{"fail": "it can't be done", "nothing": "is not known here"} {
		if err := Ask(path, what, nil, nil); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", what, err)
		}
	}
	if err := Ask(path+"x", "count", 1, nil); err == nil || !strings.Contains(err.Error(), "no dispatcher answers") {
		t.Errorf("no socket: %v", err)
	}
}

// TestSocketIsForItsOwnerOnly checks that other users may not open the socket.
func TestSocketIsForItsOwnerOnly(t *testing.T) {
	_, path := startServer(t)
	info, err := os.Stat(path)
	if err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("%v, %v", info.Mode(), err)
	}
}

// TestSocketInUse: a socket that a process listens on is an error; one left behind by a process that ended is replaced.
func TestSocketInUse(t *testing.T) {
	_, path := startServer(t)
	if _, err := Listen(path); err == nil || !strings.Contains(err.Error(), "a running process answers") {
		t.Errorf("a second listener: %v", err)
	}
	abandoned := filepath.Join(t.TempDir(), "left.sock")
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: abandoned, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	ln.SetUnlinkOnClose(false)
	ln.Close()
	again, err := Listen(abandoned)
	if err != nil {
		t.Fatal(err)
	}
	again.Close()
}

// TestMalformedQuestions: a malformed question gets an error, and the server continues to serve.
func TestMalformedQuestions(t *testing.T) {
	_, path := startServer(t)
	for text, want := range map[string]string{
		"nonsense\n":    "not a question",
		"{\"ask\":7}\n": "not a question",
		"\n":            "not a question",
		strings.Repeat("x", maxQuestionBytes+10) + "\n": "no question came",
		"{\"ask\":\"count\",\"args\":\"many\"}\n":       "cannot unmarshal",
	} {
		c, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		go io.WriteString(c, text)
		got, _ := io.ReadAll(c)
		c.Close()
		if !strings.Contains(string(got), want) {
			t.Errorf("%.30q: answer %q, want %q", text, got, want)
		}
	}
	if err := Ask(path, "count", 1, func([]byte) error { return nil }); err != nil {
		t.Error(err)
	}
}

// TestServerThatHasLeftDoesNotAnswer: after Leave, questions are closed without an answer, so that Ask repeats them.
func TestServerThatHasLeftDoesNotAnswer(t *testing.T) {
	s, path := startServer(t)
	s.Leave()
	if err := Ask(path, "count", 1, nil); err == nil || !strings.Contains(err.Error(), "without an answer") {
		t.Errorf("after Leave: %v", err)
	}
}
