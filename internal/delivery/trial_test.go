package delivery

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"foldlb.example/foldlb/internal/rpc"
)

func TestTrialOverload(t *testing.T) {
	var full, done atomic.Int64
	mk := func() *standIn {
		slots := make(chan struct{}, 6)
		var held atomic.Int64
		return startStandIn(t, func(c net.Conn, r *http.Request) {
			if held.Add(1) > 9 {
				held.Add(-1)
				full.Add(1)
				say(c, r, 503, "X-Not-Executed: 1")
				return
			}
			slots <- struct{}{}
			time.Sleep(30 * time.Millisecond)
			<-slots
			held.Add(-1)
			succeed(c, r)
		})
	}
	var ws []*standIn
	for range 6 {
		ws = append(ws, mk())
	}
	for _, rate := range []int{800, 1100, 1600} {
		e := startEngine(t, testConfig(), ws...)
		full.Store(0)
		var conns int64
		for _, w := range ws { conns -= w.connections.Load() }
		var notrun, unknown, submitted atomic.Int64
		done.Store(0)
		var lat atomic.Int64
		start := time.Now()
		cpu := processorTime()
		var again func(j *Job, at time.Time)
		again = func(j *Job, at time.Time) {
			submitted.Add(1)
			e.Submit(j, allow, func(o Outcome) {
				switch o.Kind {
				case Succeeded:
					done.Add(1)
					lat.Add(int64(time.Since(at)))
				case NotRun:
					notrun.Add(1)
					time.AfterFunc(o.RetryAfter, func() { again(j, at) })
				default:
					unknown.Add(1)
				}
			})
		}
		for i := 0; time.Since(start) < 3*time.Second; i++ {
			for time.Since(start) < time.Duration(i)*time.Second/time.Duration(rate) {
				time.Sleep(time.Millisecond)
			}
			go again(newJob(), time.Now())
		}
		n := done.Load()
		for _, w := range ws { conns += w.connections.Load() }
		t.Logf("rate %d: done %d in %v, 503s %d, submitted %d, notrun %d, unknown %d, conns %d, mean latency %v, cpu %v per done", rate, n, time.Since(start), full.Load(), submitted.Load(), notrun.Load(), unknown.Load(), conns, time.Duration(lat.Load()/max(n, 1)), (processorTime()-cpu)/time.Duration(n))
		e.Close()
	}
	_ = rpc.Worker{}
}
