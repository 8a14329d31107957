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
	maxFilesPerPacket    = 200 // descriptors; the kernel accepts 253
	maxShortMessageBytes = 1 << 20
	cancelTimeout        = 100 * time.Millisecond
)

// Pipe carries messages and descriptors between the two processes. It consists of two Unix socket pairs: a stream for
// the messages, and one of packets, each with up to maxFilesPerPacket descriptors.
type Pipe struct {
	messages *net.UnixConn
	files    *net.UnixConn

	mu sync.Mutex // serializes messages that are sent
}

// Pair returns one end of a pipe and the two files of its other end, to be passed to a child and then closed.
func Pair() (*Pipe, []*os.File, error) {
	messages, theirMessages, err := socketPair(unix.SOCK_STREAM)
	if err != nil {
		return nil, nil, err
	}
	files, theirFiles, err := socketPair(unix.SOCK_SEQPACKET)
	if err != nil {
		messages.Close()
		theirMessages.Close()
		return nil, nil, err
	}
	return &Pipe{messages: messages, files: files}, []*os.File{theirMessages, theirFiles}, nil
}

func socketPair(socketType int) (*net.UnixConn, *os.File, error) {
	fds, err := unix.Socketpair(unix.AF_UNIX, socketType|unix.SOCK_CLOEXEC, 0)
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
		return nil, fmt.Errorf("upgrade: descriptor %d is not a Unix socket", fd)
	}
	return u, nil
}

// Inherit opens the end of a pipe that was received as two descriptors.
func Inherit(messages, files int) (*Pipe, error) {
	unix.CloseOnExec(messages)
	unix.CloseOnExec(files)
	messageConn, err := unixConn(messages)
	if err != nil {
		return nil, err
	}
	fileConn, err := unixConn(files)
	if err != nil {
		messageConn.Close()
		return nil, err
	}
	return &Pipe{messages: messageConn, files: fileConn}, nil
}

// Send writes a message. It returns an error that wraps snapshot.ErrTooLarge if the message is over snapshot.MaxBytes.
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
	if _, err := buffers.WriteTo(p.messages); err != nil {
		return fmt.Errorf("upgrade: %w", err)
	}
	return nil
}

// Receive reads the next message of at most maxBytes; 0 stands for maxShortMessageBytes. It returns io.EOF if the other
// process has exited, or closed its end, after a complete message.
func (p *Pipe) Receive(maxBytes int) (any, error) {
	if maxBytes == 0 {
		maxBytes = maxShortMessageBytes
	}
	var head [5]byte
	if _, err := io.ReadFull(p.messages, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[1:])
	if int64(n) > int64(maxBytes) {
		return nil, fmt.Errorf("%w: a message of %d bytes, %d at most", snapshot.ErrTooLarge, n, maxBytes)
	}
	text := make([]byte, n)
	if _, err := io.ReadFull(p.messages, text); err != nil {
		return nil, fmt.Errorf("upgrade: message truncated: %w", err)
	}
	return decode(head[0], text)
}

// SendFiles sends descriptors in order. The kernel limits the number of descriptors in flight and refuses more, so each
// packet waits until the previous one has been received.
func (p *Pipe) SendFiles(fds []int) error {
	var acknowledgement [1]byte
	for len(fds) > 0 {
		batch := fds[:min(len(fds), maxFilesPerPacket)]
		fds = fds[len(batch):]
		if _, _, err := p.files.WriteMsgUnix([]byte{byte(len(batch))}, unix.UnixRights(batch...), nil); err != nil {
			return fmt.Errorf("upgrade: send descriptors: %w", err)
		}
		if _, err := p.files.Read(acknowledgement[:]); err != nil {
			return fmt.Errorf("upgrade: descriptors were not acknowledged: %w", err)
		}
	}
	return nil
}

// ReceiveFiles receives n descriptors. If it returns an error, it has closed all of them.
func (p *Pipe) ReceiveFiles(n int) (fds []int, err error) {
	defer func() {
		if err != nil {
			for _, fd := range fds {
				unix.Close(fd)
			}
			fds = nil
		}
	}()
	var payload [1]byte
	control := make([]byte, unix.CmsgSpace(4*maxFilesPerPacket))
	for len(fds) < n {
		_, got, flags, _, err := p.files.ReadMsgUnix(payload[:], control)
		if err != nil {
			return fds, fmt.Errorf("upgrade: receive descriptors: %w", err)
		}
		messages, err := unix.ParseSocketControlMessage(control[:got])
		if err != nil {
			return fds, fmt.Errorf("upgrade: receive descriptors: %w", err)
		}
		received := 0
		for i := range messages {
			rights, err := unix.ParseUnixRights(&messages[i])
			if err != nil {
				return fds, fmt.Errorf("upgrade: receive descriptors: %w", err)
			}
			for _, fd := range rights {
				unix.CloseOnExec(fd)
			}
			fds = append(fds, rights...)
			received += len(rights)
		}
		if flags&unix.MSG_CTRUNC != 0 || received != int(payload[0]) || received == 0 {
			return fds, fmt.Errorf("upgrade: only %d of %d descriptors received (limit of open files?)", received, payload[0])
		}
		if _, err := p.files.Write(payload[:]); err != nil {
			return fds, fmt.Errorf("upgrade: receive descriptors: %w", err)
		}
	}
	return fds, nil
}

// cancel sends Cancelled. If it can't be written within cancelTimeout, the other process has not read everything that was
// sent before it, and so can't become the owner of anything either.
func (p *Pipe) cancel(reason string) {
	p.messages.SetWriteDeadline(time.Now().Add(cancelTimeout))
	p.Send(Cancelled{Reason: reason})
}

// Close closes this end of the pipe.
func (p *Pipe) Close() error { return errors.Join(p.messages.Close(), p.files.Close()) }

// WriteRaw writes bytes that need not be a valid message, for tests of how the other process handles them.
func (p *Pipe) WriteRaw(text []byte) error {
	_, err := p.messages.Write(text)
	return err
}
