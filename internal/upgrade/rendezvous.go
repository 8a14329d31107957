package upgrade

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sys/unix"
)

// A process that was started beside a running one, by a supervisor and not by the running process, connects to a Unix
// socket in the folder that both share, and sends the other end of a pipe over it. The rest of the handover is the same.

// rendezvousName is the socket's name in the shared folder, the same in all versions.
const rendezvousName = "foldlb-meet"

// maxSocketPathBytes is the longest path of a Unix socket on Linux, without its terminating zero.
const maxSocketPathBytes = 107

// pipeReceiveTimeout bounds the receipt of a replacement's pipe. Neither process has other work to do in this phase.
const pipeReceiveTimeout = time.Second

// RendezvousPath returns the socket's path in a shared folder. It returns an error if the path is too long for a socket.
func RendezvousPath(folder string) (string, error) {
	path := filepath.Join(folder, rendezvousName)
	if len(path) > maxSocketPathBytes {
		return "", fmt.Errorf("upgrade: socket path %s has %d bytes, %d at most", path, len(path), maxSocketPathBytes)
	}
	return path, nil
}

// Replacement is a process that was started beside this one and requests to take over.
type Replacement struct {
	PID  int
	pipe *Pipe
}

// Refuse tells a replacement that there is no handover, so that it starts without one.
func (r *Replacement) Refuse(reason string) {
	r.pipe.cancel(reason)
	r.pipe.Close()
}

// RendezvousListener is the running process's side of the rendezvous socket.
type RendezvousListener struct{ ln *net.UnixListener }

// ListenRendezvous creates the rendezvous socket. It replaces an existing one: replacements must find the process that began to serve last.
func ListenRendezvous(path string) (*RendezvousListener, error) {
	ownPath := fmt.Sprintf("%s.%d", path, os.Getpid())
	if len(ownPath) > maxSocketPathBytes {
		return nil, fmt.Errorf("upgrade: socket path %s has %d bytes, %d at most", ownPath, len(ownPath), maxSocketPathBytes)
	}
	if err := os.Remove(ownPath); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("upgrade: %w", err)
	}
	oldMask := unix.Umask(0o177) // with a chmod afterwards, other users could connect in between
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: ownPath, Net: "unix"})
	unix.Umask(oldMask)
	if err != nil {
		return nil, fmt.Errorf("upgrade: %w", err)
	}
	ln.SetUnlinkOnClose(false) // by then the path may be another process's socket
	if err := os.Rename(ownPath, path); err != nil {
		ln.Close()
		os.Remove(ownPath)
		return nil, fmt.Errorf("upgrade: %w", err)
	}
	return &RendezvousListener{ln}, nil
}

// Accept waits for the next replacement and skips invalid connections. It returns net.ErrClosed once the listener is closed.
func (l *RendezvousListener) Accept() (*Replacement, error) {
	for {
		c, err := l.ln.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		} else if err != nil {
			time.Sleep(time.Millisecond) // most likely out of descriptors
			continue
		}
		replacement, err := receivePipe(c)
		c.Close()
		if err == nil {
			return replacement, nil
		}
	}
}

// Close closes the listener. Its path stays, for the next process to replace.
func (l *RendezvousListener) Close() error { return l.ln.Close() }

// receivePipe receives a replacement's pipe. It returns an error if the replacement runs as another user.
func receivePipe(c *net.UnixConn) (*Replacement, error) {
	c.SetDeadline(time.Now().Add(pipeReceiveTimeout))
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	var peer *unix.Ucred
	var credErr error
	if err := raw.Control(func(fd uintptr) { peer, credErr = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED) }); err != nil || credErr != nil {
		return nil, errors.Join(err, credErr)
	}
	if int(peer.Uid) != os.Getuid() || peer.Pid <= 0 {
		return nil, fmt.Errorf("upgrade: the replacement runs as user %d, this process as %d", peer.Uid, os.Getuid())
	}
	var payload [1]byte
	control := make([]byte, unix.CmsgSpace(4*2))
	_, n, _, _, err := c.ReadMsgUnix(payload[:], control)
	if err != nil {
		return nil, err
	}
	messages, err := unix.ParseSocketControlMessage(control[:n])
	if err != nil {
		return nil, err
	}
	var fds []int
	for i := range messages {
		if rights, err := unix.ParseUnixRights(&messages[i]); err == nil {
			fds = append(fds, rights...)
		}
	}
	if len(fds) != 2 {
		for _, fd := range fds {
			unix.Close(fd)
		}
		return nil, fmt.Errorf("upgrade: the replacement sent %d descriptors, want 2", len(fds))
	}
	pipe, err := Inherit(fds[0], fds[1])
	if err != nil {
		return nil, err
	}
	return &Replacement{PID: int(peer.Pid), pipe: pipe}, nil
}

// DialRendezvous connects to the running process and returns the replacement's end of a pipe to it. It returns an error
// if no process listens at path, or if it accepts no replacements. until is the deadline of every message on the pipe.
func DialRendezvous(ctx context.Context, path string, until time.Time) (*Pipe, error) {
	d := net.Dialer{Deadline: until}
	nc, err := d.DialContext(ctx, "unix", path)
	if err != nil {
		return nil, fmt.Errorf("upgrade: %w", err)
	}
	defer nc.Close()
	c, ok := nc.(*net.UnixConn)
	if !ok {
		return nil, fmt.Errorf("upgrade: %T at %s is not a Unix socket", nc, path)
	}
	pipe, theirs, err := Pair()
	if err != nil {
		return nil, err
	}
	fds := make([]int, len(theirs))
	for i, f := range theirs {
		defer f.Close()
		fds[i] = int(f.Fd())
	}
	err = errors.Join(c.SetDeadline(until), pipe.messages.SetDeadline(until), pipe.files.SetDeadline(until))
	if err == nil {
		_, _, err = c.WriteMsgUnix([]byte{1}, unix.UnixRights(fds...), nil)
	}
	if err != nil {
		pipe.Close()
		return nil, fmt.Errorf("upgrade: send the pipe to the running process: %w", err)
	}
	return pipe, nil
}
