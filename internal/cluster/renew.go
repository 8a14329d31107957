package cluster

import (
	"context"
	"time"

	"foldlb.example/foldlb/internal/rpc"
)

// renewLoop renews the lease at each interval, and at once after a kick.
func (c *Client) renewLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.kicks:
		case <-timer.C:
		}
		started := time.Now()
		delay := c.renew(ctx)
		if !sleep(ctx, minRenewGap-time.Since(started)) {
			return
		}
		timer.Reset(delay)
	}
}

// renew sends one renewal and returns the time until the next.
func (c *Client) renew(ctx context.Context) time.Duration {
	address := c.book.candidate()
	if address == "" {
		return noCandidateDelay
	}
	bounded, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := c.clients.control(address).Renew(bounded, c.renewRequest())
	defer c.tellNoLeader()
	if err != nil {
		c.book.fail(address)
		return c.retryDelay()
	}
	return c.takeReply(address, reply, sent)
}

// takeReply takes the answer of a process to a renewal that was sent at a moment, and returns the time until the next renewal. All that it
// grants or confirms counts from that moment.
func (c *Client) takeReply(address string, reply *rpc.RenewReply, sent time.Time) time.Duration {
	c.book.learn(reply.ControlAddresses)
	if !reply.Leader {
		if c.book.redirect(address, reply.LeaderAddress) {
			return 0
		}
		return c.retryDelay()
	}
	c.book.confirm(address, reply.LeaderEpoch)
	c.confirmations.Record(reply.ConfigVersion, sent)
	if !reply.Granted {
		return refusedRetryDelay
	}
	c.tellSilence(sent)
	c.lease.renew(sent, time.Duration(reply.LeaseMs)*time.Millisecond)
	return c.options.renewInterval()
}

// toldSilence is the shortest time without a leader that is logged: once while it lasts, and once it is over.
const toldSilence = 3 * time.Second

// tellSilence logs for how long no renewal had been granted when one was sent that is.
func (c *Client) tellSilence(sent time.Time) {
	silent := c.lease.age() - time.Since(sent)
	if silent < toldSilence || c.View().ConfigVersion == 0 {
		return
	}
	c.options.Log.Info("a leader answers again", "after", silent.Round(time.Millisecond).String(), "configuration", c.View().ConfigVersion)
}

// tellNoLeader logs once that no renewal has been granted for some time, and who was asked.
func (c *Client) tellNoLeader() {
	silent := c.lease.age()
	if silent < toldSilence {
		c.toldNoLeader = false
		return
	}
	if c.toldNoLeader {
		return
	}
	c.toldNoLeader = true
	c.options.Log.Info("no leader answers", "for", silent.Round(time.Millisecond).String(), "asked", c.book.known())
}

// retryDelay spaces the tries of control addresses so that each is tried a few times a second at most.
func (c *Client) retryDelay() time.Duration {
	if c.book.count() > 1 {
		return candidateDelay
	}
	return noCandidateDelay
}

// renewRequest describes this process and acknowledges what is in force here.
func (c *Client) renewRequest() *rpc.RenewRequest {
	view := c.inForce.Load()
	request := &rpc.RenewRequest{
		Node:          c.options.Settings.Node,
		Incarnation:   c.options.Incarnation,
		Zone:          c.options.Settings.Zone,
		Role:          c.options.Role,
		Disk:          c.options.Disk,
		Address:       c.options.Address,
		FreshDisk:     c.options.FreshDisk,
		ConfigVersion: view.ConfigVersion,
		MapVersion:    view.Map.GetVersion(),
		ListEpoch:     view.Workers.GetEpoch(),
		ListVersion:   view.Workers.GetVersion(),
	}
	if c.options.Status != nil {
		c.options.Status(request)
	}
	return request
}

// Release gives up the ownership of partitions. It tries control addresses until the leader has taken the
// release or the context ends, and then returns a *ReleaseError.
func (c *Client) Release(ctx context.Context, partitions []*rpc.PartitionEpoch) error {
	request := &rpc.ReleaseRequest{
		Node:        c.options.Settings.Node,
		Incarnation: c.options.Incarnation,
		Partitions:  partitions,
	}
	for {
		if c.release(ctx, request) {
			return nil
		}
		if !sleep(ctx, noCandidateDelay) {
			return &ReleaseError{Partitions: len(partitions), Cause: ctx.Err()}
		}
	}
}

func (c *Client) release(ctx context.Context, request *rpc.ReleaseRequest) bool {
	address := c.book.candidate()
	if address == "" {
		return false
	}
	bounded, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	reply, err := c.clients.control(address).Release(bounded, request)
	if err != nil {
		c.book.fail(address)
		return false
	}
	return reply.Ok
}

// sleep waits and reports whether the context still holds.
func sleep(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
