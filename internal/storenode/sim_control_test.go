package storenode

import (
	"context"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"foldlb.example/foldlb/coord/lease"
	"foldlb.example/foldlb/coord/placement"
	"foldlb.example/foldlb/internal/catalog"
	"foldlb.example/foldlb/internal/cluster"
	"foldlb.example/foldlb/internal/rpc"
)

const (
	simLease            = 2 * time.Second
	simLeaseMargin      = 300 * time.Millisecond // added to leases by the control plane
	simLeaseSlack       = 100 * time.Millisecond // subtracted from leases by their holders
	simRenewInterval    = 400 * time.Millisecond
	simPlanInterval     = 100 * time.Millisecond
	simWholeSettleTime  = 300 * time.Millisecond // how long all stores must have reported enough copies before a new disk is whole
	simRetireSettleTime = time.Second            // the same before a retiring store may be removed
	simMaxMoves         = 4
)

// controlPlane simulates internal/controlplane by one process that never fails, with the real leases and placement.
type controlPlane struct {
	world *world

	mutex      sync.Mutex
	leases     *lease.Table
	stores     []*rpc.StoreMember
	partitions []placement.Partition
	statuses   map[string]*storeStatus // by node
	fences     map[string]uint64       // by node: lowest map version that the store must know to be granted a lease
	joinedAt   map[string]mapMoment    // by disk
	retiring   string                  // the store that is being retired
	emptySince mapMoment               // since when it has owned nothing and known of its retirement; zero if it does not
	retired    bool                    // the store may be removed and is no longer a member
	version    uint64
	config     *catalog.Config
	view       *cluster.View
	changed    chan struct{} // closed when view is replaced
	muted      atomic.Bool   // streams deliver nothing, but renewals are answered
}

// storeStatus is the last report of a store.
type storeStatus struct {
	request    *rpc.RenewRequest
	renewedAt  time.Time
	cleanSince time.Time // since when it has reported enough copies; zero if it has not
	granted    bool      // a lease was granted to this incarnation
	admittedAt time.Time
}

func newControlPlane(w *world) *controlPlane {
	c := &controlPlane{world: w, leases: lease.New(lease.Options{Duration: simLease, Margin: simLeaseMargin, AllowRenewalAfterEnd: true}),
		statuses: map[string]*storeStatus{}, fences: map[string]uint64{}, joinedAt: map[string]mapMoment{},
		partitions: make([]placement.Partition, w.scale.partitions), changed: make(chan struct{}), config: simConfig(1)}
	c.publish()
	go c.run()
	return c
}

// simConfig returns a configuration. Version 2 lacks a route of version 1, and two routes exchange their names.
func simConfig(version uint64) *catalog.Config {
	config := &catalog.Config{Version: version, Services: []catalog.Service{{Name: "s", MaxConns: 100}}}
	for _, name := range []string{"plain", "fifo", "short", "dropped"} {
		if name == "dropped" && version > 1 {
			continue
		}
		route := catalog.Route{Name: name, Type: catalog.RouteTypeAsync, Hostname: "h", PathPrefix: "/" + name, Service: "s", Retries: simRetries,
			FIFO: name == "fifo", RetentionS: simRetention.Seconds(), ScheduleTargetMs: 500, TimeoutMs: 1200}
		if name == "short" {
			route.RetentionS = simShortRetention.Seconds()
		}
		if version > 1 {
			route.Name = exchangedName(name)
		}
		config.Routes = append(config.Routes, route)
	}
	return config
}

// exchangedName returns the name that the route of a prefix has in version 2.
func exchangedName(prefix string) string {
	switch prefix {
	case "plain":
		return "short"
	case "short":
		return "plain"
	default:
		return prefix
	}
}

func (c *controlPlane) run() {
	for {
		select {
		case <-time.After(simPlanInterval):
			c.mutex.Lock()
			c.plan()
			c.mutex.Unlock()
		case <-c.world.ctx.Done():
			return
		}
	}
}

func (c *controlPlane) now() time.Duration { return time.Since(c.world.started) }

// dropRoute puts the second configuration in force.
func (c *controlPlane) dropRoute() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.config = simConfig(2)
	c.publish()
}

// publish creates a view of the current state.
func (c *controlPlane) publish() {
	c.version++
	view := &cluster.View{Config: c.config, Table: catalog.NewTable(c.config), ConfigVersion: c.config.Version,
		Map: &rpc.MapView{Version: c.version, Copies: uint32(c.world.scale.tolerance + 1)},
		Workers: &rpc.WorkerList{Epoch: 1, Version: 1,
			Workers: []*rpc.Worker{{Id: "w", Service: "s", Capacity: 200}}}}
	taking := slices.DeleteFunc(slices.Clone(c.stores), c.isRetired)
	for _, store := range taking {
		view.Map.Stores = append(view.Map.Stores, &rpc.StoreMember{Node: store.Node, Disk: store.Disk, Address: store.Address,
			Zone: store.Zone, Incarnation: store.Incarnation, Whole: store.Whole, Leaving: store.Leaving})
	}
	owners := make([]int, len(c.partitions))
	for i, p := range c.partitions {
		view.Map.Partitions = append(view.Map.Partitions, &rpc.Ownership{Node: p.Owner, Incarnation: p.Incarnation,
			Epoch: p.Epoch, Releasing: p.Releasing, Successor: p.Successor})
		owners[i] = slices.IndexFunc(taking, func(store *rpc.StoreMember) bool {
			return store.Node == p.Owner && store.Incarnation == p.Incarnation
		})
	}
	// Package cluster computes this index when it merges updates and offers no other way to create a view.
	field := reflect.ValueOf(view).Elem().FieldByName("owners")
	reflect.NewAt(field.Type(), field.Addr().UnsafePointer()).Elem().Set(reflect.ValueOf(owners))
	c.view = view
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *controlPlane) current() (*cluster.View, <-chan struct{}) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.view, c.changed
}

func (c *controlPlane) owner(partition uint32) placement.Partition {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.partitions[partition]
}

func (c *controlPlane) member(node string) *rpc.StoreMember {
	for _, store := range c.stores {
		if store.Node == node {
			return store
		}
	}
	return nil
}

// renew processes a lease renewal and reports whether the lease is granted.
func (c *controlPlane) renew(request *rpc.RenewRequest) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	status := c.statuses[request.Node]
	if status == nil || status.request.Incarnation != request.Incarnation {
		if status != nil && now.Sub(status.renewedAt) < 900*time.Millisecond {
			return false
		}
		status = &storeStatus{}
		c.statuses[request.Node] = status
	}
	status.request, status.renewedAt = request, now
	if request.UnderCopied > request.Unconfirmed {
		status.cleanSince = time.Time{}
	} else if status.cleanSince.IsZero() {
		status.cleanSince = now
	}
	member := c.member(request.Node)
	if member == nil || member.Disk != request.Disk || member.Incarnation != request.Incarnation {
		c.admit(status)
		return false
	}
	if !c.mayGrant(status) {
		return false
	}
	if c.leases.Renew(request.Node, request.Incarnation, c.now()) != nil {
		return false
	}
	status.granted = true
	return true
}

func (c *controlPlane) mayGrant(status *storeStatus) bool {
	request := status.request
	if request.MapVersion < c.fences[request.Node] {
		return false
	}
	if status.granted && !c.leases.Ended(request.Node, request.Incarnation, c.now()) {
		return true
	}
	return !status.granted || request.MapVersion >= c.version
}

// admit records a new disk or incarnation of a store.
func (c *controlPlane) admit(status *storeStatus) {
	request := status.request
	member := c.member(request.Node)
	if member == nil {
		member = &rpc.StoreMember{Node: request.Node}
		c.stores = append(c.stores, member)
	}
	if member.Disk != request.Disk {
		member.Disk = request.Disk
		member.Whole = c.partitions[0].Epoch == 0
		if !member.Whole {
			c.joinedAt[member.Disk] = mapMoment{at: time.Now(), mapVersion: c.version + 1} // the version that is published below
		}
	}
	member.Address, member.Zone, member.Incarnation = request.Address, request.Zone, request.Incarnation
	status.admittedAt = time.Now()
	c.publish()
}

// plan moves partitions and marks disks as whole.
func (c *controlPlane) plan() {
	changed := false
	for _, store := range c.stores {
		if !store.Whole && c.settled(c.joinedAt[store.Disk], simWholeSettleTime) {
			store.Whole = true
			changed = true
		}
	}
	if len(c.stores) < c.world.scale.stores {
		return // the first assignment waits for all stores
	}
	changed = c.completeRetirement() || changed
	before := c.partitions
	next, moved, err := placement.Plan(c.members(), before, simMaxMoves)
	if err != nil {
		panic(err)
	}
	c.fencePreviousOwners(before, next)
	c.partitions = next
	if changed || moved {
		c.publish()
	}
}

// retire starts the retirement of a store.
func (c *controlPlane) retire(node string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.retiring = node
	c.member(node).Leaving = true
	c.publish()
}

// isRetired reports whether the retirement of a store is completed.
func (c *controlPlane) isRetired(store *rpc.StoreMember) bool {
	return c.retired && store.Node == c.retiring
}

// hasRetired reports whether a retirement is completed, so that the store may be removed.
func (c *controlPlane) hasRetired() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.retired
}

// completeRetirement ends the retirement of a store that owns nothing and knows of its retirement, once its copies were restored elsewhere.
func (c *controlPlane) completeRetirement() bool {
	if c.retiring == "" || c.retired {
		return false
	}
	for _, p := range c.partitions {
		if p.Owner == c.retiring {
			c.emptySince = mapMoment{}
			return false
		}
	}
	member, status := c.member(c.retiring), c.statuses[c.retiring]
	alive := c.leases.Alive(member.Node, member.Incarnation, c.now())
	if alive && (status.request.Incarnation != member.Incarnation || status.request.MapVersion < c.version) {
		c.emptySince = mapMoment{}
		return false
	}
	if c.emptySince.at.IsZero() {
		c.emptySince = mapMoment{at: time.Now(), mapVersion: c.version}
	}
	c.retired = c.settled(c.emptySince, simRetireSettleTime)
	return c.retired
}

// settled reports whether every partition has an owner, all owners know the newest map, and all stores that hold a lease have reported for
// the settle time since the given moment that no message has too few copies.
func (c *controlPlane) settled(since mapMoment, settle time.Duration) bool {
	for _, store := range c.stores {
		status := c.statuses[store.Node]
		if !c.leases.Alive(store.Node, store.Incarnation, c.now()) || status.request.Incarnation != store.Incarnation {
			continue
		}
		if !status.cleanFor(since, settle) {
			return false
		}
	}
	for _, p := range c.partitions {
		owner, status := c.member(p.Owner), c.statuses[p.Owner]
		if owner == nil || owner.Incarnation != p.Incarnation || status.request.Incarnation != p.Incarnation {
			return false
		}
		if status.request.MapVersion < c.version || !status.cleanFor(since, settle) {
			return false
		}
	}
	return true
}

// cleanFor reports whether the store has reported for the settle time since the given moment that no message has too few copies, and no
// unconfirmed copy that a dispatcher started to place under an earlier map.
func (s *storeStatus) cleanFor(since mapMoment, settle time.Duration) bool {
	if s.cleanSince.IsZero() || s.request.Unconfirmed > 0 && s.request.UnconfirmedUnder < since.mapVersion {
		return false
	}
	from := since.at
	if s.cleanSince.After(from) {
		from = s.cleanSince
	}
	return s.renewedAt.Sub(from) >= settle
}

// mapMoment is a point in time and the map version in force then.
type mapMoment struct {
	at         time.Time
	mapVersion uint64
}

// currentMapVersion returns the version of the newest map.
func (c *controlPlane) currentMapVersion() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.version
}

func (c *controlPlane) members() []placement.Member {
	var members []placement.Member
	for _, store := range c.stores {
		status := c.statuses[store.Node]
		alive := c.leases.Alive(store.Node, store.Incarnation, c.now())
		waits := status != nil && status.request.Incarnation == store.Incarnation && !status.granted &&
			time.Since(status.admittedAt) < simLease
		alive = alive || waits
		members = append(members, placement.Member{Node: store.Node, Incarnation: store.Incarnation, Zone: store.Zone,
			Alive: alive, Ended: !alive && c.leases.Ended(store.Node, store.Incarnation, c.now()),
			Leaving: status != nil && status.request.Incarnation == store.Incarnation &&
				(status.request.Leaving || status.request.Impaired) || store.Leaving,
			Eligible: !c.isRetired(store)})
	}
	seen := map[string]bool{}
	for _, p := range c.partitions {
		member := c.member(p.Owner)
		if p.Owner == "" || member != nil && member.Incarnation == p.Incarnation || seen[p.Incarnation] {
			continue
		}
		seen[p.Incarnation] = true
		members = append(members, placement.Member{Node: p.Owner, Incarnation: p.Incarnation, Ended: true})
	}
	return members
}

func (c *controlPlane) fencePreviousOwners(before, next []placement.Partition) {
	for i, p := range before {
		if p.Epoch == next[i].Epoch || p.Owner == "" {
			continue
		}
		member := c.member(p.Owner)
		if member.Incarnation == p.Incarnation && c.leases.Ended(p.Owner, p.Incarnation, c.now()) {
			c.fences[p.Owner] = c.version + 1
		}
	}
}

// release removes the owner of the given partitions.
func (c *controlPlane) release(node, incarnation string, partitions []*rpc.PartitionEpoch) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, p := range partitions {
		current := c.partitions[p.Partition]
		if current.Owner != node || current.Incarnation != incarnation {
			continue
		}
		next, err := placement.Release(c.members(), c.partitions, int(p.Partition), p.Epoch)
		if err == nil {
			c.partitions = next
		}
	}
	c.publish()
}

// allWhole reports whether every store is running and is a member whose current disk is whole.
func (c *controlPlane) allWhole() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, store := range c.stores {
		if c.isRetired(store) {
			continue
		}
		p := c.world.machineAt(store.Address).running()
		if !store.Whole || p == nil || p.node.disk != store.Disk {
			return false
		}
	}
	return true
}

// fakeCluster is the coordinator of one process.
type fakeCluster struct {
	process *process
	kicks   chan struct{}

	mutex             sync.Mutex
	view              *cluster.View
	appliedMapVersion uint64 // map version that the callback has processed
	callback          func(*cluster.View)
	leaseEnd          time.Time

	confirmations cluster.Confirmations
}

func newFakeCluster(p *process) *fakeCluster {
	return &fakeCluster{process: p, view: &cluster.View{}, kicks: make(chan struct{}, 1)}
}

func (f *fakeCluster) run() {
	go f.follow()
	go f.renewLoop()
}

// View implements coordinator.
func (f *fakeCluster) View() *cluster.View {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.view
}

// OnChange implements coordinator.
func (f *fakeCluster) OnChange(callback func(*cluster.View)) { f.callback = callback }

// LeaseValid implements coordinator.
func (f *fakeCluster) LeaseValid() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return time.Now().Before(f.leaseEnd)
}

// ConfigConfirmed implements coordinator.
func (f *fakeCluster) ConfigConfirmed(version uint64) bool {
	return f.confirmations.ConfirmedWithin(version, cluster.ConfirmationTTL(f.process.node.settings))
}

// NewestConfig implements coordinator.
func (f *fakeCluster) NewestConfig() (version uint64, requestedAt time.Time) {
	return f.confirmations.Newest()
}

// Kick implements coordinator.
func (f *fakeCluster) Kick() {
	select {
	case f.kicks <- struct{}{}:
	default:
	}
}

// Store implements coordinator.
func (f *fakeCluster) Store(address string) rpc.Store {
	return &storeClient{world: f.process.world, from: f.process.machine.name, caller: f.process, address: address}
}

// Release implements coordinator.
func (f *fakeCluster) Release(ctx context.Context, partitions []*rpc.PartitionEpoch) error {
	p := f.process
	_, ok := callControl(p, "release", func(c *controlPlane) bool {
		c.release(p.machine.name, p.node.incarnation, partitions)
		return true
	})
	if !ok {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// callControl performs a call to the control plane. It returns ok = false if no answer comes.
func callControl(p *process, method string, ask func(*controlPlane) bool) (granted, ok bool) {
	w, name := p.world, p.machine.name
	if !p.awaitThaw() {
		return false, false
	}
	time.Sleep(w.latency(name, controlName, method))
	if w.isCut(name, controlName) || w.losesCall(name, controlName, method) || p.isKilled() {
		return false, false
	}
	granted = ask(w.control)
	time.Sleep(w.latency(controlName, name, method))
	if w.isCut(controlName, name) || w.losesCall(controlName, name, method) || !p.awaitThaw() {
		return false, false
	}
	return granted, true
}

// follow passes each newer view to the callback.
func (f *fakeCluster) follow() {
	p := f.process
	w := p.world
	for p.awaitThaw() {
		view, changed := w.control.current()
		if view == f.View() {
			select {
			case <-changed:
			case <-p.killed:
				return
			}
			time.Sleep(w.latency(controlName, p.machine.name, "view"))
			continue
		}
		if w.isCut(controlName, p.machine.name) || w.control.muted.Load() {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		f.mutex.Lock()
		f.view = view
		f.mutex.Unlock()
		f.callback(view)
		f.mutex.Lock()
		f.appliedMapVersion = view.Map.Version
		f.mutex.Unlock()
		f.Kick()
	}
}

func (f *fakeCluster) renewLoop() {
	p := f.process
	for p.awaitThaw() {
		f.renew()
		select {
		case <-f.kicks:
			time.Sleep(50 * time.Millisecond)
		case <-time.After(simRenewInterval):
		case <-p.killed:
			return
		}
	}
}

func (f *fakeCluster) renew() {
	p := f.process
	f.mutex.Lock()
	version := f.appliedMapVersion
	f.mutex.Unlock()
	request := &rpc.RenewRequest{Node: p.machine.name, Incarnation: p.node.incarnation, Zone: p.machine.zone,
		Disk: p.node.disk, Address: p.machine.address, MapVersion: version}
	p.node.fillRenewRequest(request)
	sent := time.Now()
	var newest uint64
	granted, ok := callControl(p, "renew", func(c *controlPlane) bool {
		newest = c.config.Version
		return c.renew(request)
	})
	if ok {
		f.confirmations.Record(newest, sent)
	}
	if !ok || !granted {
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if end := sent.Add(simLease - simLeaseSlack); end.After(f.leaseEnd) {
		f.leaseEnd = end
	}
}
