package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// again starts the process once more in its folder, after it has ended, and waits until it answers or ends.
func (p *process) again() (up bool) {
	p.t.Helper()
	self, err := os.Executable()
	if err != nil {
		p.t.Fatal(err)
	}
	next := exec.Command(self, p.first.Args[1:]...)
	next.Env, next.Stderr = p.first.Env, os.Stderr
	if err := next.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.first, p.ended = next, make(chan error, 1)
	go func() { p.ended <- next.Wait() }()
	until := time.Now().Add(patience)
	for time.Now().Before(until) {
		select {
		case <-p.ended:
			return false
		default:
		}
		if resp, err := p.get("/healthz"); err == nil && resp.StatusCode() == 200 {
			p.pid = next.Process.Pid
			p.t.Cleanup(func() { syscall.Kill(next.Process.Pid, syscall.SIGKILL) })
			return true
		}
	}
	p.t.Fatal("neither up nor ended")
	return false
}

func auditBlock(version int) string {
	return fmt.Sprintf("audit {\n folder = \"record\"\n version = %d\n}\n", version)
}

// TestRecordOfAProcess through an upgrade, a kill -9 and a start: what was done is there, the chain holds, and no configuration goes back.
func TestRecordOfAProcess(t *testing.T) {
	p := launchWith(t, "n1", auditBlock(7), false, done)
	folder := filepath.Join(p.dir, "record")
	for i := range 3 {
		if code, body := p.call(fmt.Sprintf("%016x", i+1), "safe", "2"); code != 200 {
			t.Fatalf("%d %s", code, body)
		}
	}
	out, code := p.asks("audit", "request", "0000000000000002")
	if code != 0 || !strings.Contains(out, "sent") || !strings.Contains(out, "answered") || strings.Count(out, "n1") != 2 {
		t.Errorf("request: %d, %s", code, out)
	}
	if out, code := p.asks("audit", "request", "00000000000000ff"); code != exitUnknown {
		t.Errorf("an unknown request: %d, %s", code, out)
	}
	p.replaced(nil)
	until := time.Now().Add(patience)
	for { // the successor writes once its predecessor has let go
		names, _ := filepath.Glob(filepath.Join(folder, "*.audit"))
		if len(names) == 2 {
			break
		}
		if time.Now().After(until) {
			t.Fatalf("the successor does not go on with the record: %v", names)
		}
	}
	if code, body := p.call("0000000000000009", "safe", "2"); code != 200 {
		t.Fatalf("%d %s", code, body)
	}
	syscall.Kill(p.status().PID, syscall.SIGKILL)
	for {
		if _, err := p.get("/healthz"); err != nil {
			break
		}
	}
	os.Remove(p.socket)
	p.write("operator.hcl", "control { socket = \"c.sock\" }\n"+auditBlock(6))
	if p.again() {
		t.Fatal("a configuration that is older than one that was acted on is started")
	}
	p.write("operator.hcl", "control { socket = \"c.sock\" }\n"+auditBlock(8))
	if !p.again() {
		t.Fatal("does not start on a newer configuration")
	}
	if code, body := p.call("000000000000000a", "safe", "2"); code != 200 {
		t.Fatalf("%d %s", code, body)
	}
	syscall.Kill(p.pid, syscall.SIGTERM)
	if err := <-p.ended; err != nil {
		t.Fatal(err)
	}
	out, code = p.runs("audit", "verify", folder)
	if code != 0 || !strings.Contains(out, "1 members") {
		t.Errorf("verify: %d, %s", code, out)
	}
	if out, _ := p.runs("audit", "version", "--kind", "configuration", "8", folder); strings.Count(out, "n1") != 1 {
		t.Errorf("version 8: %s", out)
	}
	names, err := filepath.Glob(filepath.Join(folder, "*.audit"))
	if err != nil || len(names) < 3 {
		t.Fatalf("files %v", names)
	}
	text, err := os.ReadFile(names[0])
	if err != nil {
		t.Fatal(err)
	}
	text[len(text)/2] ^= 1
	os.WriteFile(names[0], text, 0o600)
	if out, code := p.runs("audit", "verify", folder); code != exitBroken || !strings.Contains(out, "BROKEN n1") {
		t.Errorf("an altered record: %d, %s", code, out)
	}
}

// TestRecordIsNoReasonNotToServe: another member's folder and one that is a file.
func TestRecordIsNoReasonNotToServe(t *testing.T) {
	p := launchWith(t, "n1", auditBlock(1), false, done)
	syscall.Kill(p.pid, syscall.SIGTERM)
	if err := <-p.ended; err != nil {
		t.Fatal(err)
	}
	for i, v := range p.first.Env {
		if v == "NODE_NAME=n1" {
			p.first.Env[i] = "NODE_NAME=n2"
		}
	}
	if !p.again() {
		t.Error("does not serve, since the folder is another member's")
	}
	if code, body := p.call("0000000000000009", "safe", "2"); code != 200 {
		t.Fatalf("%d %s", code, body)
	}
	if out, code := p.runs("audit", "verify", filepath.Join(p.dir, "record")); code != 0 {
		t.Errorf("the other member's record was touched: %d, %s", code, out)
	}
}
