package lab

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"foldlb.example/foldlb/internal/responsecheck"
	"foldlb.example/foldlb/internal/upgrade"
)

// Tools are the programs that a run uses.
type Tools struct {
	Foldlb  string // the dispatcher
	Foldlab string // this program, for the bad starts
}

// dispatcher is a real foldlb process, and whatever process comes after it.
type dispatcher struct {
	tools    Tools
	dir      string
	addr     string
	operator string
	extra    string // keys for its upgrade block
	blocks   string // more blocks
	cmd      *exec.Cmd
	log      *os.File
	pid      int       // of the process that serves; see serving
	platform *platform // nil without
	door     string    // of the process that serves, on a platform

	mu sync.Mutex
}

// serving tells which process serves.
func (d *dispatcher) serving() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pid
}

// freeAddr finds an address that nobody listens at.
func freeAddr() (string, error) {
	return freeAddrAt("127.0.0.1")
}

func freeAddrAt(ip string) (string, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// configuration is a dispatcher's NODE_CONFIG.
func (s *Scenario) configuration(listen, discovery string, seed uint64, known string) ([]byte, error) {
	type class struct {
		Name      string  `json:"name"`
		Effect    string  `json:"effect"`
		Aim       float64 `json:"aim_s"`
		Stretch   float64 `json:"aim_stretch"`
		Deadline  float64 `json:"deadline_s"`
		Worth     float64 `json:"worth"`
		LateWorth float64 `json:"late_worth"`
		Window    float64 `json:"dedup_window_s,omitempty"`
	}
	var classes []class
	for _, c := range s.Classes {
		k := class{c.Name, c.Effect, c.AimMS / 1000, c.Stretch, c.Deadline, c.Worth, c.LateWorth, 0}
		if c.Effect == "deduplicated" {
			k.Window = 2
		}
		classes = append(classes, k)
	}
	limits := map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}
	if l := s.Limits; l != nil {
		if l.Cores > 0 {
			limits["cores"] = l.Cores
		}
		if l.MemoryMB > 0 {
			limits["memory_mb"] = l.MemoryMB
		}
		if l.Sockets > 0 {
			limits["sockets"] = l.Sockets
		}
	}
	return json.Marshal(map[string]any{
		"name": "lab", "listen": listen, "discovery": discovery, "seed": fmt.Sprintf("%x", seed), "limits": limits,
		"known": json.RawMessage(known),
		"settings": map[string]any{"balancers": 1, "registry_mode": "on_request", "zone": "a", "zones": []string{"a"},
			"allowed": map[string]any{"cancel": true, "max_attempts": 6, "second_copies": true, "retry_after": true,
				"max_retry_after_s": 2, "idle_close_s": 5},
			"contract": map[string]any{"ask_within_s": 10, "cold_share": coldShare, "overload_factor": coldFactor,
				"tip_after_s": coldWindow.Seconds(), "warm_within_s": warmAfter.Seconds(), "drain_grace_s": 0.75},
			"family_info": map[string]any{"tells_start": true},
			"prices":      map[string]any{"waste": 0.01}, "classes": classes},
	})
}

// start starts the process and waits until it answers.
func (d *dispatcher) start() error {
	log, err := os.OpenFile(filepath.Join(d.dir, "foldlb.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	d.log = log
	if err := d.setBinary(d.tools.Foldlb); err != nil {
		return err
	}
	if d.platform != nil {
		if d.cmd, d.door, err = d.beside(d.tools.Foldlb, "serve"); err != nil {
			return err
		}
	} else {
		d.cmd = exec.Command(d.tools.Foldlb, "serve", "--operator", d.operator)
	}
	d.cmd.Env = append(os.Environ(), append(d.cmd.Env, "NODE_CONFIG="+d.config())...)
	d.cmd.Stdout, d.cmd.Stderr = log, log
	if err := d.cmd.Start(); err != nil {
		return err
	}
	d.pid = d.cmd.Process.Pid
	return d.ready(10 * time.Second)
}

func (d *dispatcher) config() string { return filepath.Join(d.dir, "config.json") }

// healthClient asks dispatchers whether they are ready.
var healthClient = responsecheck.NewClient(0)

func (d *dispatcher) ready(most time.Duration) error {
	until := time.Now().Add(most)
	for {
		resp, err := healthClient.Get("http://" + d.addr + "/healthz")
		if err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		if time.Now().After(until) {
			text, _ := os.ReadFile(d.log.Name())
			return fmt.Errorf("the dispatcher was not ready within %v; its log ends:\n%s", most, tail(string(text), 12))
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func tail(text string, lines int) string {
	all := strings.Split(strings.TrimSpace(text), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

// restart ends the dispatcher as a plain restart does, and starts it again at its address.
func (d *dispatcher) restart() (window, error) {
	w := window{from: time.Now(), good: true, restart: true}
	if err := d.stop(); err != nil {
		return w, err
	}
	if err := d.start(); err != nil {
		return w, err
	}
	w.changed = time.Now()
	w.to = w.changed
	return w, nil
}

// setBinary writes the operator file with another binary.
func (d *dispatcher) setBinary(path string) error {
	return os.WriteFile(d.operator, fmt.Appendf(nil, "control { socket = %q }\nupgrade {\n  binary = %q\n%s\n}\nlog { format = \"json\" }\n%s",
		filepath.Join(d.dir, "control.sock"), path, d.extra, d.blocks), 0o600)
}

// UpgradeResult is how one upgrade went.
type UpgradeResult struct {
	Binary string            `json:"binary"`
	Want   string            `json:"want"`
	Result string            `json:"result"`
	Detail string            `json:"detail,omitempty"`
	At     float64           `json:"at_s"`
	Took   float64           `json:"took_s"`
	HeldMS float64           `json:"held_ms"`
	Parts  upgrade.HoldTimes `json:"held_parts_ms"`
	Files  int               `json:"descriptors"`
	Bytes  int               `json:"bytes"`
	Open   int               `json:"open_requests"` // about
	PeakKB int               `json:"peak_kb"`       // of both processes together
}

// Ends of an upgrade that a scenario may expect beside replaced and fell back.
const (
	either = "either" // replaced or fell back: a process that gets hardly any of its core may take longer than an upgrade has
	killed = "killed" // all of its processes are killed in the middle, so nobody is left to say how it ended
)

// asExpected tells whether an upgrade ended as the scenario says.
func (u UpgradeResult) asExpected() bool {
	switch u.Want {
	case either:
		return u.Result == "replaced" || u.Result == "fell back"
	case killed:
		return u.Result == killed
	}
	return u.Result == u.Want
}

// upgrade asks for an upgrade and waits for its end.
func (d *dispatcher) upgrade(binary string) (UpgradeResult, error) {
	u := UpgradeResult{Binary: binary}
	path, err := script(binary, d.dir, d.tools.Foldlab, d.tools.Foldlb)
	if err != nil {
		return u, err
	}
	if err := d.setBinary(path); err != nil {
		return u, err
	}
	cmd := exec.Command(d.tools.Foldlb, "upgrade", "--operator", d.operator, "--json")
	var out strings.Builder
	cmd.Stdout = &out
	done := make(chan struct{})
	peak := make(chan int)
	go func() { peak <- d.peak(done) }()
	begin := time.Now()
	err = cmd.Run()
	u.Took = time.Since(begin).Seconds()
	close(done)
	u.PeakKB = <-peak
	var last struct {
		Result      string            `json:"result"`
		Detail      string            `json:"detail"`
		PID         int               `json:"pid"`
		Descriptors int               `json:"descriptors"`
		Bytes       int               `json:"bytes"`
		HeldMS      float64           `json:"held_ms"`
		Held        upgrade.HoldTimes `json:"held_parts"`
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if e := json.Unmarshal([]byte(lines[len(lines)-1]), &last); e != nil {
		return u, fmt.Errorf("foldlb upgrade: %v, %w, said %q", err, e, out.String())
	}
	u.Result, u.Detail, u.HeldMS, u.Parts, u.Files, u.Bytes = last.Result, last.Detail, last.HeldMS, last.Held, last.Descriptors, last.Bytes
	u.Detail = strings.ReplaceAll(u.Detail, d.dir, "DIR") // results are kept; the folder is not
	if last.PID != 0 {
		d.mu.Lock()
		d.pid = last.PID
		d.mu.Unlock()
	}
	return u, nil
}

// peak samples the resident memory of the process and its children, in KB, until done.
func (d *dispatcher) peak(done <-chan struct{}) int {
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	most := 0
	for {
		sum := resident(d.serving())
		for _, c := range children(d.serving()) {
			sum += resident(c)
		}
		most = max(most, sum)
		select {
		case <-done:
			return most
		case <-t.C:
		}
	}
}

func children(pid int) (all []int) {
	lists, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/children", pid)) // each thread has its own
	for _, list := range lists {
		text, _ := os.ReadFile(list)
		for _, f := range strings.Fields(string(text)) {
			if n, err := strconv.Atoi(f); err == nil {
				all = append(all, n)
			}
		}
	}
	return all
}

func resident(pid int) int { return memoryOf(pid, "VmRSS:") }

// memoryOf reads a figure of a process's status, in KB.
func memoryOf(pid int, field string) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, field); ok {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n
		}
	}
	return 0
}

// processorMS is the processor time that a process has used.
func processorMS(pid int) float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, rest, ok := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if !ok || len(fields) < 13 {
		return 0
	}
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) * 10 // ticks of 10 ms on every Linux that Go runs on
}

func openFiles(pid int) int {
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(list)
}

// settled waits until kept connections have ended, and tells how many descriptors are open then.
func (d *dispatcher) settled(most int) int {
	until := time.Now().Add(8 * time.Second)
	for {
		n := openFiles(d.serving())
		if n <= most || time.Now().After(until) {
			return n
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// zombies counts this process's children that have ended and were not waited for.
func zombies(pid int) (n int) {
	for _, c := range children(pid) {
		text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c))
		if _, rest, ok := strings.Cut(string(text), ") "); ok && strings.HasPrefix(rest, "Z") {
			n++
		}
	}
	return n
}

// adopt makes this process inherit dispatchers whose parents have ended, so that it can end them.
func adopt() error { return unix.Prctl(unix.PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0) }

// stop ends the dispatcher in an orderly way, and tells how.
func (d *dispatcher) stop() error {
	defer d.log.Close()
	syscall.Kill(d.pid, syscall.SIGTERM)
	if d.pid == d.cmd.Process.Pid {
		return d.cmd.Wait()
	}
	d.cmd.Wait() // the first generation, which has ended long ago
	for _, c := range children(os.Getpid()) {
		if c != d.pid { // generations between the first and the last; their parents have ended before them
			syscall.Wait4(c, nil, syscall.WNOHANG, nil)
		}
	}
	ended := make(chan error, 1)
	go func() {
		var status syscall.WaitStatus
		for {
			got, err := syscall.Wait4(d.pid, &status, 0, nil)
			if err == syscall.EINTR {
				continue
			}
			if err == nil && got == d.pid && status.ExitStatus() != 0 {
				err = fmt.Errorf("exit status %d", status.ExitStatus())
			}
			ended <- err
			return
		}
	}()
	select {
	case err := <-ended:
		return err
	case <-time.After(10 * time.Second):
		syscall.Kill(d.pid, syscall.SIGKILL)
		return fmt.Errorf("process %d did not end within 10 s of SIGTERM", d.pid)
	}
}
