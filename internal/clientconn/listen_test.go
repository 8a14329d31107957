package clientconn

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"foldlb.example/foldlb/internal/loopback"
)

// TestListen checks that an address in use is retried until the limit, and that other errors are returned at once.
func TestListen(t *testing.T) {
	held, err := loopback.Listen()
	if err != nil {
		t.Fatal(err)
	}
	addr := held.Addr().String()
	log, hook := test.NewNullLogger()
	if _, err := Listen(context.Background(), addr, 3*listenRetryInterval, log); !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("address in use: error %v, want EADDRINUSE", err)
	}
	if len(hook.Entries) != 1 {
		t.Errorf("%d log lines, want one for the whole wait", len(hook.Entries))
	}
	hook.Reset()
	log.AddHook(closeOnLog{held}) // the line is logged when the wait begins
	ln, err := Listen(context.Background(), addr, testTimeout, log)
	if err != nil {
		t.Fatalf("address that became free: %v", err)
	}
	ln.Close()
	begin := time.Now()
	if _, err := Listen(context.Background(), "192.0.2.1:1", testTimeout, log); err == nil || errors.Is(err, syscall.EADDRINUSE) || time.Since(begin) > testTimeout/2 {
		t.Errorf("address of another machine: error %v, or returned too late", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	stop()
	if ln, err = net.Listen("tcp", addr); err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if _, err := Listen(ctx, addr, time.Hour, logrus.New()); err == nil {
		t.Error("a cancelled context does not end the wait")
	}
}

// closeOnLog closes a listener at the first log entry.
type closeOnLog struct{ net.Listener }

func (f closeOnLog) Levels() []logrus.Level     { return logrus.AllLevels }
func (f closeOnLog) Fire(_ *logrus.Entry) error { f.Close(); return nil }
