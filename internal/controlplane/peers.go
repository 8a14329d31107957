package controlplane

import (
	"slices"
	"sync"
	"time"

	"foldlb.example/foldlb/internal/rpc"
)

// peerExpiry is how long a control process counts after it was heard last.
const peerExpiry = 8 * time.Second

// peer is a control process that has joined.
type peer struct {
	id       string // identity of its disk; empty where it has none
	address  string
	zone     string
	disk     bool
	lastSeen time.Time

	storeLease time.Duration // that it would grant
}

// peerTable holds the control processes that have joined, by address. A later identity at an address takes
// the place of the earlier one.
type peerTable struct {
	mutex sync.Mutex
	peers map[string]peer
}

func newPeerTable() *peerTable {
	return &peerTable{peers: make(map[string]peer)}
}

// note records that a process was heard.
func (p *peerTable) record(request *rpc.JoinRequest, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.peers[request.Address] = peer{
		id:       request.Id,
		address:  request.Address,
		zone:     request.Zone,
		disk:     request.Disk,
		lastSeen: now,

		storeLease: storeLeaseFromWire(request.StoreLeaseMs),
	}
}

// heard returns the processes that were heard within peerExpiry, by address in rising order.
func (p *peerTable) recent(now time.Time) []peer {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	recent := make([]peer, 0, len(p.peers))
	for address, known := range p.peers {
		if now.Sub(known.lastSeen) > peerExpiry {
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
