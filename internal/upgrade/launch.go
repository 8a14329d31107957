package upgrade

import (
	"errors"
	"fmt"
	"net"
	"syscall"
)

// EnvPipe names the descriptors of the pipe, for a process that is to take over.
const EnvPipe = "FOLDLB_UPGRADE"

// firstFile is the descriptor that the first of a command's ExtraFiles becomes.
const firstFile = 3

// other is the new process.
type other struct {
	pid  int
	kill func()       // ends it, or its part in the hand-over; Gone follows
	wait func() error // until it has ended, once it says no more
}

// start starts the new process, or takes the one that came, and listens to it.
func (g *HandoverSender) start() error {
	g.reloads = g.Runtime.Reloads.Load()
	var err error
	if g.came != nil {
		g.pipe, g.other = g.came.pipe, g.metBy(g.came)
	} else if g.pipe, g.other, err = g.launch(); err != nil {
		return err
	}
	go g.listen(g.pipe, g.other)
	return nil
}

// launch starts the new process.
func (g *HandoverSender) launch() (*Pipe, other, error) {
	cmd, err := g.Command()
	if err != nil {
		return nil, other{}, err
	}
	pipe, theirs, err := Pair()
	if err != nil {
		return nil, other{}, err
	}
	at := firstFile + len(cmd.ExtraFiles)
	cmd.ExtraFiles = append(cmd.ExtraFiles, theirs...)
	cmd.Env = append(cmd.Env, fmt.Sprintf("%s=%d,%d", EnvPipe, at, at+1))
	err = cmd.Start()
	for _, f := range theirs {
		f.Close()
	}
	if err != nil {
		pipe.Close()
		return nil, other{}, err
	}
	return pipe, other{pid: cmd.Process.Pid, kill: func() { cmd.Process.Kill() }, wait: cmd.Wait}, nil
}

// metBy is a new process that came by itself. It is not this one's to end: where nothing comes of the hand-over it
// starts by itself. Danger: told to go it may act, and then only its end makes sure that it does not.
func (g *HandoverSender) metBy(n *Replacement) other {
	return other{pid: n.PID, wait: func() error { return nil }, kill: func() {
		if g.machine.passed {
			syscall.Kill(n.PID, syscall.SIGKILL)
			return
		}
		n.Refuse(g.machine.reason)
	}}
}

// listen passes on what the new process says, and then its end.
func (g *HandoverSender) listen(pipe *Pipe, o other) {
	for {
		m, err := pipe.Receive(0)
		if err != nil {
			if !ended(err) && !errors.Is(err, net.ErrClosed) {
				g.inputs <- MessageReceived{err}
			}
			break
		}
		g.inputs <- MessageReceived{m}
	}
	err := o.wait() // a process that says no more must end; where it does not, a limit has it killed
	how := "it ended, or gave up"
	if err != nil {
		how = err.Error()
	}
	g.inputs <- PeerExited{Cause: how}
}
