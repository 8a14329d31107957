package controlplane

import (
	"context"
	"time"

	"foldlb.example/foldlb/coord/failover"
	"foldlb.example/foldlb/internal/rpc"
)

// Leases of stores can outlast the leader that granted them, so each leader must know the longest duration that earlier leaders may have
// granted. The committed state records a duration that no leader exceeds: the longest reported by the processes that may become the leader.
// Versions with different durations can thus run side by side.
const (
	defaultStoreLease = 1500 * time.Millisecond
	// unspecifiedStoreLease is the duration of versions that report none.
	unspecifiedStoreLease = 1500 * time.Millisecond
)

// recordedStoreLease returns the recorded lease duration, which no leader exceeds.
func recordedStoreLease(state *rpc.ControlState) time.Duration {
	return storeLeaseFromWire(state.StoreLeaseMs)
}

// storeLeaseFromWire converts a lease duration in ms; unset stands for unspecifiedStoreLease.
func storeLeaseFromWire(milliseconds int64) time.Duration {
	if milliseconds <= 0 {
		return unspecifiedStoreLease
	}
	return time.Duration(milliseconds) * time.Millisecond
}

// requiredStoreLease returns the duration to record: the longest that any process with a disk would grant. A voter that sent no recent Join
// may run any version, so the recorded duration is not shortened while there is one.
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

// mayRecordStoreLease reports whether the required duration may be recorded now. A longer one may be recorded at once, a shorter one once the
// leases granted by earlier leaders are over; this leader has granted none that is longer.
func (t *term) mayRecordStoreLease(recorded, required time.Duration, now time.Time) bool {
	return required > recorded || required < recorded && now.Sub(t.started) >= recorded+leaseMargin
}

// updateStoreLease records the required lease duration if it differs. It reports whether the state contains the required duration or a longer
// one.
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
		s.log.V(1).Info("the duration of store leases was not recorded", "error", err.Error())
		return required < recorded
	}
	s.log.Info("the duration of store leases changed", "before", recorded.String(), "now", required.String())
	return true
}
