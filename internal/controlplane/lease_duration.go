package controlplane

import (
	"context"
	"time"

	"foldlb.example/foldlb/coord/failover"
	"foldlb.example/foldlb/internal/rpc"
)

// Leases of stores outlast their leader, so each leader must know how long those may be that earlier ones have granted. The committed state
// records a length that no leader exceeds. It is the longest of those that the processes that may lead have told; versions with different
// lengths may thus run side by side.
const (
	defaultStoreLease = 1500 * time.Millisecond
	// unspecifiedStoreLease is that of versions that tell no length.
	unspecifiedStoreLease = 1500 * time.Millisecond
)

// recordedStoreLease is the length that no leader exceeds.
func recordedStoreLease(state *rpc.ControlState) time.Duration {
	return storeLeaseFromWire(state.StoreLeaseMs)
}

func storeLeaseFromWire(milliseconds int64) time.Duration {
	if milliseconds <= 0 {
		return unspecifiedStoreLease
	}
	return time.Duration(milliseconds) * time.Millisecond
}

// requiredStoreLease is the length to record: the longest of those that the processes with a disk would grant. One that votes and has not been
// heard may be of any version, so nothing is shortened meanwhile.
func requiredStoreLease(recorded, own time.Duration, voters []failover.Member, recent []peer) time.Duration {
	required := own
	for _, known := range recent {
		if known.disk {
			required = max(required, known.storeLease)
		}
	}
	for _, voter := range voters {
		if !containsPeer(recent, voter.ID) {
			required = max(required, recorded)
		}
	}
	return required
}

// mayRecordStoreLease reports whether a length may be recorded now. A longer one may at once. A shorter one may once the leases of earlier leaders are
// over; this leader has granted none that is longer.
func (t *term) mayRecordStoreLease(recorded, required time.Duration, now time.Time) bool {
	return required > recorded || required < recorded && now.Sub(t.started) >= recorded+leaseMargin
}

// updateStoreLease records the length of leases where another is wanted. It reports whether the state names the length that is wanted, or a
// longer one.
func (s *Server) updateStoreLease(t *term, recent []peer, now time.Time) bool {
	recorded := recordedStoreLease(s.state.committed())
	required := requiredStoreLease(recorded, s.storeLease, s.node.Status().Members, recent)
	if !t.mayRecordStoreLease(recorded, required, now) {
		return true
	}
	ctx, cancel := context.WithTimeout(t.context, proposeTimeout)
	defer cancel()
	err := s.state.change(ctx, func(state *rpc.ControlState) error {
		state.StoreLeaseMs = required.Milliseconds()
		return nil
	})
	if err != nil {
		s.log.V(1).Info("the length of leases was not recorded", "error", err.Error())
		return required < recorded
	}
	s.log.Info("leases of stores have another length", "before", recorded.String(), "now", required.String())
	return true
}
