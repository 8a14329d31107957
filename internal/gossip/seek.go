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

// seek tries for ever to meet those out of reach: seeds while nobody is reached, and all members that may run. Without it two
// sides of a partition that wrote each other off would never meet again.
func (n *Node) seek(ctx context.Context) {
	pause := seekLeast
	if n.taken {
		n.meetAgain(ctx)
	}
	for {
		wanted := n.wanted()
		if len(wanted) == 0 {
			pause = seekLeast
		} else {
			rand.Shuffle(len(wanted), func(i, j int) { wanted[i], wanted[j] = wanted[j], wanted[i] })
			met := n.join(wanted[:min(seekAtOnce, len(wanted))])
			pause = min(2*pause, seekMost)
			if met > 0 {
				pause = seekLeast
				n.nudge()
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

// meetAgain has a successor meet those whom its predecessor reached. Danger: the library begins with nobody, and asking those first who
// are behind a partition would take longer than the others may be silent.
func (n *Node) meetAgain(ctx context.Context) {
	t := time.NewTicker(lookEvery / 10)
	defer t.Stop()
	for until := time.Now().Add(meetMost); time.Now().Before(until); {
		if p := n.picture.Load(); p != nil {
			var reached []string
			for _, m := range p.Members {
				if m.Reached && !m.Self && !m.Departed() {
					reached = append(reached, m.Addr)
				}
			}
			if len(reached) == 0 || n.join(reached[:min(2*seekAtOnce, len(reached))]) > 0 {
				n.nudge()
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

// join asks all of some addresses at once, so that one that is silent keeps nobody waiting, and tells how many were met.
func (n *Node) join(addrs []string) int {
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

// wanted are the addresses of those out of reach.
func (n *Node) wanted() []string {
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
		clear(known) // alone: also those that are held to be over
		known[own], known[cfg.Listen.String()] = true, true
	}
	for _, s := range cfg.Seeds {
		add(s) // one that is reached is known by its address
	}
	return all
}
