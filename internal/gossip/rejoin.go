package gossip

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"foldlb.example/foldlb/internal/altered"
)

// rejoin permanently tries to reach unreachable members that may run, and the seeds. Without it, the sides of a partition that
// judged each other as failed would never rejoin.
func (n *Node) rejoin(ctx context.Context) {
	pause := minRejoinInterval
	if n.inherited {
		n.rejoinAsSuccessor(ctx)
	}
	for {
		addrs := n.unreachableAddrs()
		if len(addrs) == 0 {
			pause = minRejoinInterval
		} else {
			rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
			met := n.joinAny(addrs[:min(rejoinBatch, len(addrs))])
			pause = min(2*pause, maxRejoinInterval)
			if met > 0 {
				pause = minRejoinInterval
				n.triggerReport()
				if altered.Is("no coming together") {
					return
				}
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration((0.75 + 0.5*rand.Float64()) * float64(pause))):
		}
	}
}

// rejoinAsSuccessor contacts the members that the predecessor reached. memberlist starts with no members, and trying unreachable ones
// first could take longer than the suspicion time-out of the others.
func (n *Node) rejoinAsSuccessor(ctx context.Context) {
	t := time.NewTicker(reportInterval / 10)
	defer t.Stop()
	for until := time.Now().Add(maxSuccessorDelay); time.Now().Before(until); {
		if p := n.picture.Load(); p != nil {
			var reached []string
			for _, m := range p.Members {
				if m.Reached && !m.Self && !m.Departed() {
					reached = append(reached, m.Addr)
				}
			}
			if len(reached) == 0 || n.joinAny(reached[:min(2*rejoinBatch, len(reached))]) > 0 {
				n.triggerReport()
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// joinAny contacts all addresses concurrently, so that an unresponsive one doesn't delay the others, and returns how many members were
// reached.
func (n *Node) joinAny(addrs []string) int {
	var met atomic.Int64
	var wg sync.WaitGroup
	for _, addr := range addrs {
		wg.Go(func() {
			if k, err := n.list.Join([]string{addr}); err == nil {
				met.Add(int64(k))
			}
		})
	}
	wg.Wait()
	return int(met.Load())
}

// unreachableAddrs returns the addresses of unreachable members that may run, and of seeds that aren't reached.
func (n *Node) unreachableAddrs() []string {
	cfg, p := n.cfg.Load(), n.picture.Load()
	own := n.t.advertise.String()
	known := map[string]bool{own: true, cfg.Listen.String(): true}
	var all []string
	add := func(addr string) {
		if !known[addr] {
			known[addr] = true
			all = append(all, addr)
		}
	}
	if p != nil {
		for _, m := range p.Members {
			if m.Departed() || m.Reached {
				known[m.Addr] = true
			} else if !m.Self {
				if at, err := netip.ParseAddrPort(m.Addr); err == nil && n.allowed(at.Addr()) {
					add(m.Addr)
				}
			}
		}
	}
	if p == nil || p.Reached <= 1 {
		clear(known) // no member is reached: try departed ones as well
		known[own], known[cfg.Listen.String()] = true, true
	}
	for _, s := range cfg.Seeds {
		add(s) // skipped if a reached member has this address
	}
	return all
}
