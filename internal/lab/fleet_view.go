package lab

import (
	"encoding/json"
	"path/filepath"
	"sync"
	"time"

	"foldlb.example/foldlb/internal/control"
)

// seen is what a dispatcher said of its fleet.
type seen struct {
	Digest  string       `json:"digest"`
	Acting  int          `json:"acting"`
	Members []seenMember `json:"members"`
	Counts  struct {
		Sent, SentBytes, Taken, TakenBytes, Opened uint64
	} `json:"counts"`
	Clashes []struct {
		Kind string `json:"kind"`
		No   int64  `json:"no"`
	} `json:"clashes"`
	Stopped uint64  `json:"branches_stopped"`
	Gap     float64 `json:"longest_write_s"`
	at      time.Time
}

// acts is the number of the configuration that the one who was asked acts on.
func (v seen) acts() int64 {
	for _, m := range v.Members {
		if m.Self {
			return m.Config.No
		}
	}
	return 0
}

type seenMember struct {
	Name        string `json:"name"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
	Self        bool   `json:"self"`
	Config      struct{ No int64 }
}

// watch asks all dispatchers all the time.
func (q *squad) watch(over <-chan struct{}, watched chan<- struct{}) {
	defer close(watched)
	t := time.NewTicker(pollEvery)
	defer t.Stop()
	for {
		select {
		case <-over:
			return
		case <-t.C:
		}
		q.poll()
		q.check()
	}
}

func (q *squad) poll() {
	var wg sync.WaitGroup
	for _, p := range q.peers {
		q.mu.Lock()
		ask := p.up && !p.paused
		q.mu.Unlock()
		if !ask {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			var v seen
			done := make(chan error, 1)
			go func() {
				done <- control.Ask(filepath.Join(p.dir, "control.sock"), "fleet", nil, func(line []byte) error { return json.Unmarshal(line, &v) })
			}()
			select {
			case err := <-done:
				if err == nil {
					v.at = time.Now()
					q.mu.Lock()
					p.view = v
					q.out.Views++
					q.mu.Unlock()
				}
			case <-time.After(staleAfter): // one that was stopped meanwhile
			}
		}()
	}
	wg.Wait()
}
