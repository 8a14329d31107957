package storenode

import (
	"context"
	"time"

	"foldlb.example/foldlb/internal/delivery"
	"foldlb.example/foldlb/internal/message"
	"foldlb.example/foldlb/internal/rpc"
)

// The owner of the partition of a service's name owns the service's rate.

const permitCallTimeout = 1200 * time.Millisecond // longer than an owner lets a call wait

// rateOwnership implements delivery.RateOwnership by the partition map.
type rateOwnership struct{ node *Node }

// Epoch implements delivery.RateOwnership. It is the epoch of the partition, while attempts may start there.
func (r rateOwnership) Epoch(service string) uint64 {
	n := r.node
	partitions := n.cluster.View().Partitions()
	if partitions == 0 || !n.cluster.LeaseValid() {
		return 0
	}
	return n.attemptEpochs[message.PartitionForKey(service, partitions)].Load()
}

// RequestPermits implements delivery.RateOwnership.
func (r rateOwnership) RequestPermits(service string, count int, done func(granted int, until time.Duration)) {
	go func() { done(r.node.requestPermits(service, count)) }()
}

// requestPermits asks the owner of a service's rate for permits. It returns their number, and the time until which they may be used. As the
// call reached the owner after it was sent, what the owner granted after a wait was granted later than that wait after the sending.
func (n *Node) requestPermits(service string, count int) (granted int, until time.Duration) {
	view := n.cluster.View()
	if view.Partitions() == 0 {
		return 0, 0
	}
	owner, _, ok := view.Owner(message.PartitionForKey(service, view.Partitions()))
	if !ok || owner.Disk == n.disk {
		return 0, 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), permitCallTimeout)
	defer cancel()
	sent := n.now()
	reply, err := n.cluster.Store(owner.Address).AcquirePermits(ctx, &rpc.AcquirePermitsRequest{Service: service, Count: uint32(count)})
	if err != nil {
		return 0, 0
	}
	n.counters.permitsReceived.Add(uint64(reply.Granted))
	return int(reply.Granted), sent + time.Duration(reply.WaitedUs)*time.Microsecond + delivery.PermitValidity
}

// AcquirePermits implements rpc.Store: it grants permits from the rate that this store owns.
func (n *Node) AcquirePermits(ctx context.Context, request *rpc.AcquirePermitsRequest) (*rpc.AcquirePermitsReply, error) {
	replies := make(chan *rpc.AcquirePermitsReply, 1)
	n.engine.GrantPermits(request.Service, int(request.Count), func(granted int, waited time.Duration) {
		replies <- &rpc.AcquirePermitsReply{Granted: uint32(granted), WaitedUs: waited.Microseconds()}
	})
	select {
	case reply := <-replies:
		n.counters.permitsGranted.Add(uint64(reply.Granted))
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
