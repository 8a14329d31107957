package cluster

import (
	"context"
	"time"

	"foldlb.example/foldlb/internal/rpc"
)

// renewLoop renews the lease at each interval, and at once on request.
func (c *Client) renewLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.renewNow:
		case <-timer.C:
		}
		started := time.Now()
		delay := c.renew(ctx)
		if !sleep(ctx, minRenewInterval-time.Since(started)) {
			return
		}
		timer.Reset(delay)
	}
}

// renew sends one renewal and returns the delay before the next.
func (c *Client) renew(ctx context.Context) time.Duration {
	address := c.book.candidate()
	if address == "" {
		return noCandidateDelay
	}
	callCtx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := c.clientCache.control(address).Renew(callCtx, c.renewRequest())
	defer c.logNoLeader()
	if err != nil {
		c.book.recordFailure(address)
		return c.retryDelay()
	}
	return c.handleRenewReply(address, reply, sent)
}

// handleRenewReply handles the reply to a renewal and returns the delay before the next one. All that the reply
// grants or confirms counts from the time the renewal was sent.
func (c *Client) handleRenewReply(address string, reply *rpc.RenewReply, sent time.Time) time.Duration {
	c.book.add(reply.ControlAddresses)
	if !reply.Leader {
		if c.book.followRedirect(address, reply.LeaderAddress) {
			return 0
		}
		return c.retryDelay()
	}
	c.book.recordLeader(address, reply.LeaderEpoch)
	c.confirmations.Record(reply.ConfigVersion, sent)
	if !reply.Granted {
		return refusedRetryDelay
	}
	c.logLeaderBack(sent)
	c.lease.renew(sent, time.Duration(reply.LeaseMs)*time.Millisecond)
	return c.options.renewInterval()
}

// noLeaderLogAfter is the least time without a granted renewal that is logged: once during it, and once after it.
const noLeaderLogAfter = 3 * time.Second

// logLeaderBack logs how long no renewal had been granted before the one sent at the given time.
func (c *Client) logLeaderBack(sent time.Time) {
	elapsed := c.lease.sinceGrant() - time.Since(sent)
	if elapsed < noLeaderLogAfter || c.View().ConfigVersion == 0 {
		return
	}
	c.options.Log.Info("control-plane leader available again", "after", elapsed.Round(time.Millisecond).String(), "configuration", c.View().ConfigVersion)
}

// logNoLeader logs once that no renewal has been granted for noLeaderLogAfter, with the known control addresses.
func (c *Client) logNoLeader() {
	elapsed := c.lease.sinceGrant()
	if elapsed < noLeaderLogAfter {
		c.noLeaderLogged = false
		return
	}
	if c.noLeaderLogged {
		return
	}
	c.noLeaderLogged = true
	c.options.Log.Info("no control-plane leader available", "for", elapsed.Round(time.Millisecond).String(), "asked", c.book.all())
}

// retryDelay returns the delay before the next control address is tried. It limits tries of each address to a few per
// second.
func (c *Client) retryDelay() time.Duration {
	if c.book.count() > 1 {
		return candidateDelay
	}
	return noCandidateDelay
}

// renewRequest describes this process and acknowledges the versions that all callbacks have seen.
func (c *Client) renewRequest() *rpc.RenewRequest {
	view := c.notifiedView.Load()
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

// Release gives up the ownership of partitions. It tries the control addresses until the leader has accepted the
// release. If the context ends first, it returns a *ReleaseError.
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
	callCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	reply, err := c.clientCache.control(address).Release(callCtx, request)
	if err != nil {
		c.book.recordFailure(address)
		return false
	}
	return reply.Ok
}

// sleep waits for a duration. It returns false if the context ended first.
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
