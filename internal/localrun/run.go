package localrun

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
)

const (
	startBound  = 10 * time.Second // until all dispatchers are ready
	waitPause   = 50 * time.Millisecond
	tickPeriod  = time.Second
	awayTime    = 3 * time.Second // that a killed process stays away
	endBound    = 12 * time.Second
	leastShare  = 0.9 // of the offered messages that must be accepted
	storeFault  = 0.3 // of the traffic's time, after which a store is killed
	frontFault  = 0.6 // and a dispatcher
	grace       = (graceS + 1) * time.Second
	killedStore = 1 // by index
	killedFront = 0
)

// Options of a run.
type Options struct {
	Programs string        // folder of the binaries foldlb and foldlb-control
	Folder   string        // for settings, logs and data
	Traffic  time.Duration // how long clients send
	Seed     uint64        // of what is drawn
	Out      io.Writer     // a line a second, and the verdict
}

// Verdict is what came of a run.
type Verdict struct {
	Offered   int
	Accepted  int
	Completed int
	Dead      int
	Repeats   int      // successes that ran again
	Broken    []string // a line for each promise that was broken
}

// Held reports whether every promise was kept.
func (v *Verdict) Held() bool { return len(v.Broken) == 0 }

// run is the state of a run.
type run struct {
	options    Options
	ledger     *Ledger
	deployment *deployment
	operator   *operator
	entry      *entry
	traffic    *traffic
	began      time.Time
}

// Run plays the service. The error says that it could not be played; a broken promise is told by the verdict.
func Run(ctx context.Context, options Options) (*Verdict, error) {
	ledger := NewLedger()
	outside, err := startOutside(ledger)
	if err != nil {
		return nil, err
	}
	defer outside.close()
	deployment, err := newDeployment(options.Programs, options.Folder, outside.platform.address)
	if err != nil {
		return nil, err
	}
	defer deployment.kill()
	if err := deployment.start(); err != nil {
		return nil, err
	}
	entry := newEntry(deployment.dispatchers)
	r := &run{
		options:    options,
		ledger:     ledger,
		deployment: deployment,
		operator:   newOperator(deployment.controls),
		entry:      entry,
		traffic:    newTraffic(ledger, entry, options.Seed),
		began:      time.Now(),
	}
	asking, cancel := context.WithCancel(ctx)
	defer cancel()
	go entry.run(asking)
	if err := r.prepare(ctx, outside.partner.address); err != nil {
		return nil, err
	}
	return r.play(ctx)
}

// prepare gives the service its configuration and waits until it serves.
func (r *run) prepare(ctx context.Context, partner string) error {
	bounded, cancel := context.WithTimeout(ctx, startBound)
	defer cancel()
	if err := r.operator.replace(bounded, configuration(partner)); err != nil {
		return err
	}
	r.say("configuration %d is acknowledged", firstVersion)
	for r.entry.ready() < dispatcherCount {
		if err := r.deployment.fault(); err != nil {
			return err
		}
		select {
		case <-bounded.Done():
			return errors.New("the dispatchers did not get ready in time: see their logs")
		case <-time.After(waitPause):
		}
	}
	r.say("%d control processes, %d stores and %d dispatchers serve; traffic begins", controlCount, storeCount, dispatcherCount)
	r.say("look inside with: foldlb-control status --address %s", r.deployment.controls[0].settings.Listen.Control)
	return nil
}

// play sends traffic, does the faults in its middle, and accounts for all at the end.
func (r *run) play(ctx context.Context) (*Verdict, error) {
	sending, stop := context.WithTimeout(ctx, r.options.Traffic)
	defer stop()
	telling, silence := context.WithCancel(ctx)
	defer silence()
	go r.tick(telling)
	faults := make(chan error, 1)
	go func() { faults <- r.faults(sending) }()
	r.traffic.run(sending)
	if err := <-faults; err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	r.say("traffic has ended; what was accepted is waited for")
	ending, cancel := context.WithTimeout(ctx, endBound)
	defer cancel()
	r.awaitEnds(ending)
	account := newAccount(r.ledger, r.entry)
	account.run(ending, r.ledger.accepted())
	silence()
	r.stopAll()
	return r.verdict(account), nil
}

// faults kills a store and later a dispatcher, and starts each again.
func (r *run) faults(ctx context.Context) error {
	steps := []struct {
		at      float64
		process *process
	}{{storeFault, r.deployment.stores[killedStore]}, {frontFault, r.deployment.dispatchers[killedFront]}}
	began := time.Now()
	for _, step := range steps {
		due := began.Add(time.Duration(step.at * float64(r.options.Traffic)))
		if !sleep(ctx, time.Until(due)) {
			return nil
		}
		if err := r.restart(ctx, step.process); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) restart(ctx context.Context, one *process) error {
	node := one.settings.Node
	r.ledger.Note("kill " + node)
	one.kill()
	r.say("%s was killed", node)
	sleep(ctx, awayTime)
	r.ledger.Note("start " + node)
	r.say("%s is started again", node)
	return one.start(false)
}

// awaitEnds waits until the workers have ended all that was accepted.
func (r *run) awaitEnds(ctx context.Context) {
	for {
		count := r.ledger.Count()
		if count.Ended == count.Accepted || !sleep(ctx, waitPause) {
			return
		}
	}
}

// stopAll ends the processes in order, so that each shows that it can: dispatchers first, control last.
func (r *run) stopAll() {
	groups := [][]*process{r.deployment.dispatchers, r.deployment.stores, r.deployment.controls}
	for _, group := range groups {
		ends := make(chan bool, len(group))
		for _, one := range group {
			go func() { ends <- one.terminate(grace) }()
		}
		for range group {
			if !<-ends {
				r.say("a process did not end within its grace period and was killed")
			}
		}
	}
}

func (r *run) verdict(account *account) *Verdict {
	v := &Verdict{Completed: account.completed, Dead: account.dead, Repeats: r.ledger.repeats()}
	v.Accepted, v.Offered = r.traffic.share()
	v.Broken = append(v.Broken, account.broken...)
	v.Broken = append(v.Broken, r.ledger.Check()...)
	if err := r.deployment.fault(); err != nil {
		v.Broken = append(v.Broken, err.Error())
	}
	if float64(v.Accepted) < leastShare*float64(v.Offered) {
		v.Broken = append(v.Broken, fmt.Sprintf("%d of %d messages were accepted, %.0f %% at least are wanted", v.Accepted, v.Offered, leastShare*100))
	}
	return v
}

// tick prints a line a second.
func (r *run) tick(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		count := r.ledger.Count()
		r.say("accepted %d, ended %d, refused %d, unknown %d, runs %d; %s",
			count.Accepted, count.Ended, count.Promised, count.Unknown, count.Runs, r.leadership(ctx))
	}
}

// leadership says in words who leads, and how the stores are.
func (r *run) leadership(ctx context.Context) string {
	known := r.operator.status(ctx)
	if known == nil {
		return "no leader"
	}
	leased, behind := 0, uint64(0)
	for _, store := range known.Stores {
		if store.Lease {
			leased++
		}
		behind += store.UnderCopied
	}
	return fmt.Sprintf("epoch %d, %d of %d stores hold a lease, %d dispatchers in, %d copies to restore",
		known.Epoch, leased, len(known.Stores), r.entry.ready(), behind)
}

func (r *run) say(format string, arguments ...any) {
	fmt.Fprintf(r.options.Out, "%5.1f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// sleep waits, and reports false if the context ended.
func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
