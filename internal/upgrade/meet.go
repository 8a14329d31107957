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

// A process that was started beside a running one, by somebody else than that one, finds it at a Unix socket in the
// folder that both share, and passes it the other end of a pipe. From there on the hand-over is as ever.

// meetName is the socket's name in the shared folder.
const meetName = "foldlb-meet"

// mostPath is the longest path that a Unix socket may have.
const mostPath = 107

// meetWait bounds the greeting of two processes that are both at work on nothing else.
const meetWait = time.Second

// RendezvousPath is where processes that share a folder meet. A folder whose path is too long for a socket is an error.
func RendezvousPath(folder string) (string, error) {
	path := filepath.Join(folder, meetName)
	if len(path) > mostPath {
		return "", fmt.Errorf("upgrade: %s has %d bytes, a socket's path %d at most", path, len(path), mostPath)
	}
	return path, nil
}

// Newcomer is a process that was started beside this one and wants to take over.
type Replacement struct {
	PID  int
	pipe *Pipe
}

// Refuse tells a newcomer that nothing comes of it, so that it starts by itself.
func (n *Replacement) Refuse(reason string) {
	n.pipe.cancel(reason)
	n.pipe.Close()
}

// Meeting is the running process's side of the meeting place.
type RendezvousListener struct{ ln *net.UnixListener }

// Listen makes the meeting place, in place of whatever stands there: the last process to serve is the one to be met.
func ListenRendezvous(path string) (*RendezvousListener, error) {
	own := fmt.Sprintf("%s.%d", path, os.Getpid())
	if len(own) > mostPath {
		return nil, fmt.Errorf("upgrade: %s has %d bytes, a socket's path %d at most", own, len(own), mostPath)
	}
	if err := os.Remove(own); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("upgrade: %w", err)
	}
	old := unix.Umask(0o177) // danger: closed to others only afterwards, it would be open to them in between
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: own, Net: "unix"})
	unix.Umask(old)
	if err != nil {
		return nil, fmt.Errorf("upgrade: %w", err)
	}
	ln.SetUnlinkOnClose(false) // danger: by then another process may be met there
	if err := os.Rename(own, path); err != nil {
		ln.Close()
		os.Remove(own)
		return nil, fmt.Errorf("upgrade: %w", err)
	}
	return &RendezvousListener{ln}, nil
}

// Next waits for the next newcomer. What comes and is none is passed over; net.ErrClosed says that the place is closed.
func (m *RendezvousListener) Accept() (*Replacement, error) {
	for {
		c, err := m.ln.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		} else if err != nil {
			time.Sleep(time.Millisecond) // out of descriptors, most likely
			continue
		}
		n, err := greet(c)
		c.Close()
		if err == nil {
			return n, nil
		}
	}
}

// Close closes the meeting place. Its name is left for whoever comes next.
func (m *RendezvousListener) Close() error { return m.ln.Close() }

// greet takes a newcomer's end of the pipe, if it is of this process's own user.
func greet(c *net.UnixConn) (*Replacement, error) {
	c.SetDeadline(time.Now().Add(meetWait))
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
		return nil, fmt.Errorf("upgrade: a newcomer of user %d, this one is of %d", peer.Uid, os.Getuid())
	}
	var word [1]byte
	room := make([]byte, unix.CmsgSpace(4*2))
	_, n, _, _, err := c.ReadMsgUnix(word[:], room)
	if err != nil {
		return nil, err
	}
	messages, err := unix.ParseSocketControlMessage(room[:n])
	if err != nil {
		return nil, err
	}
	var fds []int
	for i := range messages {
		if some, err := unix.ParseUnixRights(&messages[i]); err == nil {
			fds = append(fds, some...)
		}
	}
	if len(fds) != 2 {
		for _, fd := range fds {
			unix.Close(fd)
		}
		return nil, fmt.Errorf("upgrade: a newcomer with %d descriptors", len(fds))
	}
	pipe, err := Inherit(fds[0], fds[1])
	if err != nil {
		return nil, err
	}
	return &Replacement{PID: int(peer.Pid), pipe: pipe}, nil
}

// Meet finds the running process and returns the newcomer's end of a pipe to it. An error says that there is none, or
// that it does not take newcomers. All that is said on the pipe must be said before until.
func DialRendezvous(ctx context.Context, path string, until time.Time) (*Pipe, error) {
	d := net.Dialer{Deadline: until}
	nc, err := d.DialContext(ctx, "unix", path)
	if err != nil {
		return nil, fmt.Errorf("upgrade: %w", err)
	}
	defer nc.Close()
	c, ok := nc.(*net.UnixConn)
	if !ok {
		return nil, fmt.Errorf("upgrade: %T at %s", nc, path)
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
	err = errors.Join(c.SetDeadline(until), pipe.words.SetDeadline(until), pipe.files.SetDeadline(until))
	if err == nil {
		_, _, err = c.WriteMsgUnix([]byte{1}, unix.UnixRights(fds...), nil)
	}
	if err != nil {
		pipe.Close()
		return nil, fmt.Errorf("upgrade: greet the running process: %w", err)
	}
	return pipe, nil
}
