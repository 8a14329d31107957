package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"foldlb.example/foldlb/internal/config"
	"foldlb.example/foldlb/internal/control"
	"foldlb.example/foldlb/internal/operator"
	"foldlb.example/foldlb/internal/upgrade"
)

// status is what `foldlb status` is told.
type status struct {
	Name       string           `json:"name"`
	PID        int              `json:"pid"`
	Generation int              `json:"generation"`
	Version    string           `json:"version"`
	Binary     string           `json:"binary"`
	Since      time.Time        `json:"since"`   // of this process
	Started    time.Time        `json:"started"` // of the first generation
	Listen     string           `json:"listen"`
	PutOff     int              `json:"orders_put_off"` // until the end of an upgrade that is under way
	Upgrade    upgrade.Progress `json:"last_upgrade"`   // that this process has tried
}

// operate opens the control socket and makes upgrades possible, where the operator file says so. It returns what is
// to be done at the end.
func (s setup) operate(n *node, taken *upgrade.Taken) (end func(), err error) {
	if s.operator.Control.Socket == "" {
		if n.member != nil || n.auditor != nil {
			n.configure = func(cfg config.Config, err error) bool { return s.configure(n, cfg, err) }
		}
		return func() {}, nil
	}
	var ln *net.UnixListener
	if taken != nil && taken.Parcel.Control >= 0 {
		ln, err = control.Taken(taken.Parcel.Control, taken.Files)
	} else {
		ln, err = control.Listen(s.operator.Control.Socket)
	}
	if err != nil {
		return nil, err
	}
	binary, since := executable(), time.Now()
	n.giver = upgrade.NewHandoverSender(n.body, limits(s.operator.Upgrade), s.operator.Upgrade.RequireSameDecisions, s.successor(binary), nil, n.log)
	handlers := map[string]control.Handler{
		"status": func(_ json.RawMessage, say func(any) error) error {
			return say(status{Name: n.cfg.Name, PID: os.Getpid(), Generation: n.body.Generation, Version: version, Binary: binary,
				Since: since, Started: n.body.Started, Listen: n.cfg.Listen, PutOff: n.giver.DeferredOrders(), Upgrade: n.giver.LastResult()})
		},
		"upgrade": func(_ json.RawMessage, say func(any) error) error {
			cfg, err := config.Reload(os.Getenv)
			s.configure(n, cfg, err) // what the files say now counts, as the binary does
			n.giver.Upgrade(func(p upgrade.Progress) { say(p) })
			return nil
		},
	}
	maps.Copy(handlers, n.member.handlers())
	maps.Copy(handlers, n.auditor.handlers())
	server := control.NewServer(ln, handlers, n.log)
	n.giver.Leave = func(pid int) {
		n.leaveDoor()
		server.Leave()
		s.announce(pid)
	}
	n.body.Control = server
	n.configure = func(cfg config.Config, err error) bool { return s.configure(n, cfg, err) }
	n.begins = func() { go server.Run() }
	if taken == nil {
		s.announce(os.Getpid())
	}
	return func() {
		server.Close()
		if path := s.operator.Upgrade.PIDFile; path != "" {
			os.Remove(path)
		}
	}, nil
}

// configure reads the operator file again. What it says of upgrades counts from the next one on. Its number of a configuration counts with
// that configuration: where there was an error with it, neither does. It tells whether the configuration's settings are in force.
func (s setup) configure(n *node, cfg config.Config, faulty error) (settings bool) {
	next, err := operator.Load(s.options.operator)
	if err != nil {
		n.log.WithError(err).Error("operator file refused, the old one stays")
		return false
	}
	if next.Control != s.operator.Control || next.Log != s.operator.Log || next.Upgrade.KeepPID != s.operator.Upgrade.KeepPID {
		n.log.WithField("file", s.options.operator).Warn("changed blocks that only a restart or an upgrade applies: control, log, keep_pid")
	}
	if faulty == nil {
		if settings, err = n.auditor.configure(next.Audit, cfg); err != nil {
			n.log.WithError(err).Error("operator file refused, the old one stays")
			return false
		}
	}
	if (next.Fleet == nil) != (n.member == nil) {
		n.log.WithField("file", s.options.operator).Warn("a fleet block that is new or gone, which only a restart or an upgrade applies")
	}
	n.member.configure(n.cfg.Name, next.Fleet)
	if n.giver != nil {
		n.giver.Configure(limits(next.Upgrade), next.Upgrade.RequireSameDecisions)
	}
	return settings
}

func limits(u operator.Upgrade) upgrade.Limits {
	return upgrade.Limits{Start: u.StartTimeout, Probation: u.Probation, Hold: u.HoldTimeout, Offer: u.TransferTimeout, Commit: u.CommitTimeout}
}

// executable is the path of this program's file, as of its start: a file put in its place is the new program.
func executable() string {
	path, err := os.Executable()
	if err != nil {
		path = os.Args[0]
	}
	return strings.TrimSuffix(path, " (deleted)")
}

// successor makes the command that starts the new process: the binary that the operator file names now, with this
// process's own arguments and environment.
func (s setup) successor(own string) func() (*exec.Cmd, error) {
	return func() (*exec.Cmd, error) {
		now, err := operator.Load(s.options.operator)
		if err != nil {
			return nil, err
		}
		path := now.Upgrade.Binary
		if path == "" {
			path = own
		}
		cmd := exec.Command(path, os.Args[1:]...)
		cmd.Args[0] = filepath.Base(path)
		cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
		cmd.Env = slices.DeleteFunc(os.Environ(), func(v string) bool {
			return strings.HasPrefix(v, upgrade.EnvPipe+"=") || strings.HasPrefix(v, envKept+"=")
		})
		keepOn(cmd)
		return cmd, nil
	}
}

// announce tells whoever supervises which process is the dispatcher now.
func (s setup) announce(pid int) {
	if path := s.operator.Upgrade.PIDFile; path != "" {
		if err := writeWhole(path, fmt.Sprintln(pid)); err != nil {
			s.log.WithError(err).Warn("PID file")
		}
	}
	if err := notify(fmt.Sprintf("MAINPID=%d\nREADY=1", pid)); err != nil {
		s.log.WithError(err).Warn("supervisor not notified")
	}
	if err := tellKeeper(pid); err != nil {
		s.log.WithError(err).Warn("first process not told")
	}
}

// writeWhole replaces a file in one step, so that nobody reads half of it.
func writeWhole(path, text string) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".foldlb-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	if _, err = f.WriteString(text); err == nil {
		err = f.Chmod(0o644)
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err != nil {
		return err
	}
	return os.Rename(f.Name(), path)
}

// notify tells a supervisor that takes such words (sd_notify's protocol) at the socket that NOTIFY_SOCKET names.
func notify(state string) error {
	path := os.Getenv("NOTIFY_SOCKET")
	if path == "" {
		return nil
	}
	if path[0] == '@' {
		path = "\x00" + path[1:]
	}
	c, err := net.Dial("unixgram", path)
	if err != nil {
		return err
	}
	defer c.Close()
	_, err = c.Write([]byte(state))
	return err
}
