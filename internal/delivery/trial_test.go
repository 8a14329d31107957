package delivery

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

func TestTrialOutage(t *testing.T) {
	slow := func(c net.Conn, r *http.Request) { time.Sleep(20 * time.Millisecond); succeed(c, r) }
	var ws []*standIn
	for range 6 {
		ws = append(ws, startStandIn(t, slow))
	}
	e := startEngine(t, testConfig(), ws...)
	start := time.Now()
	var mu sync.Mutex
	buckets := map[int]map[OutcomeKind]int{}
	var again func(j *Job)
	subs := map[int]int{}
	again = func(j *Job) {
		mu.Lock()
		subs[int(time.Since(start)/(500*time.Millisecond))]++
		mu.Unlock()
		e.Submit(j, allow, func(o Outcome) {
			b := int(time.Since(start) / (500 * time.Millisecond))
			mu.Lock()
			if buckets[b] == nil {
				buckets[b] = map[OutcomeKind]int{}
			}
			buckets[b][o.Kind]++
			mu.Unlock()
			if o.Kind != Succeeded {
				time.AfterFunc(max(o.RetryAfter, 50*time.Millisecond), func() { again(j) })
			}
		})
	}
	var cpus [40]time.Duration
	for i := 0; time.Since(start) < 12*time.Second; i++ {
		for time.Since(start) < time.Duration(i)*time.Second/300 {
			time.Sleep(time.Millisecond)
		}
		cpus[int(time.Since(start)/(500*time.Millisecond))] = processorTime()
		again(newJob())
		if i == 600 {
			for _, w := range ws {
				w.close()
			}
		}
		if i == 1800 { // same addresses, same ids: a blip
			for k := range ws {
				l, err := net.Listen("tcp4", ws[k].address())
				if err != nil {
					t.Fatal(err)
				}
				ws[k] = &standIn{listener: l, behave: slow}
				go ws[k].serve()
			}
		}
	}
	for b := 0; b < 24; b++ {
		t.Log(b, buckets[b], "submits", subs[b], "cpu", cpus[b+1]-cpus[b])
	}
}
