package main

import (
	"context"
	"fmt"
	"net"
	"runtime/debug"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"foldlb.example/foldlb/internal/config"
	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/hold"
	"foldlb.example/foldlb/internal/snapshot"
	"foldlb.example/foldlb/internal/upgrade"
)

// BenchmarkHandOver hands a dispatcher with so many open requests over to another one in the same process, and tells
// how long each part takes for which everything stands still. Run it with -cpu 1.
func BenchmarkHandOver(b *testing.B) {
	for _, open := range []int{100, 1000, 3000} {
		b.Run(fmt.Sprint(open), func(b *testing.B) { benchHandOver(b, open) })
	}
}

func benchHandOver(b *testing.B, open int) {
	jobs, err := net.Listen("tcp", "127.0.0.1:0") // takes what comes, and says nothing before the end
	if err != nil {
		b.Fatal(err)
	}
	defer jobs.Close()
	answered := make(chan struct{}, 10*open)
	go func() {
		for {
			c, err := jobs.Accept()
			if err != nil {
				return
			}
			go func() {
				buf := make([]byte, 4096)
				for {
					if _, err := c.Read(buf); err != nil {
						return
					}
					c.Write([]byte("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"))
					answered <- struct{}{}
				}
			}()
		}
	}()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	text := configFile(ln.Addr().String(), "127.0.0.1:1",
		fmt.Sprintf(`{"id":"a","addr":%q,"zone":"a","kind":"k","weight":1,"state":"active"}`, jobs.Addr()))
	cfg, err := config.Parse([]byte(text), func(string) string { return "" })
	if err != nil {
		b.Fatal(err)
	}
	cfg.Limits.Sockets = 4*open + 400
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].Deadline = 3600
	}
	clock := upgrade.NewClock()
	reducer, err := core.New(clock.Now(), cfg.Settings, cfg.KnownRoutes, cfg.Discovery)
	if err != nil {
		b.Fatal(err)
	}
	n := build(cfg, reducer, hold.NewGate(), clock, quiet())
	ctx, stop := context.WithCancel(context.Background())
	go n.serve(ctx, ln.(*net.TCPListener), nil, false)
	for i := range open {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		defer c.Close()
		c.Write([]byte(job(fmt.Sprint("r", i), "safe", 3600)))
	}
	for taken := 0; taken < open; taken++ {
		<-answered
	}
	conns := n.gate.Conns()
	ahead := map[*hold.Conn]int{}
	for i, c := range conns {
		ahead[c] = i
	}
	var rest, pack, take time.Duration
	rounds, size := 0, 0
	for b.Loop() {
		debug.SetGCPercent(-1) // as upgrades do before they hold
		begin := time.Now()
		if err := n.body.Hold(10 * time.Second); err != nil {
			b.Fatal(err)
		}
		held := time.Now()
		files := hold.Files{SentAhead: ahead}
		parcel, err := n.body.Pack(&files)
		if err != nil {
			b.Fatal(err)
		}
		whole, err := snapshot.Marshal(parcel)
		if err != nil {
			b.Fatal(err)
		}
		packed := time.Now()
		b.StopTimer() // descriptors pass ahead, and the twin stands ready
		st, err := n.body.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		size = len(st)
		twin, err := snapshot.Decode(st)
		if err != nil {
			b.Fatal(err)
		}
		r2, err := core.Import(cfg.Settings, twin)
		if err != nil {
			b.Fatal(err)
		}
		gate := hold.NewGate()
		if err := gate.Hold(time.Second, nil); err != nil {
			b.Fatal(err)
		}
		received := gate.Receive()
		if err := received.ReceiveAhead(twins(b, conns)); err != nil {
			b.Fatal(err)
		}
		next := build(cfg, r2, gate, clock, quiet())
		b.StartTimer()
		begun := time.Now()
		var p upgrade.Parcel
		if err := snapshot.Unmarshal(whole, &p); err != nil {
			b.Fatal(err)
		}
		t := upgrade.Taken{Parcel: p, Files: received}
		if err := t.Import(next.body.Parts); err != nil {
			b.Fatal(err)
		}
		taken := time.Now()
		b.StopTimer()
		rest, pack, take, rounds = rest+held.Sub(begin), pack+packed.Sub(held), take+taken.Sub(begun), rounds+1
		for _, c := range next.gate.Conns() {
			c.Close()
		}
		n.body.Release()
		debug.SetGCPercent(100)
		b.StartTimer()
	}
	for name, d := range map[string]time.Duration{"rest": rest, "pack": pack, "take": take} {
		b.ReportMetric(float64(d.Microseconds())/1000/float64(rounds), name+"-ms")
	}
	b.ReportMetric(float64(size)/float64(open), "bytes/open")
	b.StopTimer()
	stop()
}

// twins makes a second descriptor of each connection.
func twins(b *testing.B, conns []*hold.Conn) (fds []int) {
	for _, c := range conns {
		err := c.FD(func(fd int) {
			twin, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 0)
			if err != nil {
				b.Fatal(err)
			}
			fds = append(fds, twin)
		})
		if err != nil {
			b.Fatal(err)
		}
	}
	return fds
}
