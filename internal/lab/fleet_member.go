package lab

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// peer is one dispatcher of a fleet.
type peer struct {
	*dispatcher
	name    string
	no      int
	roster  *Roster
	seeds   string
	end     *end
	version int64     // of the configuration that is stated
	up      bool      // its process runs, as the script wants
	killed  bool      // it was, at some time
	paused  bool      // it is stopped
	since   time.Time // when it began to
	down    time.Time // when it last stopped running
	calm    time.Time // until then nobody may hold it for failed, since it is upgraded
	view    seen
	most    map[string]uint64 // incarnations that it held

	acted  int64     // the highest configuration that it was seen to act on
	behind time.Time // since when it acts on an older configuration than one that it reaches; zero where it does not
}

func (q *squad) peer(i int, addr string, o Options) (*peer, error) {
	name := fmt.Sprintf("n%d", i+1)
	dir := filepath.Join(o.Dir, name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	p := &peer{name: name, no: i, most: map[string]uint64{}}
	at := map[*Worker]string{}
	for _, w := range q.f.workers { // each dispatcher knows a worker by an address of its own, so that call-backs find the right one
		ln, err := w.listen(func() string { return addr })
		if err != nil {
			return nil, err
		}
		at[w] = ln
	}
	p.roster = &Roster{owner: addr, addrOf: func(w *Worker) string { return at[w] }}
	if err := p.roster.start(q.f.workers); err != nil {
		return nil, err
	}
	var seeds []string
	for j := range min(2, q.s.Dispatchers) {
		seeds = append(seeds, fmt.Sprintf("%q", q.links.ends[j].shown))
	}
	p.seeds, p.end, p.version = strings.Join(seeds, ", "), q.links.ends[i], 1
	p.dispatcher = &dispatcher{tools: o.Tools, dir: dir, addr: addr, operator: filepath.Join(dir, "operator.hcl"), extra: q.s.Operator, blocks: p.words(q.s)}
	text, err := q.s.configuration(addr, p.roster.Addr, o.Seed+uint64(i), p.roster.list(-1))
	if err != nil {
		return nil, err
	}
	var document map[string]any
	if err := json.Unmarshal(text, &document); err != nil {
		return nil, err
	}
	document["name"] = name
	document["settings"].(map[string]any)["balancers"] = q.s.Dispatchers
	if text, err = json.Marshal(document); err != nil {
		return nil, err
	}
	return p, os.WriteFile(p.config(), text, 0o600)
}

// words are the blocks of a member's operator file.
func (p *peer) words(s *Scenario) string {
	lease := ""
	if s.Lease != "" {
		lease = fmt.Sprintf("  lease = %q\n", s.Lease)
	}
	text := fmt.Sprintf("fleet {\n  name = \"lab\"\n  listen = %q\n  advertise = %q\n  seeds = [%s]\n  routes = \"lab\"\n%s}\n", p.end.real, p.end.shown, p.seeds, lease)
	if s.Audit {
		text += fmt.Sprintf("audit {\n  folder = \"record\"\n  version = %d\n}\n", p.version)
	}
	return text
}

// config states another version of the configuration, and has the process read it. A process that does not run reads it as it starts.
func (q *squad) config(p *peer, version int64) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if version < p.version {
		return nil // one that was cut off is told late, and not back
	}
	p.version = version
	if _, known := q.stated[version]; !known {
		q.stated[version] = unixOf(time.Now())
	}
	p.blocks = p.words(q.s)
	if err := p.setBinary(p.tools.Foldlb); err != nil {
		return err
	}
	if p.up && !p.paused {
		return syscall.Kill(p.pid, syscall.SIGHUP)
	}
	return nil
}

// each does something with all dispatchers at once.
func (q *squad) each(f func(*peer) error) error {
	all := make([]error, len(q.peers))
	var wg sync.WaitGroup
	for i, p := range q.peers {
		wg.Add(1)
		go func() { defer wg.Done(); all[i] = f(p) }()
	}
	wg.Wait()
	return errors.Join(all...)
}

func (q *squad) killAll() {
	for _, p := range q.peers {
		if pid := p.serving(); pid > 0 && p.up {
			syscall.Kill(pid, syscall.SIGCONT)
			syscall.Kill(pid, syscall.SIGKILL)
		}
		p.roster.ln.Close()
	}
}

// rollBack writes an older configuration's number into a member's files and has the process read them.
func (q *squad) rollBack(p *peer, version int64) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	was := p.version
	p.version = version
	p.blocks = p.words(q.s)
	err := p.setBinary(p.tools.Foldlb)
	p.version = was
	p.blocks = p.words(q.s)
	if err == nil && p.up && !p.paused {
		err = syscall.Kill(p.pid, syscall.SIGHUP)
	}
	return err
}

func (q *squad) mark(p *peer, up bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p.up = up
	if up {
		p.since = time.Now()
	} else {
		p.down = time.Now()
	}
}

func (q *squad) stopped(p *peer, paused bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p.paused = paused
	p.down = time.Now() // what was open there may be answered late
	p.view.at = time.Time{}
	if paused {
		q.asleep = append(q.asleep, nap{p.name, unixOf(time.Now()), math.Inf(1)})
		return
	}
	p.view.at = time.Now()
	for i := range q.asleep {
		if x := &q.asleep[i]; x.member == p.name && math.IsInf(x.to, 1) {
			x.to = unixOf(time.Now())
		}
	}
}

func (q *squad) kill(p *peer) error {
	q.mark(p, false)
	q.mu.Lock()
	p.killed = true
	q.mu.Unlock()
	all := p.processes()
	if err := each(all, syscall.SIGKILL); err != nil {
		return err
	}
	p.dispatcher.gone()
	for _, pid := range all[1:] { // in the middle of an upgrade the new process dies with the old one, and is ours to wait for from then on
		reap(pid)
	}
	return q.links.runs(p.no, false)
}

func (q *squad) start(p *peer, kind string) error {
	if err := q.links.runs(p.no, true); err != nil {
		return err
	}
	if err := p.start(); err != nil {
		return err
	}
	q.mark(p, true)
	q.mu.Lock()
	p.view = seen{at: time.Now()}
	q.mu.Unlock()
	q.happened(kind, p.name, bounds[kind])
	return nil
}

// processes are those of a dispatcher: the one that serves first, and one that is to take over from it.
func (d *dispatcher) processes() []int { return append([]int{d.serving()}, children(d.serving())...) }

// each sends a signal to processes. Of a child, which may have ended, it is no error.
func each(pids []int, sig syscall.Signal) error {
	for _, pid := range pids[1:] {
		syscall.Kill(pid, sig)
	}
	return syscall.Kill(pids[0], sig)
}

// gone waits for the end of a process that was killed.
func (d *dispatcher) gone() {
	defer d.log.Close()
	if d.serving() == d.cmd.Process.Pid {
		d.cmd.Wait()
		return
	}
	reap(d.serving())
	d.cmd.Wait()
}

// reap waits for the end of a process that is this one's child.
func reap(pid int) {
	var status syscall.WaitStatus
	for {
		if _, err := syscall.Wait4(pid, &status, 0, nil); err != syscall.EINTR {
			return
		}
	}
}
