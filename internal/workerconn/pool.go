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

// errConnLimit means that all connections that workers may hold are in use.
var errConnLimit = errors.New("connection limit for workers reached")

// The time for which idle connections are kept depends on how many of them were found broken on reuse, in bands of idle
// time.
const (
	bandCount      = 14               // each band is twice as long as the one before; the first is up to 1 ms
	maxBreakRatio  = 0.1              // share of a band's connections that may break
	bandPriorTries = 10.0             // successful reuses that each band is assumed to have had
	bandDecayTime  = 10 * time.Second // time in which the counts of a band decay to 1/e
)

// idleBand counts the reuses of connections that had been idle for a similar time.
type idleBand struct {
	tries, breaks float64
	updatedAt     time.Time
}

// decay reduces the weight of old counts, so that idle times that failed are tried again later.
func (b *idleBand) decay(now time.Time) {
	keep := math.Exp(-float64(now.Sub(b.updatedAt)) / float64(bandDecayTime))
	b.tries, b.breaks, b.updatedAt = b.tries*keep, b.breaks*keep, now
}

// pool keeps the idle connections, and counts all open ones.
type pool struct {
	gate    *hold.Gate
	dial    func(ctx context.Context, addr string) (net.Conn, error)
	maxIdle time.Duration // upper limit of the time that a connection is kept idle

	dialled, refused atomic.Uint64

	mu        sync.Mutex
	maxConns  int           // limit of open connections to all workers
	idleLimit time.Duration // time for which connections are kept idle now; maxIdle while few break
	bands     [bandCount]idleBand
	open      int
	idle      map[string][]*conn // by address; the most recently used is last
}

// newPool returns a pool that opens at most maxConns connections, and keeps idle ones for up to maxIdle.
func newPool(gate *hold.Gate, dialTimeout, maxIdle time.Duration, maxConns int) *pool {
	d := net.Dialer{Timeout: dialTimeout}
	dial := func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) }
	return &pool{gate: gate, dial: dial, maxIdle: maxIdle, idleLimit: maxIdle, maxConns: maxConns, idle: map[string][]*conn{}}
}

// recordReuse records whether an idle connection broke under its next request. A worker's machine may drop a connection
// silently, long before the time that it states. A request written to such a connection ends in a reset, after which some
// requests must not be repeated. So connections are kept only for idle times after which few break.
func (p *pool) recordReuse(c *conn, broke bool) {
	if !c.reused() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	b := &p.bands[min(bits.Len64(uint64(c.idleTime.Milliseconds())), bandCount-1)]
	b.decay(now)
	b.tries++
	if broke {
		b.breaks++
	}
	p.updateIdleLimit(now)
}

// updateIdleLimit sets idleLimit from the counts of the bands. The caller holds p.mu.
func (p *pool) updateIdleLimit(now time.Time) {
	p.idleLimit = p.maxIdle
	for i := range p.bands {
		b := &p.bands[i]
		if b.decay(now); b.breaks > maxBreakRatio*(b.tries+bandPriorTries) {
			p.idleLimit = min(p.idleLimit, time.Millisecond<<i/2)
			return
		}
	}
}

// settleTime is how long a connection must have been idle before it carries a request that must not be sent twice. A
// worker may send a second response some milliseconds late: taken for that to the next request, it may say that a job
// never ran which has just started.
const settleTime = 50 * time.Millisecond

// get returns an idle connection or dials a new one. once must be set for requests that must not be sent twice. If it
// returns an error, nothing was sent.
func (p *pool) get(ctx context.Context, addr string, once bool) (*conn, error) {
	minIdle := time.Duration(0)
	if once {
		minIdle = settleTime
	}
	for {
		c := p.takeIdle(addr, minIdle)
		if c == nil {
			break
		}
		if c.usable() {
			return c, nil
		}
		p.discard(c)
	}
	if !p.reserve() {
		return nil, errConnLimit
	}
	// The gate may be held during a dial: nothing has been sent, and the other process dials again.
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

// takeIdle returns the most recently used connection that has been idle for at least the given time, or nil.
func (p *pool) takeIdle(addr string, minIdle time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	for i := len(list) - 1; i >= 0; i-- {
		c := list[i]
		if c.idleTime = time.Since(c.idleSince); c.idleTime > p.idleLimit {
			return nil // the others have been idle for longer; closeExpired closes them
		}
		if c.idleTime >= minIdle {
			p.setIdle(addr, slices.Delete(list, i, i+1))
			return c
		}
	}
	return nil
}

// setIdle replaces the list of idle connections to an address. The caller holds p.mu.
func (p *pool) setIdle(addr string, list []*conn) {
	if len(list) == 0 {
		delete(p.idle, addr)
	} else {
		p.idle[addr] = list
	}
}

// reserve counts a connection that is about to be opened. At the limit it closes the connection that has been idle
// longest, to whichever worker, and returns false if none is idle.
func (p *pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open < p.maxConns {
		p.open++
		return true
	}
	return p.closeOldest() // the new connection takes the place of the closed one, so the count stays
}

// closeOldest closes the connection that has been idle longest, and returns false if none is idle. The caller holds
// p.mu.
func (p *pool) closeOldest() bool {
	var oldest *conn
	for _, list := range p.idle {
		if c := list[0]; oldest == nil || c.idleSince.Before(oldest.idleSince) {
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

// closeOldestIdle closes up to n idle connections and returns how many it closed.
func (p *pool) closeOldestIdle(n int) (closed int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for closed < n && p.closeOldest() {
		p.open--
		closed++
	}
	return closed
}

// setMaxConns changes the limit. Open connections beyond a lower limit are closed only as they end.
func (p *pool) setMaxConns(maxConns int) {
	p.mu.Lock()
	p.maxConns = maxConns
	p.mu.Unlock()
}

// unreserve stops counting a connection that was closed or could not be opened.
func (p *pool) unreserve() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// discard closes a connection that is in use.
func (p *pool) discard(c *conn) {
	c.Close()
	p.unreserve()
}

// put returns a connection to the idle ones, or closes it if it is unusable.
func (p *pool) put(c *conn, unusable bool) {
	if unusable || c.SetDeadline(time.Time{}) != nil {
		p.discard(c)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = time.Now()
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// closeExpired closes connections that have been idle for too long: the worker will close them soon, and a request that
// crosses with that close fails with a reset.
func (p *pool) closeExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateIdleLimit(now)
	for addr, list := range p.idle {
		n := 0
		for n < len(list) && now.Sub(list[n].idleSince) >= p.idleLimit {
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
