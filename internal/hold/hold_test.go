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

const patience = 10 * time.Second

// pair is both ends of a TCP connection, one behind a gate.
func pair(t interface{ Fatal(...any) }, g *Gate) (*Conn, net.Conn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	far, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	near, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return g.Wrap(near), far
}

// TestNothingIsTakenWhileHeld: what arrives during a hold stays in the kernel, and is read after it.
func TestNothingIsTakenWhileHeld(t *testing.T) {
	g := NewGate()
	near, far := pair(t, g)
	defer far.Close()
	got := make(chan string, 4)
	g.Go(func() {
		b := make([]byte, 16)
		for {
			n, err := near.Read(b)
			if err != nil {
				got <- err.Error()
				return
			}
			got <- string(b[:n])
		}
	})
	for i := range 50 {
		io.WriteString(far, "a")
		if s := <-got; s != "a" {
			t.Fatal(s)
		}
		if err := g.Hold(patience, nil); err != nil {
			t.Fatal(err)
		}
		io.WriteString(far, "b")
		if st := near.Export(); len(got) != 0 || len(st.Ahead) != i*2+1 {
			t.Fatalf("round %d: %d reads while held, exported %+v", i, len(got), st)
		}
		g.Release()
		select {
		case s := <-got:
			if s != "b" {
				t.Fatal(s)
			}
		case <-time.After(patience):
			t.Fatal("what came during the hold is never read")
		}
	}
	far.Close()
	if s := <-got; s != io.EOF.Error() {
		t.Error(s)
	}
}

// TestDeadlinesOutliveAHold: a reader's own deadline is its own before and after a hold, also one that passes
// meanwhile; a hold's end is none.
func TestDeadlinesOutliveAHold(t *testing.T) {
	g := NewGate()
	near, far := pair(t, g)
	defer far.Close()
	ended := make(chan error, 1)
	near.SetReadDeadline(time.Now().Add(150 * time.Millisecond))
	begin := time.Now()
	g.Go(func() {
		_, err := near.Read(make([]byte, 1))
		ended <- err
	})
	for range 3 {
		if err := g.Hold(patience, nil); err != nil {
			t.Fatal(err)
		}
		g.Release()
	}
	if err := <-ended; !errors.Is(err, os.ErrDeadlineExceeded) || time.Since(begin) < 150*time.Millisecond {
		t.Errorf("%v after %v", err, time.Since(begin))
	}
}

// TestInterrupt ends a ReadAhead whatever it is doing, and no byte that came is lost.
func TestInterrupt(t *testing.T) {
	g := NewGate()
	near, far := pair(t, g)
	defer far.Close()
	ended := make(chan error)
	g.Go(func() {
		for range 4 {
			err := near.ReadAhead()
			ended <- err
		}
	})
	near.Interrupt()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	io.WriteString(far, "xyz")
	near.Interrupt() // before or after the first byte is taken ahead
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	if err := g.Hold(patience, nil); err != nil {
		t.Fatal(err)
	}
	near.Interrupt() // while held: it is active now, and not at rest any more
	g.Release()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	near.Interrupt()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	b := make([]byte, 3)
	if _, err := io.ReadFull(near, b); err != nil || string(b) != "xyz" {
		t.Errorf("%q, %v", b, err)
	}
}

// TestHoldTellsOfWhatKeepsWorking: a hold that can't come about lets everything go on.
func TestHoldTellsOfWhatKeepsWorking(t *testing.T) {
	g := NewGate()
	stop, called := make(chan struct{}), 0
	g.Go(func() { <-stop })
	if err := g.Hold(20*time.Millisecond, func() { called++ }); !errors.Is(err, ErrBusy) || called == 0 {
		t.Errorf("%v, called %d times meanwhile", err, called)
	}
	done := make(chan struct{})
	g.Go(func() { close(done) })
	<-done
	close(stop)
	if err := g.Hold(patience, nil); err != nil {
		t.Error(err)
	}
	if err := g.Hold(patience, nil); !errors.Is(err, ErrHeld) {
		t.Errorf("held twice: %v", err)
	}
	g.Release()
}

// TestBytesPassOnInOrder: whatever was read, marked and left by one connection, and written in whatever pieces, its
// successor reads on from the same byte.
func TestBytesPassOnInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOfN(rapid.Byte(), 1, 3000).Draw(t, "text")
		first := NewGate()
		near, far := pair(t, first)
		defer far.Close()
		defer near.Close()
		written := rapid.IntRange(0, len(text)).Draw(t, "written before")
		far.Write(text[:written])
		read, marked := 0, 0 // of the text, by the first one; done with for good
		first.Wake()
		for read < written && rapid.Bool().Draw(t, "read more") {
			b := make([]byte, rapid.IntRange(1, 700).Draw(t, "room"))
			n, err := near.Read(b)
			if err != nil {
				t.Fatal(err)
			}
			read += n
			if rapid.Bool().Draw(t, "mark") {
				left := rapid.IntRange(0, read-marked).Draw(t, "left")
				near.MarkConsumed(left)
				marked = read - left
			}
			if left := rapid.IntRange(0, read-marked).Draw(t, "unread"); left > 0 && rapid.Bool().Draw(t, "does") {
				near.Unread(text[read-left : read])
				read, marked = read-left, read-left
			}
		}
		first.Rest()
		if err := first.Hold(patience, nil); err != nil {
			t.Fatal(err)
		}
		far.Write(text[written:])
		second := NewGate()
		next := second.Wrap(near.Conn)
		next.adopt(near.Export())
		second.Wake()
		next.SetReadDeadline(time.Now().Add(patience))
		got := make([]byte, len(text)-marked)
		if _, err := io.ReadFull(next, got); err != nil || string(got) != string(text[marked:]) {
			t.Fatalf("%d bytes of %d, %v", len(got), len(text)-marked, err)
		}
	})
}

// TestForget: where nothing is ever handed over, nothing is kept, and what is unread comes again all the same.
func TestForget(t *testing.T) {
	g := NewGate()
	g.DisableHandover()
	near, far := pair(t, g)
	defer far.Close()
	io.WriteString(far, "one two")
	g.Wake()
	b := make([]byte, 7)
	if _, err := io.ReadFull(near, b); err != nil {
		t.Fatal(err)
	}
	if kept := near.Export().Ahead; len(kept) != 0 {
		t.Errorf("%q is kept", kept)
	}
	near.Unread(b[4:])
	if n, err := near.Read(b); err != nil || string(b[:n]) != "two" {
		t.Errorf("%q, %v", b[:n], err)
	}
	g.Rest()
}

// TestHoldRestsThoughTheSocketWasSetToBlocking: whoever shares the listening socket may set it to blocking, for all processes.
func TestHoldRestsThoughTheSocketWasSetToBlocking(t *testing.T) {
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
		far, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		(<-accepted).Close()
		far.Close()
		if err := g.Hold(patience, nil); err != nil {
			net.Dial("tcp", ln.Addr().String()) // wakes what waits in the kernel, which the close would wait for
			t.Fatal(err)
		}
		g.Release()
	}
}
