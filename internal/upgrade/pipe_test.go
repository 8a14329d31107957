package upgrade

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"

	"golang.org/x/sys/unix"

	"foldlb.example/foldlb/internal/hold"
	"foldlb.example/foldlb/internal/snapshot"
)

// ends makes both ends of a pipe in this process.
func ends(t *testing.T) (ours, theirs *Pipe) {
	t.Helper()
	ours, files, err := Pair()
	if err != nil {
		t.Fatal(err)
	}
	var fds []int
	for _, f := range files {
		fd, err := unix.Dup(int(f.Fd()))
		if err != nil {
			t.Fatal(err)
		}
		fds = append(fds, fd)
		f.Close()
	}
	if theirs, err = Inherit(fds[0], fds[1]); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ours.Close(); theirs.Close() })
	return ours, theirs
}

func TestMessages(t *testing.T) {
	ours, theirs := ends(t)
	for _, m := range []any{Hello{Protocol: 1, Version: "v"}, TrialTaken{3}, Differs{2, "x"}, Ready{4, 5}, Acting{}, Refused{"no"},
		Go{}, AheadTaken{}, NeedState{}, Ahead{7}} {
		if err := ours.Send(m); err != nil {
			t.Fatal(err)
		}
		if got, err := theirs.Receive(0); err != nil || got != m {
			t.Errorf("%+v came as %+v, %v", m, got, err)
		}
	}
	if err := ours.Send(3); err == nil {
		t.Error("a number was sent as a message")
	}
	ours.Close()
	if _, err := theirs.Receive(0); !errors.Is(err, io.EOF) {
		t.Errorf("after the end: %v", err)
	}
}

func TestHostileMessages(t *testing.T) {
	for text, want := range map[string]error{
		"\x63\x00\x00\x00\x00":         snapshot.ErrFormat,   // an unknown kind
		"\x01\xff\xff\xff\xff":         snapshot.ErrTooLarge, // four gigabytes
		"\x01\x00\x00\x00\x02\xff\xff": snapshot.ErrFormat,   // no CBOR
		"\x01\x00\x00\x00\x05ab":       io.ErrUnexpectedEOF,  // cut short
		"\x01\x00":                     io.ErrUnexpectedEOF,
	} {
		ours, theirs := ends(t)
		ours.WriteRaw([]byte(text))
		ours.Close()
		if _, err := theirs.Receive(0); !errors.Is(err, want) {
			t.Errorf("%q: %v, want %v", text, err, want)
		}
	}
}

// TestManyDescriptors: more than the kernel takes at once arrive in order, and go on working.
func TestManyDescriptors(t *testing.T) {
	ours, theirs := ends(t)
	var fds []int
	var readers []*os.File
	for range 2*filesAtOnce + 10 {
		r, w, err := os.Pipe()
		if err != nil {
			t.Fatal(err)
		}
		defer w.Close()
		readers = append(readers, r)
		fds = append(fds, int(w.Fd()))
	}
	sent := make(chan error, 1)
	go func() { sent <- ours.SendFiles(fds) }()
	got, err := theirs.ReceiveFiles(len(fds))
	if err := errors.Join(err, <-sent); err != nil {
		t.Fatal(err)
	}
	for i, fd := range got {
		f := os.NewFile(uintptr(fd), "")
		f.Write([]byte{byte(i), byte(i >> 8)})
		f.Close()
		var b [2]byte
		if _, err := io.ReadFull(readers[i], b[:]); err != nil || int(b[0])+int(b[1])<<8 != i {
			t.Fatalf("descriptor %d: %v, %v", i, b, err)
		}
		readers[i].Close()
	}
}

// TestTooFewDescriptorsLeft: a process at its limit says so, and keeps none of what came.
func TestTooFewDescriptorsLeft(t *testing.T) {
	ours, theirs := ends(t)
	var old unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &old); err != nil {
		t.Fatal(err)
	}
	files, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	null, err := os.Open("/dev/null")
	if err != nil {
		t.Fatal(err)
	}
	defer null.Close()
	fds := make([]int, 150)
	for i := range fds {
		fds[i] = int(null.Fd())
	}
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: uint64(len(files) + 60), Max: old.Max}); err != nil {
		t.Fatal(err)
	}
	go ours.SendFiles(fds)
	_, err = theirs.ReceiveFiles(len(fds))
	unix.Setrlimit(unix.RLIMIT_NOFILE, &old)
	if err == nil || !strings.Contains(err.Error(), "limit of open files") {
		t.Errorf("150 descriptors with room for 60: %v", err)
	}
	after, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	if len(after) > len(files)+3 {
		t.Errorf("%d descriptors are open, %d were before", len(after), len(files))
	}
}

// TestReceivedAreTakenOnce: a place stands for one connection, and what nobody takes is closed.
func TestReceivedAreTakenOnce(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	twin := func() int {
		var fd int
		raw, _ := ln.(*net.TCPListener).SyscallConn()
		raw.Control(func(p uintptr) { fd, _ = unix.Dup(int(p)) })
		return fd
	}
	r := hold.Received{FDs: []int{twin(), twin()}}
	first, err := r.Listener(0)
	if err != nil {
		t.Fatal(err)
	}
	first.Close()
	if _, err := r.Listener(0); err == nil {
		t.Error("taken twice")
	}
	if _, err := r.Conn(7, hold.ConnState{}); err == nil {
		t.Error("a place that is none")
	}
	left := r.FDs[1]
	r.Close()
	if _, err := unix.FcntlInt(uintptr(left), unix.F_GETFD, 0); err != unix.EBADF {
		t.Errorf("what nobody took is open: %v", err)
	}
}
