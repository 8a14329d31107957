package main

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"foldlb.example/foldlb/internal/config"
	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/hold"
	"foldlb.example/foldlb/internal/upgrade"
)

// told passes on the lines of a log.
type told chan *logrus.Entry

func (t told) Levels() []logrus.Level { return logrus.AllLevels }
func (t told) Fire(e *logrus.Entry) error {
	select {
	case t <- e:
	default:
	}
	return nil
}

// TestFiguresAreLogged: the figures come by themselves, in fields that can be summed.
func TestFiguresAreLogged(t *testing.T) {
	cfg, err := config.Parse([]byte(configFile("127.0.0.1:1", "127.0.0.1:1",
		`{"id":"s","addr":"127.0.0.1:1","zone":"a","state":"active"}`)), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	clock := upgrade.NewClock()
	reducer, err := core.New(clock.Now(), cfg.Settings, cfg.KnownRoutes, cfg.Discovery)
	if err != nil {
		t.Fatal(err)
	}
	lines := make(told, 1)
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.AddHook(lines)
	n := build(cfg, reducer, hold.NewGate(), clock, log)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go n.loop.Run(ctx)
	go n.logFigures(ctx, time.Millisecond)
	limit := time.After(patience)
	for {
		select {
		case e := <-lines:
			if e.Message != "figures" {
				continue
			}
			for name, want := range map[string]any{"requests": uint64(0), "list_version": int64(1), "quote_workers": 1, "open": 0} {
				if e.Data[name] != want {
					t.Errorf("%s is %v", name, e.Data[name])
				}
			}
			return
		case <-limit:
			t.Fatal("no figures")
		}
	}
}
