package controlplane

import (
	"net/http"
	"sort"
	"time"
)

// Status is the response of GET /internal/status. A process that does not lead fills in only what it knows.
type Status struct {
	Address          string             `json:"address"`
	Identity         string             `json:"identity"`
	Leader           bool               `json:"leader"`
	LeaderAddress    string             `json:"leaderAddress"`
	Epoch            uint64             `json:"epoch"`
	Voter            bool               `json:"voter"`
	ConfigVersion    uint64             `json:"configVersion"`
	MapVersion       uint64             `json:"mapVersion"`
	Streams          int                `json:"streams"`
	Voters           []string           `json:"voters"`
	VotersWanted     int                `json:"votersWanted"`     // required by the fault tolerance in the settings
	VotersChanging   bool               `json:"votersExchanging"` // until the change ends, a majority of the old voters is needed as well
	ControlAddresses []string           `json:"controlAddresses"`
	Stores           []StoreStatus      `json:"stores"`
	Dispatchers      []DispatcherStatus `json:"dispatchers"`
	Partitions       map[string]int     `json:"partitions"` // number of owned partitions by machine
	Ownerships       []OwnershipStatus  `json:"ownerships"` // by partition
	Retirements      map[string]string  `json:"retirements"`
	FaultTolerance   int                `json:"faultTolerance"` // stores that may fail at the same time
}

// PendingTakeovers returns the number of partitions whose owner has not completed the takeover, and the active stores that
// hold no lease. An owner must first learn which copies the other stores hold. If more stores hold no lease than may fail at
// the same time, takeovers wait until some of them return or are abandoned.
func (s *Status) PendingTakeovers() (partitions int, silent []string) {
	for _, store := range s.Stores {
		switch {
		case store.Lease:
			partitions += max(0, s.Partitions[store.Node]-store.Ready)
		case store.Address != "" && s.Retirements[store.Node] != retirementCompleted:
			silent = append(silent, store.Node)
		}
	}
	return partitions, silent
}

// OwnershipStatus describes the owner of a partition. Node is empty if there is none, Successor if the partition is not
// being handed over.
type OwnershipStatus struct {
	Partition int    `json:"partition"`
	Node      string `json:"node"`
	Epoch     uint64 `json:"epoch"`
	Releasing bool   `json:"releasing"`
	Successor string `json:"successor"`
}

// StoreStatus describes a store. AgeMs is the time since its latest renewal in this term, -1 if there was none. The
// versions, counts and flags other than Whole and Leaving are known only at the leader.
type StoreStatus struct {
	Node          string `json:"node"`
	Zone          string `json:"zone"`
	Address       string `json:"address"`
	Incarnation   string `json:"incarnation"`
	Whole         bool   `json:"whole"`
	Leaving       bool   `json:"leaving"`
	Impaired      bool   `json:"impaired"` // its disk was full or did not respond within the last seconds
	Lease         bool   `json:"lease"`
	AgeMs         int64  `json:"ageMs"`
	MapVersion    uint64 `json:"mapVersion"`
	ConfigVersion uint64 `json:"configVersion"`
	ListVersion   uint64 `json:"listVersion"`
	Ready         int    `json:"ready"`       // owned partitions whose takeover is complete
	Backlog       uint64 `json:"backlog"`     // messages that have not ended
	UnderCopied   uint64 `json:"underCopied"` // messages with too few copies
}

// DispatcherStatus describes a dispatcher that renewed in this term. AgeMs is the time since its latest renewal.
type DispatcherStatus struct {
	Node          string `json:"node"`
	Zone          string `json:"zone"`
	AgeMs         int64  `json:"ageMs"`
	MapVersion    uint64 `json:"mapVersion"`
	ConfigVersion uint64 `json:"configVersion"`
	ListVersion   uint64 `json:"listVersion"`
}

func (s *Server) handleStatus(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, s.Status())
}

// Status returns the status of this process and, at the leader, of the members of the system.
func (s *Server) Status() Status {
	known := s.node.Status()
	state := s.state.committed()
	status := Status{
		Address:          s.address,
		Identity:         known.Identity,
		Leader:           known.Leader,
		LeaderAddress:    s.leaderAddress(),
		Epoch:            known.Epoch,
		Voter:            known.Voter,
		ConfigVersion:    state.ConfigVersion,
		MapVersion:       state.MapVersion,
		Streams:          s.hub.SubscriberCount(),
		ControlAddresses: s.controlAddresses(),
		Partitions:       make(map[string]int),
		Retirements:      make(map[string]string),
		FaultTolerance:   s.requiredCopies() - 1,
		VotersWanted:     s.wantedVoters(),
		VotersChanging:   known.MembershipChanging,
	}
	for _, member := range known.Members {
		status.Voters = append(status.Voters, member.Address)
	}
	for partition, ownership := range state.Partitions {
		status.Partitions[ownership.Node]++
		status.Ownerships = append(status.Ownerships, OwnershipStatus{
			Partition: partition,
			Node:      ownership.Node,
			Epoch:     ownership.Epoch,
			Releasing: ownership.Releasing,
			Successor: ownership.Successor,
		})
	}
	for _, retirement := range state.Retirements {
		status.Retirements[retirement.Node] = retirementState(retirement)
	}
	for _, store := range state.Stores {
		status.Stores = append(status.Stores, StoreStatus{
			Node:        store.Node,
			Zone:        store.Zone,
			Address:     store.Address,
			Incarnation: store.Incarnation,
			Whole:       store.Whole,
			Leaving:     store.Leaving,
			AgeMs:       -1,
		})
	}
	if current := s.currentTerm(); current != nil {
		current.describe(&status, time.Now())
	}
	return status
}

// describe adds what only the leader knows to a status.
func (t *term) describe(status *Status, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for index := range status.Stores {
		store := &status.Stores[index]
		known := t.stores[store.Node]
		if known == nil || known.incarnation != store.Incarnation {
			continue
		}
		store.Lease = t.leases.alive(store.Node, store.Incarnation, now)
		store.AgeMs = now.Sub(known.renewedAt).Milliseconds()
		store.Leaving = store.Leaving || known.leaving
		store.Impaired = known.impaired(now)
		store.MapVersion = known.mapVersion
		store.ConfigVersion = known.configVersion
		store.ListVersion = known.listVersion
		store.Ready = known.readyCount
		store.Backlog = known.backlog
		store.UnderCopied = known.underCopied
	}
	for node, known := range t.dispatchers {
		status.Dispatchers = append(status.Dispatchers, DispatcherStatus{
			Node:          node,
			Zone:          known.zone,
			AgeMs:         now.Sub(known.renewedAt).Milliseconds(),
			MapVersion:    known.mapVersion,
			ConfigVersion: known.configVersion,
			ListVersion:   known.listVersion,
		})
	}
	sort.Slice(status.Dispatchers, func(i, j int) bool {
		return status.Dispatchers[i].Node < status.Dispatchers[j].Node
	})
}
