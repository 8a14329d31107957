package controlplane

import (
	"net/http"
	"sort"
	"time"
)

// Status is what GET /internal/status answers.
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
	VotersWanted     int                `json:"votersWanted"`     // for the fault tolerance of the settings
	VotersChanging   bool               `json:"votersExchanging"` // until this ends, a further loss counts for the voters before as well
	ControlAddresses []string           `json:"controlAddresses"`
	Stores           []StoreStatus      `json:"stores"`
	Dispatchers      []DispatcherStatus `json:"dispatchers"`
	Partitions       map[string]int     `json:"partitions"` // number owned by each machine
	Ownerships       []OwnershipStatus  `json:"ownerships"` // in the order of the partitions
	Retirements      map[string]string  `json:"retirements"`
	FaultTolerance   int                `json:"faultTolerance"` // stores that may be lost at one time
}

// Waiting returns how many partitions have an owner that does not yet know what other stores hold of them, and the stores that hold no
// lease. Where those are more than may be lost, the partitions wait until some come back or are abandoned.
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

// OwnershipStatus tells who owns a partition. Node is empty for none, Successor where it is not being handed over.
type OwnershipStatus struct {
	Partition int    `json:"partition"`
	Node      string `json:"node"`
	Epoch     uint64 `json:"epoch"`
	Releasing bool   `json:"releasing"`
	Successor string `json:"successor"`
}

// StoreStatus is what the leader knows of a store. AgeMs is the time since its newest renewal, -1 for never.
type StoreStatus struct {
	Node          string `json:"node"`
	Zone          string `json:"zone"`
	Address       string `json:"address"`
	Incarnation   string `json:"incarnation"`
	Whole         bool   `json:"whole"`
	Leaving       bool   `json:"leaving"`
	Impaired      bool   `json:"impaired"` // its disk was full or did not answer lately
	Lease         bool   `json:"lease"`
	AgeMs         int64  `json:"ageMs"`
	MapVersion    uint64 `json:"mapVersion"`
	ConfigVersion uint64 `json:"configVersion"`
	ListVersion   uint64 `json:"listVersion"`
	Ready         int    `json:"ready"`
	Backlog       uint64 `json:"backlog"`
	UnderCopied   uint64 `json:"underCopied"`
}

// DispatcherStatus is what the leader knows of a dispatcher.
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

// Status describes this process and, at the leader, the members of the system.
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
		FaultTolerance:   s.copies() - 1,
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

// describe adds what only the leader knows.
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
