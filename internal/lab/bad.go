package lab

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"foldlb.example/foldlb/internal/snapshot"
	"foldlb.example/foldlb/internal/upgrade"
)

// BadStarts are the kinds of new process that an upgrade must survive.
var BadStarts = map[string]bool{
	"missing": true, "not-a-program": true, "exits": true, "dies-soon": true, "hangs": true, "silent-after-hello": true,
	"other-protocol": true, "other-schema": true, "garbage": true, "dies-on-parcel": true, "killed-in-transfer": true,
	"stalls-on-parcel": true, "dies-before-acting": true, "no-configuration": true, "acts-unasked": true,
}

// script writes a program that starts badly, into a folder, and returns its path.
func script(kind, dir, foldlab, foldlb string) (string, error) {
	path := filepath.Join(dir, "bad-"+kind)
	text := fmt.Sprintf("#!/bin/sh\nexec %q bad %s\n", foldlab, kind)
	switch kind {
	case "good", "":
		return foldlb, nil
	case "missing":
		return path, nil
	case "not-a-program":
		text = "this is no program\n"
	case "exits":
		text = "#!/bin/sh\nexit 7\n"
	case "no-configuration":
		text = fmt.Sprintf("#!/bin/sh\nNODE_CONFIG=%q exec %q \"$@\"\n", filepath.Join(dir, "there-is-none.json"), foldlb)
	}
	return path, os.WriteFile(path, []byte(text), 0o700)
}

// StartBadly plays a new process that goes wrong, on the pipe that the environment names.
func StartBadly(kind string) error {
	if kind == "hangs" {
		time.Sleep(time.Hour) // until it is killed
	}
	p, err := upgrade.FromEnv(os.Getenv)
	if os.Getenv("NODE_INHERITED_FD") != "" { // beside a running process
		var path string
		if path, err = upgrade.RendezvousPath(os.Getenv("TMPDIR")); err == nil {
			p, err = upgrade.DialRendezvous(context.Background(), path, time.Now().Add(time.Minute))
		}
	}
	if err != nil || p == nil {
		return fmt.Errorf("no pipe: %w", err)
	}
	hello := upgrade.Hello{Protocol: upgrade.Protocol, Schema: snapshot.Schema, Version: "bad", PID: os.Getpid()}
	switch kind {
	case "other-protocol":
		hello.Protocol++
	case "other-schema":
		hello.Schema++
	case "garbage":
		p.WriteRaw([]byte("HTTP/1.1 200 OK\r\n\r\nnot a word of it"))
		time.Sleep(time.Hour)
	case "acts-unasked":
		p.Send(hello)
		p.Send(upgrade.Acting{})
		time.Sleep(time.Hour)
	}
	if err := p.Send(hello); err != nil {
		return err
	}
	for {
		m, err := p.Receive(snapshot.MaxBytes)
		if err != nil {
			return err
		}
		switch m := m.(type) {
		case upgrade.Trial:
			if kind == "silent-after-hello" {
				time.Sleep(time.Hour)
			}
			p.Send(upgrade.TrialTaken{})
			if kind == "dies-soon" {
				time.Sleep(250 * time.Millisecond)
				os.Exit(9)
			}
		case upgrade.Ahead:
			if m.Files == 0 {
				p.Send(upgrade.AheadTaken{})
			} else if _, err := p.ReceiveFiles(m.Files); err != nil {
				return err
			}
		case upgrade.Parcel:
			switch kind {
			case "dies-on-parcel":
				os.Exit(9)
			case "killed-in-transfer":
				p.ReceiveFiles(min(1, m.Files))
				syscall.Kill(os.Getpid(), syscall.SIGKILL)
			case "stalls-on-parcel":
				time.Sleep(time.Hour)
			}
			if _, err := p.ReceiveFiles(m.Files); err != nil {
				return err
			}
			p.Send(upgrade.Ready{})
		case upgrade.Go:
			os.Exit(9) // dies-before-acting
		}
	}
}
