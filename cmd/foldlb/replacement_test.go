package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// The tests of a replacement by a process that is started beside the running one: the test is the platform, which holds
// the callers' listening socket and starts every process on the same folder.

// platform starts processes on one listening socket.
type platform struct {
	*process
	ln  *os.File
	tmp string
	env []string // more, for each process
}

// started is one process, with a door of its own.
type started struct {
	t     *testing.T
	cmd   *exec.Cmd
	door  string
	ended chan error
}

func newPlatform(t *testing.T, plays ...play) *platform {
	t.Helper()
	p := &platform{process: stage(t, plays...), tmp: t.TempDir()}
	ln, err := net.Listen("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if p.ln, err = ln.(*net.TCPListener).File(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.ln.Close(); close(p.lists) })
	return p
}

// run starts a process. It is held back with everything taken up where held is set.
func (p *platform) run(held bool) *started {
	p.t.Helper()
	s := &started{t: p.t, door: unusedAddress(p.t), ended: make(chan error, 1)}
	self, err := os.Executable()
	if err != nil {
		p.t.Fatal(err)
	}
	s.cmd = exec.Command(self, "serve", "--log-level", "error")
	s.cmd.Env = append(os.Environ(), envAsMain+"=1", "NODE_CONFIG="+filepath.Join(p.dir, "config.json"),
		"NODE_MGMT="+s.door, envInherited+"=3", "TMPDIR="+p.tmp)
	s.cmd.Env = append(s.cmd.Env, p.env...)
	if held {
		s.cmd.Env = append(s.cmd.Env, envHold+"="+p.dir)
	}
	s.cmd.Stderr = os.Stderr
	s.cmd.ExtraFiles = []*os.File{p.ln}
	if err := s.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	go func() { s.ended <- s.cmd.Wait() }()
	p.t.Cleanup(func() { s.cmd.Process.Kill() })
	return s
}

// asks calls at the door; 0 stands for no answer.
func (s *started) asks(method, path, body string) (int, string) {
	req, resp := fasthttp.AcquireRequest(), &fasthttp.Response{}
	req.SetRequestURI("http://" + s.door + path)
	req.Header.SetMethod(method)
	req.SetBodyString(body)
	if fasthttp.DoTimeout(req, resp, patience) != nil {
		return 0, ""
	}
	return resp.StatusCode(), string(resp.Body())
}

func (s *started) posts(path, body string) {
	s.t.Helper()
	if status, text := s.asks("POST", path, body); status != 200 {
		s.t.Fatalf("%s %q: %d %q", path, body, status, text)
	}
}

// ready waits until the process says yes.
func (s *started) ready() *started {
	s.t.Helper()
	for until := time.Now().Add(patience); ; {
		if status, _ := s.asks("GET", "/ops/readiness", ""); status == 200 {
			return s
		}
		if time.Now().After(until) {
			s.t.Fatal("the process does not say that it is ready")
		}
	}
}

// goes waits until the process has ended by itself.
func (s *started) goes() {
	s.t.Helper()
	select {
	case err := <-s.ended:
		if err != nil {
			s.t.Fatalf("the process ended with %v", err)
		}
	case <-time.After(patience):
		s.t.Fatal("the process does not end")
	}
}

// withJob starts the first process, with a job that runs at the first worker.
func (p *platform) withJob() (*started, *line) {
	p.t.Helper()
	first := p.run(false).ready()
	c := p.dial()
	c.say(job("r1", "once", 5))
	p.takes(p.workers[0], "r1")
	return first, c
}

// ends has the job done, which its caller must hear.
func (p *platform) ends(c *line) {
	p.t.Helper()
	p.callBack(`{"id":"r1","from":"a","state":"done","result":"policy 1"}`)
	c.hears(200, "policy 1")
}

// waitHeld waits until a newcomer has taken everything up and waits for the test's word.
func (p *platform) waitHeld() {
	p.t.Helper()
	held := make(chan struct{})
	go func() {
		os.ReadFile(filepath.Join(p.dir, "held"))
		close(held)
	}()
	select {
	case <-held:
	case <-time.After(patience):
		p.t.Fatal("nothing is handed over")
	}
}

// TestReplacementTakesOver: a job that waits, a connection that is kept, a used id, a ban and a drain pass on; the counts begin
// anew, and SIGTERM to the process that has handed over ends nothing else.
func TestReplacementTakesOver(t *testing.T) {
	p := newPlatform(t, take, take)
	first := p.run(false).ready()
	first.posts("/ops/quote-workers/down", "b")
	c, kept := p.dial(), p.dial()
	for i := range 4 {
		id := fmt.Sprint("k", i)
		kept.say(job(id, "once", 5))
		p.takes(p.workers[0], id)
		p.callBack(fmt.Sprintf(`{"id":%q,"from":"a","state":"done","result":"kept"}`, id))
		kept.hears(200, "kept")
	}
	c.say(job("r1", "once", 5))
	p.takes(p.workers[0], "r1")
	second := p.run(true)
	p.waitHeld()
	first.cmd.Process.Signal(syscall.SIGTERM)
	back := p.dial()
	back.say(report("r1", "a", "done", "policy 1"))
	kept.say(job("k0", "once", 5)) // its id is used
	p.release()
	second.ready()
	c.hears(200, "policy 1")
	back.hears(200, "")
	kept.hears(400, "in use")
	first.goes()
	p.nothingAt(p.workers[1])
	if status, text := second.asks("GET", "/ops/stats", ""); status != 200 || !strings.Contains(text, `"attempts":0,`) ||
		!strings.Contains(text, `"quote_workers_excluded":1`) || !strings.Contains(text, `"served":1,`) {
		t.Errorf("figures %d %s", status, text)
	}
	second.posts("/ops/drain/start", "")
	third := p.run(false).ready()
	second.goes()
	if resp, err := p.get("/healthz"); err != nil || resp.StatusCode() == 200 {
		t.Errorf("a drain ended with its process: %v", err)
	}
	third.posts("/ops/drain/stop", "")
	third.posts("/ops/quote-workers/up", "b")
	if resp, err := p.get("/healthz"); err != nil || resp.StatusCode() != 200 {
		t.Errorf("not healthy after the drain: %v", err)
	}
}

// TestOrdersCross: a reload changes neither bans nor a drain, and SIGTERM in a drain ends the process when the job that it
// has is answered; ids that nobody has are owed a no.
func TestOrdersCross(t *testing.T) {
	p := newPlatform(t, take, take)
	first := p.run(false).ready()
	if status, text := first.asks("POST", "/ops/quote-workers/down", "z"); status != 404 {
		t.Errorf("an unknown id is answered %d %s", status, text)
	}
	first.posts("/ops/drain/stop", "") // none is under way
	first.posts("/ops/quote-workers/down", "b")
	first.posts("/ops/quote-workers/down", "b")
	first.posts("/ops/drain/start", "")
	first.posts("/ops/drain/start", "")
	asked := make(chan struct{}, 8)
	p.moveDiscovery(listen(t, func(c *fasthttp.RequestCtx) {
		asked <- struct{}{}
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}))
	first.cmd.Process.Signal(syscall.SIGHUP)
	<-asked // it has been obeyed
	if resp, err := p.get("/healthz"); err != nil || resp.StatusCode() == 200 {
		t.Errorf("a reload ended the drain: %v", err)
	}
	c := p.dial()
	for i := range 4 { // both workers would get some
		id := fmt.Sprint("k", i)
		c.say(job(id, "once", 5))
		p.takes(p.workers[0], id)
		p.callBack(fmt.Sprintf(`{"id":%q,"from":"a","state":"done","result":"kept"}`, id))
		c.hears(200, "kept")
		c = p.dial()
	}
	c.say(job("r1", "once", 5))
	p.takes(p.workers[0], "r1")
	first.cmd.Process.Signal(syscall.SIGTERM)
	p.ends(c)
	first.goes()
	p.nothingAt(p.workers[1])
}

// TestReplacementStaleFolder: whatever stands where processes meet, a process starts, and the next one takes over from it.
func TestReplacementStaleFolder(t *testing.T) {
	for name, put := range map[string]func(path string) error{
		"file": func(path string) error { return os.WriteFile(path, []byte("x"), 0o600) },
		"dead socket": func(path string) error {
			ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
			if err == nil {
				ln.SetUnlinkOnClose(false)
				ln.Close()
			}
			return err
		},
		"somebody who says nothing": func(path string) error {
			ln, err := net.Listen("unix", path)
			if err == nil {
				t.Cleanup(func() { ln.Close() })
			}
			return err
		},
		"link to nowhere": func(path string) error { return os.Symlink("nowhere", path) },
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlatform(t, done)
			if err := put(filepath.Join(p.tmp, "foldlb-meet")); err != nil {
				t.Fatal(err)
			}
			first := p.run(false).ready()
			p.run(false).ready()
			first.goes()
			c := p.dial()
			c.say(job("r1", "once", 5))
			c.hears(200, "quote of a")
		})
	}
}

// reportTries is how often a worker makes a report that is not acknowledged, by the platform's protocol.
const reportTries = 10

// TestReplacementFolderIsTaken: where nobody can be met, a second process serves beside the first. Each job's report finds the
// process that has it within the tries of a worker: the other one does not acknowledge it.
func TestReplacementFolderIsTaken(t *testing.T) {
	p := newPlatform(t, take)
	if err := os.MkdirAll(filepath.Join(p.tmp, "foldlb-meet", "x"), 0o700); err != nil {
		t.Fatal(err)
	}
	first := p.run(false).ready()
	jobs := map[string]*line{}
	ask := func(id string) {
		c := p.dial()
		c.say(job(id, "once", 5))
		p.takes(p.workers[0], id)
		jobs[id] = c
	}
	ask("r1")
	p.run(false).ready()
	for i := range 6 { // either process may take them
		ask(fmt.Sprint("s", i))
	}
	first.cmd.Process.Signal(syscall.SIGTERM)
	for id, c := range jobs {
		for tries := 1; ; tries++ {
			body := fmt.Sprintf(`{"id":%q,"from":"a","state":"done","result":%q}`, id, "policy "+id)
			resp, err := p.post("/callback", body)
			if err == nil && resp.StatusCode() == 200 {
				break
			} else if err == nil {
				t.Fatalf("the report on %s is answered %v", id, resp.StatusCode())
			} else if tries == reportTries {
				t.Fatalf("the report on %s is not acknowledged after %d tries: %v", id, tries, err)
			}
		}
		c.hears(200, "policy "+id)
	}
	first.goes()
}

// TestReplacementSheds: where both processes could not have all connections open at once, kept ones are closed first; one with
// a job passes on.
func TestReplacementSheds(t *testing.T) {
	p := newPlatform(t, take)
	first := p.run(false).ready()
	var kept []*line
	for i := range 120 { // of 256 descriptors, 64 are set aside, and two processes can have 96 connections each
		c := p.dial()
		id := fmt.Sprint("k", i)
		c.say(job(id, "once", 5))
		p.takes(p.workers[0], id)
		p.callBack(fmt.Sprintf(`{"id":%q,"from":"a","state":"done","result":"kept"}`, id))
		c.hears(200, "kept")
		kept = append(kept, c)
	}
	busy := p.dial()
	busy.say(job("r1", "once", 5))
	p.takes(p.workers[0], "r1")
	p.run(false).ready()
	first.goes()
	p.callBack(`{"id":"r1","from":"a","state":"done","result":"policy 1"}`)
	busy.hears(200, "policy 1")
	open := 0
	for _, c := range kept {
		c.SetReadDeadline(time.Now().Add(time.Millisecond))
		var late net.Error
		if _, err := c.r.ReadByte(); errors.As(err, &late) && late.Timeout() {
			open++
		}
	}
	if open > 96 || open < 80 {
		t.Errorf("%d of %d kept connections are open", open, len(kept))
	}
}

// TestReplacementHungProcess: a running process that does not answer is given up, and the newcomer starts by itself.
func TestReplacementHungProcess(t *testing.T) {
	p := newPlatform(t, done)
	first := p.run(false).ready()
	first.cmd.Process.Signal(syscall.SIGSTOP)
	second := p.run(false).ready()
	first.cmd.Process.Kill()
	c := p.dial()
	c.say(job("r1", "once", 5))
	c.hears(200, "quote of a")
	if status, _ := second.asks("GET", "/ops/stats", ""); status != 200 {
		t.Error(status)
	}
}

// TestReplacementKilledGiver: the running process is killed when everything has been handed over: the newcomer has it all.
func TestReplacementKilledGiver(t *testing.T) {
	p := newPlatform(t, take)
	first, c := p.withJob()
	second := p.run(true)
	p.waitHeld()
	first.cmd.Process.Kill()
	<-first.ended
	p.release()
	second.ready()
	p.ends(c)
}

// TestReplacementNewcomerDies: a newcomer that ends before it acts costs nothing, and the next one takes over.
func TestReplacementNewcomerDies(t *testing.T) {
	p := newPlatform(t, take)
	first, c := p.withJob()
	second := p.run(true)
	p.waitHeld()
	second.cmd.Process.Kill()
	<-second.ended
	if status, _ := first.asks("GET", "/ops/readiness", ""); status != 200 {
		t.Errorf("the running process answers %d", status)
	}
	third := p.run(false).ready()
	first.goes()
	p.ends(c)
	third.posts("/ops/drain/stop", "")
}

// TestReplacementSlowNewcomer: one that takes too long to take everything up is told that nothing is its own. It starts by
// itself, and the running process answers what it has.
func TestReplacementSlowNewcomer(t *testing.T) {
	p := newPlatform(t, take)
	first, c := p.withJob()
	second := p.run(true)
	p.waitHeld()
	time.Sleep(2 * (meetOffer + meetCommit)) // what is being tested is that it takes too long
	p.release()
	// The hand-over is tried again; this time nobody holds it up.
	p.waitHeld()
	p.release()
	second.ready()
	first.goes()
	p.ends(c)
}

// TestReplacementTwoNewcomers: one of two that come at once takes over from the running process, the other one from it.
func TestReplacementTwoNewcomers(t *testing.T) {
	p := newPlatform(t, take)
	first, c := p.withJob()
	two := []*started{p.run(false), p.run(false)}
	first.goes()
	select {
	case err := <-two[0].ended:
		if err != nil {
			t.Fatal(err)
		}
		two[1].ready()
	case err := <-two[1].ended:
		if err != nil {
			t.Fatal(err)
		}
		two[0].ready()
	case <-time.After(patience):
		t.Fatal("both serve")
	}
	p.ends(c)
}

// TestReplacementReloadDuringTheHold: SIGHUP to the running process is obeyed by whoever serves then.
func TestReplacementReloadDuringTheHold(t *testing.T) { takeOverWithMovedDiscovery(t, true) }

// TestReplacementReadsTheConfigurationWhenItTakesOver guards against a SIGHUP that reached the old process too late to be obeyed or passed on
// (incident 0018): here no process gets one.
func TestReplacementReadsTheConfigurationWhenItTakesOver(t *testing.T) {
	takeOverWithMovedDiscovery(t, false)
}

// takeOverWithMovedDiscovery names another discovery during the hold, and checks that the new process asks it. hangup sends the old process SIGHUP.
func takeOverWithMovedDiscovery(t *testing.T, hangup bool) {
	p := newPlatform(t, done)
	asked := make(chan struct{}, 8)
	moved := listen(t, func(c *fasthttp.RequestCtx) {
		asked <- struct{}{}
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
	})
	first := p.run(false).ready()
	second := p.run(true)
	p.waitHeld()
	p.moveDiscovery(moved)
	if hangup {
		first.cmd.Process.Signal(syscall.SIGHUP)
	}
	p.release()
	second.ready()
	first.goes()
	select {
	case <-asked:
	case <-time.After(patience):
		t.Error("the new process does not ask the new discovery")
	}
}

// moveDiscovery names another discovery in the configuration.
func (p *process) moveDiscovery(addr string) {
	p.t.Helper()
	path := filepath.Join(p.dir, "config.json")
	text, err := os.ReadFile(path)
	if err != nil {
		p.t.Fatal(err)
	}
	var cfg map[string]any
	if err := json.Unmarshal(text, &cfg); err != nil {
		p.t.Fatal(err)
	}
	cfg["discovery"] = addr
	if text, err = json.Marshal(cfg); err != nil {
		p.t.Fatal(err)
	}
	p.write("config.json", string(text))
}

// TestInheritedNames: what NODE_INHERITED_FD may not say.
func TestInheritedNames(t *testing.T) {
	for _, text := range []string{"x", "2", "-1", "999999"} {
		if ln, err := inherited(func(string) string { return text }); err == nil || ln != nil || !strings.Contains(err.Error(), envInherited) {
			t.Errorf("%q: %v, %v", text, ln, err)
		}
	}
	if ln, err := inherited(func(string) string { return "" }); ln != nil || err != nil {
		t.Errorf("%v, %v", ln, err)
	}
}

// TestKeepPIDOnThePlatform: the two ways to replace a process exclude each other, and the start says so.
func TestKeepPIDOnThePlatform(t *testing.T) {
	t.Setenv(envInherited, "3")
	if err := keep(); err == nil || !strings.Contains(err.Error(), envInherited) {
		t.Errorf("started with both: %v", err)
	}
}
