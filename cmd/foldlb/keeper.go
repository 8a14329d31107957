package main

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// With keep_pid the first process does nothing but stay: it starts the dispatcher as its child, passes signals on to
// whichever generation serves, inherits generations whose parents have ended, and ends as the last one ends.

// envKept names the descriptor over which a kept dispatcher tells who serves.
const envKept = "FOLDLB_KEPT"

// keepWait is how long after the serving process's end the word of another one may come.
const keepWait = 500 * time.Millisecond

// signalAgain is how long before a change of process a signal is passed on to the new one too. Danger: one that the
// old process was sent in its last moment is lost with it; each that is passed on does no harm twice.
const signalAgain = 250 * time.Millisecond

func isKept() bool { return os.Getenv(envKept) != "" }

// keptFile opens the way to the first process.
func keptFile() *os.File {
	fd, err := strconv.Atoi(os.Getenv(envKept))
	if err != nil || fd < 3 {
		return nil
	}
	return os.NewFile(uintptr(fd), "keeper")
}

var toKeeper = keptFile()

// tellKeeper tells the first process who serves.
func tellKeeper(pid int) error {
	if toKeeper == nil {
		return nil
	}
	_, err := fmt.Fprintln(toKeeper, pid)
	return err
}

// keepOn passes the way to the first process on to a new one.
func keepOn(cmd *exec.Cmd) {
	if toKeeper != nil {
		cmd.ExtraFiles = []*os.File{toKeeper}
		cmd.Env = append(cmd.Env, envKept+"=3")
	}
}

// keep runs the first process until the last generation has ended, and ends as that one did.
func keep() error {
	if os.Getenv(envInherited) != "" {
		// Danger: the first process's word to its child takes the descriptor that the platform's listener has.
		return fmt.Errorf("keep_pid: does not go with %s, where the platform replaces processes itself", envInherited)
	}
	if err := unix.Prctl(unix.PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("keep_pid: %w", err)
	}
	r, w, err := os.Pipe()
	if err != nil {
		return fmt.Errorf("keep_pid: %w", err)
	}
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("keep_pid: %w", err)
	}
	cmd := exec.Command(self, os.Args[1:]...)
	cmd.Args[0] = os.Args[0]
	cmd.Stdin, cmd.Stdout, cmd.Stderr = os.Stdin, os.Stdout, os.Stderr
	cmd.ExtraFiles = []*os.File{w}
	cmd.Env = append(os.Environ(), envKept+"=3")
	signals, ended := make(chan os.Signal, 16), make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	signal.Notify(ended, syscall.SIGCHLD)
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("keep_pid: %w", err)
	}
	w.Close()
	serving := cmd.Process.Pid
	words := make(chan int)
	go func() {
		in := bufio.NewScanner(r)
		for in.Scan() {
			if pid, err := strconv.Atoi(strings.TrimSpace(in.Text())); err == nil {
				words <- pid
			}
		}
	}()
	var last syscall.Signal // that was passed on, and when
	var at time.Time
	serves := func(pid int) {
		if serving = pid; time.Since(at) < signalAgain {
			syscall.Kill(pid, last)
		}
	}
	for {
		select {
		case s := <-signals:
			last, at = s.(syscall.Signal), time.Now()
			syscall.Kill(serving, last)
		case pid := <-words:
			serves(pid)
		case <-ended:
			status, ok := reap(serving)
			if !ok {
				continue
			}
			select { // the word of the one that took over may still be on its way
			case pid := <-words:
				serves(pid)
			case <-time.After(keepWait):
				return exitOf(status)
			}
		}
	}
}

// reap takes the ends of all children that have ended, and tells that of one of them.
func reap(pid int) (of syscall.WaitStatus, found bool) {
	for {
		var status syscall.WaitStatus
		got, err := syscall.Wait4(-1, &status, syscall.WNOHANG, nil)
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		if err != nil || got <= 0 {
			return of, found
		}
		if got == pid {
			of, found = status, true
		}
	}
}

// exitOf ends as a child did.
func exitOf(s syscall.WaitStatus) error {
	switch {
	case s.Signaled():
		return fmt.Errorf("the dispatcher was ended by signal %v", s.Signal())
	case s.ExitStatus() != 0:
		return fmt.Errorf("the dispatcher ended with status %d", s.ExitStatus())
	}
	return nil
}
