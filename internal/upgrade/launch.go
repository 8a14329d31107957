package upgrade

import (
	"errors"
	"fmt"
	"net"
	"syscall"
)

// EnvPipe is the environment variable that holds the pipe's two descriptors, for a process that is to take over.
const EnvPipe = "FOLDLB_UPGRADE"

// firstExtraFD is the descriptor in the child of the first of a command's ExtraFiles.
const firstExtraFD = 3

// peer is the new process.
type peer struct {
	pid  int
	kill func()       // kills it, or cancels its handover; PeerExited follows
	wait func() error // waits until it has exited; called once it sends no more messages
}

// start launches the new process, or uses the external replacement, and begins to receive its messages.
func (s *HandoverSender) start() error {
	s.reloadsAtStart = s.Runtime.Reloads.Load()
	var err error
	if s.replacement != nil {
		s.pipe, s.peer = s.replacement.pipe, s.peerOf(s.replacement)
	} else if s.pipe, s.peer, err = s.launch(); err != nil {
		return err
	}
	go s.listen(s.pipe, s.peer)
	return nil
}

// launch starts the new process with its end of a pipe.
func (s *HandoverSender) launch() (*Pipe, peer, error) {
	cmd, err := s.Command()
	if err != nil {
		return nil, peer{}, err
	}
	pipe, theirs, err := Pair()
	if err != nil {
		return nil, peer{}, err
	}
	at := firstExtraFD + len(cmd.ExtraFiles)
	cmd.ExtraFiles = append(cmd.ExtraFiles, theirs...)
	cmd.Env = append(cmd.Env, fmt.Sprintf("%s=%d,%d", EnvPipe, at, at+1))
	err = cmd.Start()
	for _, f := range theirs {
		f.Close()
	}
	if err != nil {
		pipe.Close()
		return nil, peer{}, err
	}
	return pipe, peer{pid: cmd.Process.Pid, kill: func() { cmd.Process.Kill() }, wait: cmd.Wait}, nil
}

// peerOf returns an external replacement as the peer. This process does not own it: if the handover fails, the
// replacement starts without it. But once Go was sent it may act, and only killing it makes sure that it does not.
func (s *HandoverSender) peerOf(replacement *Replacement) peer {
	return peer{pid: replacement.PID, wait: func() error { return nil }, kill: func() {
		if s.machine.commitSent {
			syscall.Kill(replacement.PID, syscall.SIGKILL)
			return
		}
		replacement.Refuse(s.machine.reason)
	}}
}

// listen feeds the new process's messages to the machine, and then its exit.
func (s *HandoverSender) listen(pipe *Pipe, process peer) {
	for {
		m, err := pipe.Receive(0)
		if err != nil {
			if !pipeClosed(err) && !errors.Is(err, net.ErrClosed) {
				s.inputs <- MessageReceived{err}
			}
			break
		}
		s.inputs <- MessageReceived{m}
	}
	err := process.wait() // a process that closed its pipe must exit; if it does not, a phase's time limit has it killed
	cause := "it exited, or closed its pipe"
	if err != nil {
		cause = err.Error()
	}
	s.inputs <- PeerExited{Cause: cause}
}
