package hold

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"pgregory.net/rapid"
)

const holdTimeout = 10 * time.Second

// pair returns both ends of a TCP connection; the first is behind the gate.
func pair(t interface{ Fatal(...any) }, g *Gate) (*Conn, net.Conn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	peer, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return g.Wrap(conn), peer
}

// TestNoBytesReadWhileHeld checks that bytes which arrive during a hold stay in the kernel, and are read after it.
func TestNoBytesReadWhileHeld(t *testing.T) {
	g := NewGate()
	conn, peer := pair(t, g)
	defer peer.Close()
	got := make(chan string, 4)
	g.Go(func() {
		b := make([]byte, 16)
		for {
			n, err := conn.Read(b)
			if err != nil {
				got <- err.Error()
				return
			}
			got <- string(b[:n])
		}
	})
	for i := range 50 {
		io.WriteString(peer, "a")
		if s := <-got; s != "a" {
			t.Fatal(s)
		}
		if err := g.Hold(holdTimeout, nil); err != nil {
			t.Fatal(err)
		}
		io.WriteString(peer, "b")
		if st := conn.Export(); len(got) != 0 || len(st.Ahead) != i*2+1 {
			t.Fatalf("round %d: %d reads while held, exported %+v", i, len(got), st)
		}
		g.Release()
		select {
		case s := <-got:
			if s != "b" {
				t.Fatal(s)
			}
		case <-time.After(holdTimeout):
			t.Fatal("bytes that arrived during the hold were not read after it")
		}
	}
	peer.Close()
	if s := <-got; s != io.EOF.Error() {
		t.Error(s)
	}
}

// TestReadDeadlineSurvivesHold checks that a reader's own deadline takes effect, and not before its time, if the gate is
// held several times meanwhile: the release of a hold must not look like an expired deadline.
func TestReadDeadlineSurvivesHold(t *testing.T) {
	g := NewGate()
	conn, peer := pair(t, g)
	defer peer.Close()
	ended := make(chan error, 1)
	conn.SetReadDeadline(time.Now().Add(150 * time.Millisecond))
	begin := time.Now()
	g.Go(func() {
		_, err := conn.Read(make([]byte, 1))
		ended <- err
	})
	for range 3 {
		if err := g.Hold(holdTimeout, nil); err != nil {
			t.Fatal(err)
		}
		g.Release()
	}
	if err := <-ended; !errors.Is(err, os.ErrDeadlineExceeded) || time.Since(begin) < 150*time.Millisecond {
		t.Errorf("%v after %v", err, time.Since(begin))
	}
}

// TestInterrupt checks that Interrupt ends a ReadAhead in each of its states, and that no received byte is lost.
func TestInterrupt(t *testing.T) {
	g := NewGate()
	conn, peer := pair(t, g)
	defer peer.Close()
	ended := make(chan error)
	g.Go(func() {
		for range 4 {
			err := conn.ReadAhead()
			ended <- err
		}
	})
	conn.Interrupt()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	io.WriteString(peer, "xyz")
	conn.Interrupt() // before or after the first byte is read
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	if err := g.Hold(holdTimeout, nil); err != nil {
		t.Fatal(err)
	}
	conn.Interrupt() // while held: the reader counts as active from here on
	g.Release()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	conn.Interrupt()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	b := make([]byte, 3)
	if _, err := io.ReadFull(conn, b); err != nil || string(b) != "xyz" {
		t.Errorf("%q, %v", b, err)
	}
}

// TestHoldTimesOutWhileActive checks that a hold which reaches its time limit releases the gate, and that a gate can't be held twice.
func TestHoldTimesOutWhileActive(t *testing.T) {
	g := NewGate()
	stop, called := make(chan struct{}), 0
	g.Go(func() { <-stop })
	if err := g.Hold(20*time.Millisecond, func() { called++ }); !errors.Is(err, ErrBusy) || called == 0 {
		t.Errorf("%v, whileBusy called %d times", err, called)
	}
	done := make(chan struct{})
	g.Go(func() { close(done) })
	<-done
	close(stop)
	if err := g.Hold(holdTimeout, nil); err != nil {
		t.Error(err)
	}
	if err := g.Hold(holdTimeout, nil); !errors.Is(err, ErrHeld) {
		t.Errorf("held twice: %v", err)
	}
	g.Release()
}

// TestExportedBytesResumeInOrder checks that a connection restored from an exported state continues with the first
// unconsumed byte, however the bytes were written, read, marked as consumed and unread before the hold.
func TestExportedBytesResumeInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOfN(rapid.Byte(), 1, 3000).Draw(t, "text")
		first := NewGate()
		conn, peer := pair(t, first)
		defer peer.Close()
		defer conn.Close()
		written := rapid.IntRange(0, len(text)).Draw(t, "written before")
		peer.Write(text[:written])
		read, consumed := 0, 0 // bytes of the text that the first connection read, and marked as consumed
		first.Wake()
		for read < written && rapid.Bool().Draw(t, "read more") {
			b := make([]byte, rapid.IntRange(1, 700).Draw(t, "room"))
			n, err := conn.Read(b)
			if err != nil {
				t.Fatal(err)
			}
			read += n
			if rapid.Bool().Draw(t, "mark") {
				left := rapid.IntRange(0, read-consumed).Draw(t, "left")
				conn.MarkConsumed(left)
				consumed = read - left
			}
			if left := rapid.IntRange(0, read-consumed).Draw(t, "unread"); left > 0 && rapid.Bool().Draw(t, "does") {
				conn.Unread(text[read-left : read])
				read, consumed = read-left, read-left
			}
		}
		first.Rest()
		if err := first.Hold(holdTimeout, nil); err != nil {
			t.Fatal(err)
		}
		peer.Write(text[written:])
		second := NewGate()
		next := second.Wrap(conn.Conn)
		next.restore(conn.Export())
		second.Wake()
		next.SetReadDeadline(time.Now().Add(holdTimeout))
		got := make([]byte, len(text)-consumed)
		if _, err := io.ReadFull(next, got); err != nil || string(got) != string(text[consumed:]) {
			t.Fatalf("%d bytes of %d, %v", len(got), len(text)-consumed, err)
		}
	})
}

// TestDisableHandover checks that read bytes are not retained without handover, and that Unread works all the same.
func TestDisableHandover(t *testing.T) {
	g := NewGate()
	g.DisableHandover()
	conn, peer := pair(t, g)
	defer peer.Close()
	io.WriteString(peer, "one two")
	g.Wake()
	b := make([]byte, 7)
	if _, err := io.ReadFull(conn, b); err != nil {
		t.Fatal(err)
	}
	if retained := conn.Export().Ahead; len(retained) != 0 {
		t.Errorf("%q is retained", retained)
	}
	conn.Unread(b[4:])
	if n, err := conn.Read(b); err != nil || string(b[:n]) != "two" {
		t.Errorf("%q, %v", b[:n], err)
	}
	g.Rest()
}

// TestHoldSucceedsAfterSocketWasSetToBlocking: a process that shares the listening socket may set it to blocking for all processes. An
// accept then blocks in the kernel, where Hold can't interrupt it, unless the listener sets the socket to non-blocking again.
func TestHoldSucceedsAfterSocketWasSetToBlocking(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := NewGate()
	ln := g.Listen(inner.(*net.TCPListener))
	defer ln.Close()
	accepted := make(chan net.Conn)
	g.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	})
	for range 20 {
		raw, err := ln.SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		raw.Control(func(fd uintptr) { unix.SetNonblock(int(fd), false) })
		peer, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		(<-accepted).Close()
		peer.Close()
		if err := g.Hold(holdTimeout, nil); err != nil {
			net.Dial("tcp", ln.Addr().String()) // wakes the accept that blocks in the kernel; closing would wait for it
			t.Fatal(err)
		}
		g.Release()
	}
}
