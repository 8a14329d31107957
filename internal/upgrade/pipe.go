package upgrade

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"foldlb.example/foldlb/internal/snapshot"
)

const (
	filesAtOnce = 200 // descriptors in a packet; the kernel takes 253
	mostWord    = 1 << 20
	cancelWait  = 100 * time.Millisecond
)

// Pipe carries messages, and beside them descriptors, between the two processes. It consists of two pairs of Unix
// sockets: a stream for the messages, and one of packets, each with some descriptors.
type Pipe struct {
	words *net.UnixConn
	files *net.UnixConn

	mu sync.Mutex // of writing
}

// Pair makes a pipe and the other end's two files, to be passed to a child and then closed.
func Pair() (*Pipe, []*os.File, error) {
	words, theirs, err := pair(unix.SOCK_STREAM)
	if err != nil {
		return nil, nil, err
	}
	files, theirFiles, err := pair(unix.SOCK_SEQPACKET)
	if err != nil {
		words.Close()
		theirs.Close()
		return nil, nil, err
	}
	return &Pipe{words: words, files: files}, []*os.File{theirs, theirFiles}, nil
}

func pair(kind int) (*net.UnixConn, *os.File, error) {
	fds, err := unix.Socketpair(unix.AF_UNIX, kind|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, nil, fmt.Errorf("upgrade: socket pair: %w", err)
	}
	ours, err := unixConn(fds[0])
	if err != nil {
		unix.Close(fds[1])
		return nil, nil, err
	}
	return ours, os.NewFile(uintptr(fds[1]), "upgrade"), nil
}

func unixConn(fd int) (*net.UnixConn, error) {
	f := os.NewFile(uintptr(fd), "upgrade")
	defer f.Close()
	c, err := net.FileConn(f)
	if err != nil {
		return nil, fmt.Errorf("upgrade: %w", err)
	}
	u, ok := c.(*net.UnixConn)
	if !ok {
		c.Close()
		return nil, fmt.Errorf("upgrade: descriptor %d is no Unix socket", fd)
	}
	return u, nil
}

// Inherit opens the end of a pipe that was passed as two descriptors.
func Inherit(words, files int) (*Pipe, error) {
	unix.CloseOnExec(words)
	unix.CloseOnExec(files)
	w, err := unixConn(words)
	if err != nil {
		return nil, err
	}
	f, err := unixConn(files)
	if err != nil {
		w.Close()
		return nil, err
	}
	return &Pipe{words: w, files: f}, nil
}

// Send writes a message.
func (p *Pipe) Send(m any) error {
	kind, text, err := encode(m)
	if err != nil {
		return err
	}
	if len(text) > snapshot.MaxBytes {
		return fmt.Errorf("%w: a message of %d bytes", snapshot.ErrTooLarge, len(text))
	}
	head := binary.BigEndian.AppendUint32([]byte{kind}, uint32(len(text)))
	p.mu.Lock()
	defer p.mu.Unlock()
	buffers := net.Buffers{head, text}
	if _, err := buffers.WriteTo(p.words); err != nil {
		return fmt.Errorf("upgrade: %w", err)
	}
	return nil
}

// Receive reads the next message. most bounds its length in bytes; 0 stands for that of a short word. io.EOF says
// that the other process has ended, or closed its end, after a whole message.
func (p *Pipe) Receive(most int) (any, error) {
	if most == 0 {
		most = mostWord
	}
	var head [5]byte
	if _, err := io.ReadFull(p.words, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[1:])
	if int64(n) > int64(most) {
		return nil, fmt.Errorf("%w: a message of %d bytes, %d at most", snapshot.ErrTooLarge, n, most)
	}
	text := make([]byte, n)
	if _, err := io.ReadFull(p.words, text); err != nil {
		return nil, fmt.Errorf("upgrade: message cut short: %w", err)
	}
	return decode(head[0], text)
}

// SendFiles passes descriptors on, in order. Danger: the kernel counts descriptors on their way, and refuses too
// many at once; so each packet waits until the last one has been taken.
func (p *Pipe) SendFiles(fds []int) error {
	var word [1]byte
	for len(fds) > 0 {
		some := fds[:min(len(fds), filesAtOnce)]
		fds = fds[len(some):]
		if _, _, err := p.files.WriteMsgUnix([]byte{byte(len(some))}, unix.UnixRights(some...), nil); err != nil {
			return fmt.Errorf("upgrade: pass descriptors on: %w", err)
		}
		if _, err := p.files.Read(word[:]); err != nil {
			return fmt.Errorf("upgrade: descriptors were not taken: %w", err)
		}
	}
	return nil
}

// ReceiveFiles takes n descriptors. On an error none is left open.
func (p *Pipe) ReceiveFiles(n int) (fds []int, err error) {
	defer func() {
		if err != nil {
			for _, fd := range fds {
				unix.Close(fd)
			}
			fds = nil
		}
	}()
	var word [1]byte
	room := make([]byte, unix.CmsgSpace(4*filesAtOnce))
	for len(fds) < n {
		_, got, flags, _, err := p.files.ReadMsgUnix(word[:], room)
		if err != nil {
			return fds, fmt.Errorf("upgrade: take descriptors: %w", err)
		}
		messages, err := unix.ParseSocketControlMessage(room[:got])
		if err != nil {
			return fds, fmt.Errorf("upgrade: take descriptors: %w", err)
		}
		some := 0
		for i := range messages {
			rights, err := unix.ParseUnixRights(&messages[i])
			if err != nil {
				return fds, fmt.Errorf("upgrade: take descriptors: %w", err)
			}
			for _, fd := range rights {
				unix.CloseOnExec(fd)
			}
			fds = append(fds, rights...)
			some += len(rights)
		}
		if flags&unix.MSG_CTRUNC != 0 || some != int(word[0]) || some == 0 {
			return fds, fmt.Errorf("upgrade: only %d of %d descriptors could be taken (limit of open files?)", some, word[0])
		}
		if _, err := p.files.Write(word[:]); err != nil {
			return fds, fmt.Errorf("upgrade: take descriptors: %w", err)
		}
	}
	return fds, nil
}

// cancel says that nothing which was sent is the other process's own. Where that can't be written the other process
// has not read all that was sent before, so that it can't take anything for its own either.
func (p *Pipe) cancel(reason string) {
	p.words.SetWriteDeadline(time.Now().Add(cancelWait))
	p.Send(Cancelled{Reason: reason})
}

// Close closes this end.
func (p *Pipe) Close() error { return errors.Join(p.words.Close(), p.files.Close()) }

// Raw writes bytes that need not be a message: for those who test what a giver makes of them.
func (p *Pipe) WriteRaw(text []byte) error {
	_, err := p.words.Write(text)
	return err
}
