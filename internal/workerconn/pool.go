package workerconn

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/bits"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"foldlb.example/foldlb/internal/hold"
)

// errBudget says that all connections that workers may hold are in use.
var errBudget = errors.New("no descriptor left for a worker")

// How the time that connections are kept follows what becomes of them.
const (
	ageBands   = 14               // of idle times, each twice as long as the one before; the first is up to 1 ms
	brokeBorne = 0.1              // part of a band's connections that may break
	bandPrior  = 10.0             // that a band is thought to have held before any is tried
	bandMemory = 10 * time.Second // after which a band's record counts for a third
)

// band is the record of kept connections that were idle for about equally long.
type band struct {
	tries, broke float64
	at           time.Time
}

// fade lets a record count for less as it grows old, so that a band is tried again some day.
func (b *band) fade(now time.Time) {
	keep := math.Exp(-float64(now.Sub(b.at)) / float64(bandMemory))
	b.tries, b.broke, b.at = b.tries*keep, b.broke*keep, now
}

// pool keeps the idle connections and counts all of them.
type pool struct {
	gate    *hold.Gate
	dial    func(ctx context.Context, addr string) (net.Conn, error)
	idleFor time.Duration // an idle connection is closed after this at the latest

	dialled, refused atomic.Uint64

	mu    sync.Mutex
	most  int           // open connections, over all workers
	limit time.Duration // after which idle connections are closed now; idleFor where few break
	bands [ageBands]band
	open  int
	idle  map[string][]*conn // by address; the one used last is at the end
}

func newPool(gate *hold.Gate, dialTimeout, idleFor time.Duration, most int) *pool {
	d := net.Dialer{Timeout: dialTimeout}
	dial := func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) }
	return &pool{gate: gate, dial: dial, idleFor: idleFor, limit: idleFor, most: most, idle: map[string][]*conn{}}
}

// tried learns from how a kept connection fared at its next request. Danger: a machine may forget connections
// long before it says, without a word; requests written to those end as resets, after which some may not be
// sent again. So connections are kept for as long only as few break that were idle for as long.
func (p *pool) tried(c *conn, broke bool) {
	if !c.kept() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	b := &p.bands[min(bits.Len64(uint64(c.age.Milliseconds())), ageBands-1)]
	b.fade(now)
	b.tries++
	if broke {
		b.broke++
	}
	p.setLimit(now)
}

// setLimit sets the time that connections are kept; p.mu is held.
func (p *pool) setLimit(now time.Time) {
	p.limit = p.idleFor
	for i := range p.bands {
		b := &p.bands[i]
		if b.fade(now); b.broke > brokeBorne*(b.tries+bandPrior) {
			p.limit = min(p.limit, time.Millisecond<<i/2)
			return
		}
	}
}

// settled is for how long a connection must have been silent after an answer before it carries what must not be sent twice. Danger: a
// worker may answer a second time some milliseconds late. Taken for the next request's, such an answer may say that a job never ran
// which has just begun.
const settled = 50 * time.Millisecond

// get returns an idle connection or dials a new one. once says that it is for what must not be sent twice. Its errors mean that nothing
// was sent.
func (p *pool) get(ctx context.Context, addr string, once bool) (*conn, error) {
	least := time.Duration(0)
	if once {
		least = settled
	}
	for {
		c := p.takeIdle(addr, least)
		if c == nil {
			break
		}
		if c.fresh() {
			return c, nil
		}
		p.discard(c)
	}
	if !p.reserve() {
		return nil, errBudget
	}
	// While it dials it rests: nothing has been sent, and where the gate is held the other process dials anew.
	p.gate.Rest()
	nc, err := p.dial(ctx, addr)
	p.gate.Wake()
	if err != nil {
		if ctx.Err() == nil {
			p.refused.Add(1)
		}
		p.unreserve()
		return nil, fmt.Errorf("connect to worker: %w", err)
	}
	p.dialled.Add(1)
	return newConn(p.gate.Wrap(nc), addr), nil
}

// takeIdle takes the connection that was used last of those that have been idle for least; nil for none.
func (p *pool) takeIdle(addr string, least time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	for i := len(list) - 1; i >= 0; i-- {
		c := list[i]
		if c.age = time.Since(c.since); c.age > p.limit {
			return nil // the others have been idle for longer; retire closes them
		}
		if c.age >= least {
			p.setIdle(addr, slices.Delete(list, i, i+1))
			return c
		}
	}
	return nil
}

func (p *pool) setIdle(addr string, list []*conn) {
	if len(list) == 0 {
		delete(p.idle, addr)
	} else {
		p.idle[addr] = list
	}
}

// reserve counts a connection about to be opened. With the budget spent it closes the connection that has
// been idle longest, to whichever worker.
func (p *pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open < p.most {
		p.open++
		return true
	}
	return p.closeOldest() // the closed one's place is the new one's
}

// closeOldest closes the connection that has been idle longest, if there is one; p.mu is held.
func (p *pool) closeOldest() bool {
	var oldest *conn
	for _, list := range p.idle {
		if c := list[0]; oldest == nil || c.since.Before(oldest.since) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	p.setIdle(oldest.addr, p.idle[oldest.addr][1:])
	oldest.Close()
	return true
}

// shed closes up to n idle connections and tells how many.
func (p *pool) shed(n int) (closed int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for closed < n && p.closeOldest() {
		p.open--
		closed++
	}
	return closed
}

// setMost changes the budget. What is open beyond a smaller one ends as it is used up.
func (p *pool) setMost(most int) {
	p.mu.Lock()
	p.most = most
	p.mu.Unlock()
}

func (p *pool) unreserve() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// discard closes a connection that was taken.
func (p *pool) discard(c *conn) {
	c.Close()
	p.unreserve()
}

// giveBack makes a taken connection idle, or closes it where it carries nothing further.
func (p *pool) giveBack(c *conn, spent bool) {
	if spent || c.SetDeadline(time.Time{}) != nil {
		p.discard(c)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c.since = time.Now()
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// retire closes what has been idle for too long: the worker closes it soon, and a request that crosses
// with that ends as a reset.
func (p *pool) retire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setLimit(now)
	for addr, list := range p.idle {
		n := 0
		for n < len(list) && now.Sub(list[n].since) >= p.limit {
			list[n].Close()
			n++
		}
		p.open -= n
		p.setIdle(addr, list[n:])
	}
}

// closeIdle closes the idle connections to an address.
func (p *pool) closeIdle(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[addr] {
		c.Close()
	}
	p.open -= len(p.idle[addr])
	delete(p.idle, addr)
}
