package controlplane

import (
	"context"
	"net/http"
	"slices"
	"time"

	"foldlb.example/foldlb/coord/watch"
	"foldlb.example/foldlb/internal/catalog"
	"foldlb.example/foldlb/internal/rpc"
	"foldlb.example/foldlb/internal/settings"
	"foldlb.example/foldlb/internal/workerlist"
)

// Intervals at which the leader's lease is checked. Its start also triggers a check, its end does not.
const (
	leaderCheckInterval   = 200 * time.Millisecond
	followerCheckInterval = 2 * time.Second
)

// wakeLeadership triggers a check of the leadership and of the committed state.
func (s *Server) wakeLeadership() {
	select {
	case s.leadershipWake <- struct{}{}:
	default:
	}
}

// runLeadership begins and ends terms and publishes the committed state until the context ends.
func (s *Server) runLeadership(ctx context.Context) {
	timer := time.NewTimer(followerCheckInterval)
	defer timer.Stop()
	for {
		s.checkLeadership()
		if s.currentTerm() == nil {
			timer.Reset(followerCheckInterval)
		} else {
			timer.Reset(leaderCheckInterval)
		}
		select {
		case <-timer.C:
		case <-s.leadershipWake:
		case <-ctx.Done():
			s.endTerm()
			return
		}
	}
}

func (s *Server) checkLeadership() {
	status := s.node.Status()
	current := s.currentTerm()
	if current != nil && (!status.Leader || status.Epoch != current.epoch) {
		s.endTerm()
		current = nil
	}
	if status.Leader && current == nil {
		current = s.beginTerm(status.Epoch)
	}
	if current != nil {
		s.publishState()
	}
}

// currentTerm returns the term of this process, nil while it doesn't lead.
func (s *Server) currentTerm() *term {
	return s.term.Load()
}

// beginTerm publishes the committed state under the new epoch before anyone can subscribe. The list of workers
// is published only once it was read from the platform; until then subscribers keep the list that they have.
func (s *Server) beginTerm(epoch uint64) *term {
	started := newTerm(epoch, s.state.committed(), s.storeLease, time.Now())
	s.published = publishedVersions{}
	s.hub.Publish(headerPart(epoch), watch.Part{Index: partWorkers})
	s.publishState()
	s.term.Store(started)
	s.startTermWork(started)
	return started
}

// startTermWork starts the goroutines that run only at the leader. They end with the term.
func (s *Server) startTermWork(started *term) {
	s.background.Add(4)
	go func() {
		defer s.background.Done()
		s.runPlanner(started)
	}()
	go func() {
		defer s.background.Done()
		s.runContacts(started)
	}()
	go func() {
		defer s.background.Done()
		s.runMembership(started)
	}()
	go func() {
		defer s.background.Done()
		s.runDiscovery(started)
	}()
}

// endTerm stops the goroutines of the term and closes all streams.
func (s *Server) endTerm() {
	ended := s.term.Swap(nil)
	if ended == nil {
		return
	}
	ended.cancel()
	s.hub.DisconnectAll()
}

// runDiscovery streams the platform's list of workers until the term ends.
func (s *Server) runDiscovery(t *term) {
	configured := func() settings.Cloud { return s.settings().Cloud }
	reader := newDiscovery(configured, s.discoveryWake, s.platform, s.log)
	var before *rpc.WorkerList
	reader.run(t.context, func(workers []*rpc.Worker) {
		t.mutex.Lock()
		t.listVersion++
		version := t.listVersion
		t.mutex.Unlock()
		list := workerlist.New(t.epoch, version, workers)
		if t.context.Err() == nil {
			s.hub.Publish(workersPart(before, list))
			before = list
		}
	})
}

// publishedVersions describes what was streamed last. Only the goroutine of runLeadership accesses it.
type publishedVersions struct {
	any           bool // whether anything was published in this term
	configVersion uint64
	catalog       *catalog.Config // the configuration of that version; nil if it can't be parsed
	mapVersion    uint64
	addresses     []string
}

// publishState publishes the parts of the committed state that have changed.
func (s *Server) publishState() {
	state := s.state.committed()
	last := &s.published
	if !last.any || last.configVersion != state.ConfigVersion {
		s.publishConfig(state)
	}
	if !last.any || last.mapVersion != state.MapVersion {
		s.hub.Publish(mapPart(state, s.requiredCopies()))
		last.mapVersion = state.MapVersion
	}
	addresses := s.controlAddresses()
	if !last.any || !slices.Equal(last.addresses, addresses) {
		s.hub.Publish(addressesPart(addresses))
		last.addresses = addresses
	}
	last.any = true
}

// publishConfig publishes the configuration, with a delta for subscribers that hold the previous one.
func (s *Server) publishConfig(state *rpc.ControlState) {
	part := configPart(state)
	config, err := catalog.Parse(state.Config)
	if err != nil {
		config = nil // there is none yet; every accepted configuration was validated
	}
	if last := s.published.catalog; last != nil && config != nil {
		part.Delta = configDelta(last, config)
	}
	s.hub.Publish(part)
	s.published.configVersion = state.ConfigVersion
	s.published.catalog = config
}

// handleWatch streams the View to dispatchers and stores; a process that does not lead redirects them.
func (s *Server) handleWatch(writer http.ResponseWriter, request *http.Request) {
	if s.currentTerm() == nil || !s.state.leading() {
		s.redirectToLeader(writer, request)
		return
	}
	s.hub.ServeHTTP(writer, request)
}
