package cluster

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"foldlb.example/foldlb/coord/watch"
	"foldlb.example/foldlb/internal/rpc"
	"foldlb.example/foldlb/internal/workerlist"
)

// watchPath is the path of the stream of updates on control processes.
const watchPath = "/internal/watch"

// followLoop follows the leader's stream, and reconnects when the stream ends or another process leads.
func (c *Client) followLoop(ctx context.Context) {
	client := &watch.Client{HTTP: c.options.streamClient()}
	defer client.HTTP.CloseIdleConnections()
	for ctx.Err() == nil {
		_, leaderChanged := c.book.watchLeader()
		address := c.book.candidate()
		if address != "" && c.follow(ctx, client, address) {
			continue
		}
		awaitLeader(ctx, leaderChanged)
	}
}

// awaitLeader waits before the next attempt to open a stream: until a renewal finds a leader, or for
// noCandidateDelay.
func awaitLeader(ctx context.Context, leaderChanged <-chan struct{}) {
	timer := time.NewTimer(noCandidateDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-leaderChanged:
	case <-timer.C:
	}
}

// follow reads the stream of one process until it ends. It reports whether to reconnect at once.
func (c *Client) follow(ctx context.Context, client *watch.Client, address string) bool {
	streamCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := c.cancelWhenStale(streamCtx, cancel, address)
	defer stop()
	err := client.Follow(streamCtx, "http://"+address+watchPath+c.streamQuery(), c.onFrame)
	if ctx.Err() != nil || streamCtx.Err() != nil {
		return true
	}
	refusal := &watch.NotStreamingError{}
	if errors.As(err, &refusal) {
		return c.book.followRedirect(address, refusal.Leader)
	}
	c.options.Log.V(1).Info("update stream ended", "address", address, "cause", err.Error())
	c.book.recordFailure(address)
	return false
}

// firstFrameTimeout is how long a stream may take to deliver its leader's epoch. A new leader has to send to all
// subscribers at once.
const firstFrameTimeout = 600 * time.Millisecond

// cancelWhenStale cancels a stream once a renewal shows that it will deliver nothing more. The returned function
// stops this and waits until it has stopped.
func (c *Client) cancelWhenStale(ctx context.Context, cancel context.CancelFunc, address string) func() {
	done := make(chan struct{})
	initial, _ := c.book.watchLeader()
	firstFrame := time.NewTimer(firstFrameTimeout)
	go func() {
		defer close(done)
		defer firstFrame.Stop()
		firstFrameDue := false // firstFrameTimeout has passed
		for {
			leader, leaderChanged := c.book.watchLeader()
			if c.leaderIsElsewhere(address, leader) || firstFrameDue && c.missedNewEpoch(initial, leader) {
				cancel()
				return
			}
			select {
			case <-ctx.Done():
				return
			case <-leaderChanged:
			case <-firstFrame.C:
				firstFrameDue = true
			}
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// leaderIsElsewhere reports whether the leader has another address than the stream.
func (c *Client) leaderIsElsewhere(address string, leader leadership) bool {
	return leader.address != "" && leader.address != address && c.book.candidate() != address
}

// missedNewEpoch reports whether an epoch later than the stream's has begun that the stream has not delivered. If a
// leader loses power and leads again at the same address, its earlier streams deliver nothing and do not end.
func (c *Client) missedNewEpoch(initial, leader leadership) bool {
	return leader.epoch > initial.epoch && leader.epoch > c.view.Load().LeaderEpoch
}

// streamQuery returns the query of the stream: which parts are not needed, which versions are present, and that
// changes are accepted instead of complete parts.
func (c *Client) streamQuery() string {
	subscription := watch.Subscription{AcceptDeltas: true, Urgent: c.options.Role == RoleStore}
	if !c.needsSnapshot.Swap(false) {
		subscription.HeldVersions = c.view.Load().partVersions()
	}
	if c.options.Role == RoleDispatcher {
		subscription.ExcludedParts = []int{rpc.StreamWorkers}
	}
	return subscription.Query()
}

// onFrame applies one frame of the stream. An empty frame is a keep-alive.
func (c *Client) onFrame(frame []byte) error {
	if len(frame) == 0 {
		return nil
	}
	update, err := rpc.DecodeView(frame)
	if err != nil {
		return err
	}
	return c.apply(update)
}

// apply applies the newer parts of an update. It returns an error if the update is from a leader that has been
// replaced, or if a change does not match the current version; the latter makes the next stream start with complete
// parts.
func (c *Client) apply(update *rpc.View) error {
	c.applyMutex.Lock()
	defer c.applyMutex.Unlock()
	current := c.view.Load()
	if update.LeaderEpoch < current.LeaderEpoch {
		return &StaleLeaderError{Epoch: update.LeaderEpoch, Seen: current.LeaderEpoch}
	}
	c.book.add(update.ControlAddresses)
	next, changed, err := current.merge(update)
	if err != nil {
		c.options.Log.Error(err, "part of an update was not applied")
	}
	if changed || next.LeaderEpoch != current.LeaderEpoch {
		c.view.Store(next)
		close(current.superseded)
	}
	if isMismatch(err) {
		c.needsSnapshot.Store(true)
		return err
	}
	return nil
}

// isMismatch reports whether an error is due to a change that does not match the current version.
func isMismatch(err error) bool {
	config, workers := (*ConfigChangeError)(nil), (*workerlist.MismatchError)(nil)
	return errors.As(err, &config) || errors.As(err, &workers)
}
