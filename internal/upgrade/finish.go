package upgrade

import (
	"os"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

// ended cleans up after an upgrade that did not come about.
func (g *HandoverSender) ended(e Finished) {
	if e.Refused {
		if e.Peer != nil {
			e.Peer.Refuse(e.Reason)
			g.apart()
		}
		if c, ok := e.Requester.(chan Progress); ok {
			c <- Progress{At: time.Now(), Step: g.machine.Phase().String(), Final: true, Result: Refusal, Detail: e.Reason}
		}
		return
	}
	if g.collect != nil {
		g.collect()
		g.collect = nil
	}
	if g.follow != nil {
		g.Runtime.StopFollowing()
		g.unfollow()
	}
	if g.pipe != nil {
		g.pipe.Close()
	}
	if g.came != nil {
		g.apart()
	}
	g.pipe, g.other, g.came = nil, other{}, nil
	g.Log.WithField("reason", e.Reason).Warn("upgrade fell back: this process goes on")
	g.tell(Progress{Step: Idle.String(), Final: true, Result: FellBack, Detail: e.Reason})
	for _, o := range g.waiting {
		o.run()
	}
	g.waiting = nil
	g.putOff.Store(0)
}

func (g *HandoverSender) apart() {
	if g.OnSeparateStart != nil {
		g.OnSeparateStart()
	}
}

// leave ends this process. Danger: nothing may be closed in an orderly way, since a shutdown of what both processes
// hold would reach the other sides.
func (g *HandoverSender) leave() {
	pid := g.other.pid
	p := g.parcel
	p.Bytes = g.bytes
	p.Step, p.Final, p.Result, p.PID, p.HeldMS = Leaving.String(), true, Replaced, pid, millis(time.Since(g.heldAt))
	p.Held.Takeover = p.HeldMS - p.Held.Quiesce - p.Held.Pack - p.Held.Send
	if g.Leave != nil {
		g.Leave(pid) // first: whoever hears the final word may ask at once who serves
	}
	g.tell(p)
	g.Log.WithFields(logrus.Fields{"pid": pid, "held_ms": p.HeldMS, "held_parts_ms": p.Held.String(), "descriptors": p.Files, "bytes": p.Bytes}).Info("upgraded: the new process has taken over")
	for _, o := range g.waiting {
		g.passOn(o)
	}
	g.flush()
	os.Exit(0)
}

// flushMost bounds the wait for those who watch to be told the end. Danger: what the new process closes stays open
// for the other side until this one has ended too.
const flushMost = 100 * time.Millisecond

// lastOrders is how long orders are passed on that came before the new process acted, and are still on their way
// inside this one.
const lastOrders = 5 * time.Millisecond

// passOn gives an order to the new process. SIGTERM after a newcomer has taken over meant this process, which ends.
func (g *HandoverSender) passOn(o order) {
	if g.came == nil || o.signal != syscall.SIGTERM {
		syscall.Kill(g.other.pid, o.signal.(syscall.Signal))
	}
}

// flush passes on the last orders, and waits until those who watch have been told the end.
func (g *HandoverSender) flush() {
	begin := time.Now()
	t := time.NewTicker(time.Millisecond)
	defer t.Stop()
	for {
		select {
		case o := <-g.orders:
			g.passOn(o)
		case now := <-t.C:
			g.mu.Lock()
			n := len(g.watchers)
			g.mu.Unlock()
			if past := now.Sub(begin); past >= flushMost || n == 0 && past >= lastOrders {
				return
			}
		}
	}
}
