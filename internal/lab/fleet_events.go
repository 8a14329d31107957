package lab

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"os/exec"
	"slices"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// least is a floor that was told, and when nobody may act below it any more.
type least struct {
	no    int64
	bound float64 // Unix seconds; the machine has one clock
}

// floor has a member tell a floor, and takes its word of when it binds everybody.
func (q *squad) floor(p *peer, version int64) error {
	cmd := exec.Command(p.tools.Foldlb, "fleet", "floor", "--config", fmt.Sprint(version), "--within", "1s", "--force", "--why", "the lab", "--json", "--operator", p.operator)
	var out strings.Builder
	cmd.Stdout = &out
	err := cmd.Run()
	var a struct {
		Told  bool    `json:"told"`
		Bound float64 `json:"bound"`
	}
	if json.Unmarshal([]byte(strings.TrimSpace(out.String())), &a) != nil {
		return nil // the one that should tell it was killed or stopped: nothing is promised
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if err == nil && a.Told && a.Bound >= 0 {
		q.floors = append(q.floors, least{version, unixOf(time.Now()) + a.Bound + stepSlack})
	} else {
		q.untold++
	}
	return nil
}

func (q *squad) named(name string) *peer {
	for _, p := range q.peers {
		if p.name == name {
			return p
		}
	}
	return nil
}

// play does to the fleet what the scenario says.
func (q *squad) play(seed uint64, stop <-chan struct{}) error {
	list := append([]Event(nil), q.s.Events...)
	if f := q.s.Faults; f != nil {
		list = append(list, f.draw(q.s, seed)...)
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].At < list[j].At })
	var wg sync.WaitGroup
	var mu sync.Mutex
	var all []error
	for _, e := range list {
		select {
		case <-stop:
			return nil
		case <-time.After(time.Until(q.begin.Add(time.Duration(e.At * float64(time.Second))))):
		}
		wg.Add(1)
		done := make(chan struct{})
		go func() {
			defer wg.Done()
			defer close(done)
			if err := q.do(e, stop); err != nil {
				mu.Lock()
				all = append(all, fmt.Errorf("%s at %v: %w", e.Kind, e.At, err))
				mu.Unlock()
			}
		}()
		if e.Kind != "upgrade" && e.Kind != "leave" && e.Kind != "pause" && e.Kind != "starve" && e.Kind != "renew" && e.Kind != "churn" {
			<-done
		}
	}
	wg.Wait()
	return errors.Join(all...)
}

func (q *squad) do(e Event, stop <-chan struct{}) error {
	p := q.named(e.Dispatcher)
	detail := e.Dispatcher
	switch e.Kind {
	case "kill", "bounce":
		if err := q.kill(p); err != nil {
			return err
		}
		if e.Kind == "kill" {
			q.happened(e.Kind, detail, bounds[e.Kind])
			return nil
		}
		return q.start(p, e.Kind)
	case "start":
		return q.start(p, e.Kind)
	case "leave":
		q.mark(p, false)
		q.happened(e.Kind, detail, bounds[e.Kind])
		err := p.stop()
		return errors.Join(err, q.links.runs(p.no, false))
	case "pause":
		q.stopped(p, true)
		q.happened(e.Kind, detail, bounds[e.Kind])
		if err := syscall.Kill(p.serving(), syscall.SIGSTOP); err != nil {
			return err
		}
		time.Sleep(time.Duration(e.For * float64(time.Second)))
		err := syscall.Kill(p.serving(), syscall.SIGCONT)
		q.stopped(p, false)
		q.happened("wake", fmt.Sprintf("%s after %v s", detail, e.For), bounds["wake"])
		return err
	case "cut":
		q.cut(e.Groups)
		q.happened(e.Kind, fmt.Sprint(e.Groups), bounds[e.Kind])
	case "apart":
		for _, pair := range e.Groups {
			for _, a := range pair {
				for _, b := range pair {
					if a != b {
						q.links.set(q.named(a).no, q.named(b).no, Link{Cut: true})
					}
				}
			}
		}
		q.happened(e.Kind, fmt.Sprint(e.Groups), bounds[e.Kind])
	case "oneway":
		for _, pair := range e.Groups {
			for _, to := range pair[1:] {
				q.links.set(q.named(pair[0]).no, q.named(to).no, Link{Cut: true})
			}
		}
		q.happened(e.Kind, fmt.Sprint(e.Groups), bounds[e.Kind])
	case "starve": // it gets a tenth of a core, in pieces
		q.happened(e.Kind, detail, bounds[e.Kind])
		q.mu.Lock()
		q.asleep = append(q.asleep, nap{p.name, unixOf(time.Now()), unixOf(time.Now()) + e.For})
		q.mu.Unlock()
		for until := time.Now().Add(time.Duration(e.For * float64(time.Second))); time.Now().Before(until); {
			all := p.processes()
			if err := each(all, syscall.SIGSTOP); err != nil {
				return err
			}
			time.Sleep(starveFor)
			if err := each(all, syscall.SIGCONT); err != nil {
				return err
			}
			time.Sleep(starveFor / 9)
		}
	case "links":
		for i := range q.peers {
			for j := range q.peers {
				q.links.set(i, j, Link{Loss: e.Loss, Delay: ms(e.DelayMS), Jitter: ms(e.JitterMS), Twice: e.Twice, Trickle: e.Trickle})
			}
		}
		q.happened(e.Kind, fmt.Sprintf("loss %v, delay %v ms", e.Loss, e.DelayMS), bounds[e.Kind])
	case "heal":
		q.links.clear()
		q.happened(e.Kind, "", bounds[e.Kind])
	case "upgrade":
		q.mu.Lock()
		p.calm = time.Now().Add(time.Hour)
		q.mu.Unlock()
		u, err := p.upgrade(e.Binary)
		q.mu.Lock()
		p.calm = time.Now().Add(bounds["upgrade"])
		u.At, u.Want = time.Since(q.begin).Seconds(), cmp.Or(e.Expect, "replaced")
		if u.Want == killed && !p.up {
			u.Result, u.Detail, err = killed, u.Result, nil
		}
		q.r.Upgrades = append(q.r.Upgrades, u)
		q.mu.Unlock()
		if u.Result != killed {
			q.happened(e.Kind, detail, bounds[e.Kind])
		}
		return err
	case "config":
		for _, x := range q.peers {
			if p == nil || x == p {
				if err := q.config(x, e.Version); err != nil {
					return err
				}
			}
		}
	case "rollback": // on its disk, and told to the process: nothing may come of it
		return q.rollBack(p, e.Version)
	case "churn":
		return q.churn(e, stop)
	case "floor":
		return q.floor(p, e.Version)
	case "anew": // discovery is restarted, and its numbers with it
		q.rosters.Lock()
		for _, x := range q.peers {
			x.roster.beginAnew()
		}
		q.rosters.Unlock()
	case "late":
		p.roster.lags(time.Duration(e.For * float64(time.Second)))
	case "renew":
		var all []*Roster
		for _, x := range q.peers {
			all = append(all, x.roster)
		}
		return q.s.renew(e, q.f.workers, all, stop)
	case "drain", "return":
		state := map[string]string{"drain": "leaving", "return": "active"}[e.Kind]
		if e.Kind == "drain" {
			q.mu.Lock()
			q.drains[e.Worker] = time.Now()
			q.mu.Unlock()
		}
		q.rosters.Lock()
		for _, x := range q.peers {
			if len(e.Groups) > 0 && !slices.Contains(e.Groups[0], x.name) {
				continue // another discovery tells it
			}
			if err := x.roster.set(e.Worker, state); err != nil {
				q.rosters.Unlock()
				return err
			}
		}
		q.contents()
		q.rosters.Unlock()
		if e.Kind == "return" {
			go q.returned(e.Worker, stop)
		}
	}
	return nil
}

// churn changes the route set so many times a second, at all rosters alike: a worker is told anew as it is.
func (q *squad) churn(e Event, stop <-chan struct{}) error {
	t := time.NewTicker(time.Duration(float64(time.Second) / e.Rate))
	defer t.Stop()
	q.mu.Lock()
	q.churns = time.Now().Add(time.Duration(e.For*float64(time.Second)) + bounds["start"])
	q.mu.Unlock()
	over := time.After(time.Duration(e.For * float64(time.Second)))
	for i := 0; ; i++ {
		select {
		case <-stop:
			return nil
		case <-over:
			return nil
		case <-t.C:
		}
		q.rosters.Lock()
		for _, p := range q.peers {
			p.roster.again(q.f.workers[i%len(q.f.workers)].ID)
		}
		q.rosters.Unlock()
	}
}

func ms(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

// cut parts the fleet: members of two groups reach each other no more.
func (q *squad) cut(groups [][]string) {
	group := map[string]int{}
	for g, names := range groups {
		for _, n := range names {
			group[n] = g + 1
		}
	}
	for i, a := range q.peers {
		for j, b := range q.peers {
			if i != j {
				q.links.set(i, j, Link{Cut: group[a.name] != group[b.name]})
			}
		}
	}
}
