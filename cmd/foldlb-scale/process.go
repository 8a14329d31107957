package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	ticksPerSecond = 100 // of /proc/PID/stat, fixed by Linux's interface
	kilobyte       = 1 << 10
	megabyte       = 1 << 20
	endWithin      = 10 * time.Second // from SIGTERM to SIGKILL
)

// process is one that this run started.
type process struct {
	name    string
	role    string
	members int // hollow dispatchers in it; 1 for a real process
	command *exec.Cmd
	ended   chan struct{}
}

// startProcess starts a program whose output goes to a file in a folder.
func startProcess(folder, name, role string, environment []string, program string, arguments ...string) (*process, error) {
	output, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return nil, errors.Wrap(err, "create the log of a process")
	}
	defer output.Close()
	command := exec.Command(program, arguments...)
	command.Env = append(os.Environ(), environment...)
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s: build the programs and check --binaries", name)
	}
	started := &process{name: name, role: role, members: 1, command: command, ended: make(chan struct{})}
	go func() {
		_ = command.Wait() // how it ended is in its log
		close(started.ended)
	}()
	return started, nil
}

func (p *process) pid() int { return p.command.Process.Pid }

// alive reports whether the process has not ended.
func (p *process) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// kill ends the process at once.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.ended
}

// reading is what the kernel has counted of a process so far.
type reading struct {
	at                    moment
	cpuMs                 float64
	residentBytes         int64
	readBytes, writeBytes int64 // through read and write calls, which is how Go programs use sockets
	readCalls, writeCalls int64
}

// read reads the counters of a process.
func (p *process) read() (reading, error) {
	taken := reading{at: now()}
	folder := fmt.Sprintf("/proc/%d/", p.pid())
	stat, err := os.ReadFile(folder + "stat")
	if err != nil {
		return taken, errors.Wrapf(err, "%s has ended: see its log", p.name)
	}
	if err := taken.parseStat(string(stat)); err != nil {
		return taken, err
	}
	io, err := os.ReadFile(folder + "io")
	if err != nil {
		return taken, errors.Wrapf(err, "%s has ended: see its log", p.name)
	}
	taken.parseIO(string(io))
	return taken, nil
}

// parseStat takes the processor time and the resident memory from the line of /proc/PID/stat.
func (r *reading) parseStat(line string) error {
	end := strings.LastIndex(line, ") ") // of the name, which may hold anything
	fields := strings.Fields(line[end+1:])
	if end < 0 || len(fields) < 22 {
		return errors.Errorf("/proc/PID/stat has an unknown form: %q", line)
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	r.cpuMs = float64(user+system) * 1000 / ticksPerSecond
	r.residentBytes = pages * int64(os.Getpagesize())
	return nil
}

// parseIO takes the counts of /proc/PID/io.
func (r *reading) parseIO(text string) {
	fields := map[string]*int64{"rchar": &r.readBytes, "wchar": &r.writeBytes, "syscr": &r.readCalls, "syscw": &r.writeCalls}
	for line := range strings.Lines(text) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		if field := fields[name]; field != nil {
			*field, _ = strconv.ParseInt(value, 10, 64)
		}
	}
}

// snapshot holds the counters of several processes.
type snapshot map[*process]reading

// takeSnapshot reads the counters of the processes that are alive.
func takeSnapshot(processes []*process) snapshot {
	taken := snapshot{}
	for _, each := range processes {
		if counters, err := each.read(); err == nil && each.alive() {
			taken[each] = counters
		}
	}
	return taken
}

// usageSince sums what was used since an earlier snapshot, by role, and gives the mean for each member.
func (s snapshot) usageSince(earlier snapshot, changes int) map[string]usage {
	byRole := map[string]usage{}
	for each, after := range s {
		before, known := earlier[each]
		if !known {
			continue
		}
		sum := byRole[each.role]
		window := after.at.since(before.at).Seconds()
		sum.Count += each.members
		sum.WindowS = window
		sum.CPUMsTotal += after.cpuMs - before.cpuMs
		sum.MemoryMb += float64(after.residentBytes) / megabyte
		sum.ReadBytesS += float64(after.readBytes-before.readBytes) / window
		sum.WriteBytesS += float64(after.writeBytes-before.writeBytes) / window
		sum.ReadCallsS += float64(after.readCalls-before.readCalls) / window
		sum.WriteCallsS += float64(after.writeCalls-before.writeCalls) / window
		sum.ChangesInWin = changes
		byRole[each.role] = sum
	}
	for role, sum := range byRole {
		byRole[role] = sum.mean()
	}
	return byRole
}

// mean divides sums over the members of a role.
func (u usage) mean() usage {
	count := float64(u.Count)
	u.CorePercent = round(u.CPUMsTotal / 10 / u.WindowS / count)
	u.MemoryMb = round(u.MemoryMb / count)
	u.ReadBytesS = round(u.ReadBytesS / count)
	u.WriteBytesS = round(u.WriteBytesS / count)
	u.ReadCallsS = round(u.ReadCallsS / count)
	u.WriteCallsS = round(u.WriteCallsS / count)
	u.WindowS = round(u.WindowS)
	return u
}

// round keeps three decimals, which is more than the clock's ticks give.
func round(value float64) float64 {
	rounded, _ := strconv.ParseFloat(strconv.FormatFloat(value, 'f', 3, 64), 64)
	return rounded
}
