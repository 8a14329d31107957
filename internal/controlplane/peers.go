package controlplane

import (
	"slices"
	"sync"
	"time"

	"foldlb.example/foldlb/internal/rpc"
)

// peerExpiry is how long a control process stays in the peer table after its last Join.
const peerExpiry = 8 * time.Second

// peer is a control process that has sent a Join.
type peer struct {
	id      string // identity of its disk; empty if it has none
	address string
	zone    string
	disk    bool
	seenAt  time.Time

	storeLease time.Duration // longest lease that it would grant to a store
}

// peerTable holds the control processes that have sent a Join, by address. A later identity at an address
// replaces the earlier one.
type peerTable struct {
	mutex sync.Mutex
	peers map[string]peer
}

func newPeerTable() *peerTable {
	return &peerTable{peers: make(map[string]peer)}
}

// record stores the sender of a Join, received now.
func (p *peerTable) record(request *rpc.JoinRequest, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.peers[request.Address] = peer{
		id:      request.Id,
		address: request.Address,
		zone:    request.Zone,
		disk:    request.Disk,
		seenAt:  now,

		storeLease: storeLeaseFromWire(request.StoreLeaseMs),
	}
}

// recent returns the processes that sent a Join within peerExpiry, sorted by address, and removes all others.
func (p *peerTable) recent(now time.Time) []peer {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	recent := make([]peer, 0, len(p.peers))
	for address, known := range p.peers {
		if now.Sub(known.seenAt) > peerExpiry {
			delete(p.peers, address)
			continue
		}
		recent = append(recent, known)
	}
	slices.SortFunc(recent, func(left, right peer) int {
		if left.address < right.address {
			return -1
		}
		return 1
	})
	return recent
}
