package lab

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"

	"foldlb.example/foldlb/internal/ops"
	"foldlb.example/foldlb/internal/responsecheck"
)

// With a platform the lab holds the callers' listening socket and a folder, starts every process on them with a door for
// operators of its own, and does what staff do. How it is told stands in the operators' page.

const (
	readyMost  = 6 * time.Second        // for a new process to say yes
	killAfter  = 700 * time.Millisecond // after SIGTERM and the longest deadline
	awayMost   = 4 * time.Second        // for callers' connections to be closed in a drain
	frontPause = 300 * time.Millisecond // after the word to drain the front deals out no new connection
	backMost   = 2 * time.Second        // for /healthz to say yes after a drain
)

// Operation is what staff did, and how it went.
type Operation struct {
	Kind   string  `json:"kind"`
	At     float64 `json:"at_s"`
	OK     bool    `json:"ok"`
	Detail string  `json:"detail,omitempty"`
	Ready  float64 `json:"ready_s,omitempty"`      // of a new process
	HeldMS float64 `json:"held_ms,omitempty"`      // for which callers waited, as the old process says
	PeakKB int     `json:"peak_kb,omitempty"`      // resident in both processes together, the program's pages counted twice
	AnonKB int     `json:"peak_anon_kb,omitempty"` // of that, what is their own
	Files  int     `json:"peak_descriptors,omitempty"`
}

// platform is what all processes of a dispatcher share.
type platform struct {
	ln  *os.File
	tmp string
}

// onPlatform makes the dispatcher one that a platform starts.
func (d *dispatcher) onPlatform() error {
	ln, err := net.Listen("tcp", d.addr)
	if err != nil {
		return err
	}
	defer ln.Close()
	file, err := ln.(*net.TCPListener).File()
	if err != nil {
		return err
	}
	tmp, err := os.MkdirTemp(d.dir, "tmp-")
	if err != nil {
		return err
	}
	d.platform = &platform{ln: file, tmp: tmp}
	return nil
}

// beside makes the command of a process on the platform, with a door of its own.
func (d *dispatcher) beside(path string, args ...string) (cmd *exec.Cmd, door string, err error) {
	if door, err = freeAddr(); err != nil {
		return nil, "", err
	}
	cmd = exec.Command(path, args...)
	cmd.Env = append(cmd.Env, "NODE_MGMT="+door, "NODE_INHERITED_FD=3", "TMPDIR="+d.platform.tmp)
	cmd.ExtraFiles = []*os.File{d.platform.ln}
	return cmd, door, nil
}

// door calls at an operators' door, as staff do: for 1 s at the most.
func door(addr, method, path, body string) (int, []byte, error) {
	req, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	c := responsecheck.NewClient(time.Second)
	c.Transport.(*http.Transport).DisableKeepAlives = true
	resp, err := c.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, text, err
}

// yes gives an order that must be followed.
func (d *dispatcher) yes(path, body string) error {
	status, text, err := door(d.door, "POST", path, body)
	if err == nil && status/100 != 2 {
		err = fmt.Errorf("%s %q: %d %s", path, body, status, text)
	}
	return err
}

// operate does what an event says and enters how it went.
func (r *Result) operate(s *Scenario, d *dispatcher, f *fleet, e Event) {
	o := Operation{Kind: e.Kind, At: time.Since(r.begin).Seconds()}
	var err error
	switch e.Kind {
	case "replace":
		o.Kind = strings.TrimSpace("replace " + e.Binary)
		err = r.replace(s, d, e.Binary, &o)
	case "ban":
		if err = d.yes("/ops/quote-workers/down", e.Worker); err == nil {
			f.worker(e.Worker).tellDrain("", true)
		}
	case "unban":
		f.worker(e.Worker).tellDrain("", false)
		err = d.yes("/ops/quote-workers/up", e.Worker)
	case "away":
		err = d.away(f.callers)
	case "stay":
		if err = d.yes("/ops/drain/stop", ""); err == nil {
			err = d.ready(backMost)
			f.callers.away.Store(false)
			f.callers.drains.Store(false)
		}
	case "figures":
		err = d.figures(f.ledger)
	}
	if o.OK = err == nil; err != nil {
		o.Detail = err.Error()
	}
	r.Operations = append(r.Operations, o)
}

// away drains the dispatcher and looks whether callers' connections are closed in time.
func (d *dispatcher) away(c *callers) error {
	c.drains.Store(true)
	if err := d.yes("/ops/drain/start", ""); err != nil {
		return err
	}
	begin := time.Now()
	if resp, err := healthClient.Get("http://" + d.addr + "/healthz"); err != nil {
		return err
	} else if resp.Body.Close(); resp.StatusCode == http.StatusOK {
		return fmt.Errorf("/healthz says yes in a drain")
	}
	time.Sleep(frontPause)
	c.away.Store(true)
	for c.linked.Load() > 0 {
		if time.Since(begin) > awayMost {
			return fmt.Errorf("%d callers' connections are open %v after the word", c.linked.Load(), awayMost)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}

// figures compares what the door tells with the ledger. It is for a process that has served from the beginning.
func (d *dispatcher) figures(l *Ledger) error {
	before := l.ends()
	status, text, err := door(d.door, "GET", "/ops/stats", "")
	if err != nil || status != http.StatusOK {
		return fmt.Errorf("figures: %d, %w", status, err)
	}
	after := l.ends()
	var got ops.Stats
	if err := json.Unmarshal(text, &got); err != nil {
		return err
	}
	// What ends while the figures are fetched, or has been told to a caller that has not read it, may be counted or not.
	check := func(name string, x uint64, from, to int, part float64) error {
		slack := max(3, part*float64(to))
		if v := float64(x); v < float64(from)-slack || v > float64(to)+slack {
			return fmt.Errorf("%s: told %d, counted %d to %d", name, x, from, to)
		}
		return nil
	}
	for class, a := range after.byClass {
		b, g := before.byClass[class], got.Requests[class]
		left := a[Left] // may be counted or not
		for _, err := range []error{check(class+" served", g.Served, b[Answered], a[Answered]+left, 0.01),
			check(class+" refused", g.Refused, b[Refused], a[Refused]+left, 0.01), check(class+" failed", g.Failed, b[Failed], a[Failed]+left, 0.01)} {
			if err != nil {
				return err
			}
		}
	}
	if err := check("attempts", got.Attempts, before.sends, after.sends, 0.02); err != nil {
		return err
	}
	lo, hi := min(before.open, after.open), max(before.open, after.open)
	return check("in flight", uint64(got.InFlight), lo-int(math.Ceil(0.1*float64(lo)))-5, hi+5, 0.1)
}

// ends are a ledger's counts.
type ends struct {
	byClass     map[string]map[Outcome]int
	sends, open int
}

func (l *Ledger) ends() ends {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := ends{byClass: map[string]map[Outcome]int{}}
	for _, x := range l.entries {
		if e.byClass[x.class] == nil {
			e.byClass[x.class] = map[Outcome]int{}
		}
		e.byClass[x.class][x.outcome]++
		e.sends += x.sends
		if x.outcome == Open {
			e.open++
		}
	}
	return e
}

// replace starts a second process beside the running one. A bad one must change nothing.
func (r *Result) replace(s *Scenario, d *dispatcher, kind string, o *Operation) error {
	bad := kind != "" && kind != "good"
	path, args := d.tools.Foldlb, []string{"serve"}
	if bad {
		path, args = d.tools.Foldlab, []string{"bad", kind}
	}
	cmd, addr, err := d.beside(path, args...)
	if err != nil {
		return err
	}
	cmd.Env = append(os.Environ(), append(cmd.Env, "NODE_CONFIG="+d.config())...)
	cmd.Stdout, cmd.Stderr = d.log, d.log
	w := window{from: time.Now(), good: !bad}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	peak := make(chan [3]int)
	go func() { peak <- peakOf(done, d.serving(), cmd.Process.Pid) }()
	finish := func() {
		close(done)
		p := <-peak
		o.PeakKB, o.AnonKB, o.Files = p[0], p[1], p[2]
		w.to = time.Now()
		r.windows = append(r.windows, w)
	}
	if bad {
		time.Sleep(badFor)
		cmd.Process.Kill()
		cmd.Wait()
		finish()
		if status, text, err := door(d.door, "GET", "/ops/readiness", ""); err != nil || status != http.StatusOK {
			return fmt.Errorf("the running process answers %d %s, %v", status, text, err)
		}
		return nil
	}
	for {
		if status, _, err := door(addr, "GET", "/ops/readiness", ""); err == nil && status == http.StatusOK {
			break
		}
		if time.Since(w.from) > readyMost {
			cmd.Process.Kill()
			cmd.Wait()
			finish()
			return fmt.Errorf("the new process does not say yes within %v", readyMost)
		}
		time.Sleep(5 * time.Millisecond)
	}
	w.changed = time.Now()
	o.Ready = w.changed.Sub(w.from).Seconds()
	old := d.cmd
	d.mu.Lock()
	d.cmd, d.pid, d.door = cmd, cmd.Process.Pid, addr
	d.mu.Unlock()
	old.Process.Signal(syscall.SIGTERM)
	longest := 0.0
	for _, c := range s.Classes {
		longest = max(longest, c.Deadline)
	}
	kill := time.AfterFunc(time.Duration(min(longest, 3)*float64(time.Second))+killAfter, func() { old.Process.Kill() })
	err = old.Wait()
	kill.Stop()
	finish()
	o.HeldMS = d.lastHeld()
	return err
}

var heldWord = regexp.MustCompile(`held_ms=([0-9.]+)`)

// lastHeld reads from the log how long the last hand-over held everything; 0 where there was none.
func (d *dispatcher) lastHeld() float64 {
	text, err := os.ReadFile(d.log.Name())
	if err != nil {
		return 0
	}
	all := heldWord.FindAllSubmatch(text, -1)
	if len(all) == 0 {
		return 0
	}
	ms, _ := strconv.ParseFloat(string(all[len(all)-1][1]), 64)
	return ms
}

// badFor is how long a newcomer that starts badly is left alone.
const badFor = 700 * time.Millisecond

// peakOf samples the resident memory, in KB, and the descriptors of processes together, until done.
func peakOf(done <-chan struct{}, pids ...int) (most [3]int) {
	t := time.NewTicker(5 * time.Millisecond)
	defer t.Stop()
	for {
		kb, anon, files := 0, 0, 0
		for _, pid := range pids {
			kb, anon, files = kb+resident(pid), anon+memoryOf(pid, "RssAnon:"), files+openFiles(pid)
		}
		most = [3]int{max(most[0], kb), max(most[1], anon), max(most[2], files)}
		select {
		case <-done:
			return most
		case <-t.C:
		}
	}
}

func (f *fleet) worker(id string) *Worker {
	for _, w := range f.workers {
		if w.ID == id {
			return w
		}
	}
	return nil // danger: not reached, since the scenario's worker names are checked when it is read
}
