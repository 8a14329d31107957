package failover

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// testTiming keeps the proportions of the defaults.
var testTiming = Timing{
	Lease:           200 * time.Millisecond,
	Margin:          30 * time.Millisecond,
	Heartbeat:       50 * time.Millisecond,
	ElectionJitter:  40 * time.Millisecond,
	CampaignTimeout: 60 * time.Millisecond,
}

// memoryStore is a Storage that lasts as long as the test.
type memoryStore struct {
	mutex  sync.Mutex
	record []byte
}

func (store *memoryStore) Load() ([]byte, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.record, nil
}

func (store *memoryStore) Save(record []byte) error {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.record = record
	return nil
}

// memoryTransport calls the nodes of a group directly.
type memoryTransport struct {
	group *testGroup
}

func (transport memoryTransport) Vote(ctx context.Context, address string, request VoteRequest) (VoteReply, error) {
	node, err := transport.group.find(address)
	if err != nil {
		return VoteReply{}, err
	}
	return node.HandleVote(ctx, request)
}

func (transport memoryTransport) Replicate(ctx context.Context, address string, request ReplicateRequest) (ReplicateReply, error) {
	node, err := transport.group.find(address)
	if err != nil {
		return ReplicateReply{}, err
	}
	if request.Contents != nil {
		transport.group.countContents()
	}
	return node.HandleReplicate(ctx, request)
}

// testGroup is a group of nodes in this process.
type testGroup struct {
	t            *testing.T
	mutex        sync.Mutex
	changed      *sync.Cond
	nodes        map[string]*Node
	contentsSent int
}

var testSeeds = []string{"a:1", "b:1", "c:1"}

func newTestGroup(t *testing.T) *testGroup {
	group := &testGroup{t: t, nodes: make(map[string]*Node)}
	group.changed = sync.NewCond(&group.mutex)
	t.Cleanup(group.close)
	return group
}

func (group *testGroup) start(address string, bootstrap bool, store Storage) *Node {
	node, err := New(Config{
		Address:   address,
		Bootstrap: bootstrap,
		Seeds:     testSeeds,
		State:     []byte("first"),
		Timing:    testTiming,
		Storage:   store,
		Transport: memoryTransport{group: group},
		OnChange: func(Status) {
			group.mutex.Lock()
			group.changed.Broadcast()
			group.mutex.Unlock()
		},
	})
	must.NoError(group.t, err)
	group.mutex.Lock()
	group.nodes[address] = node
	group.mutex.Unlock()
	return node
}

func (group *testGroup) stop(address string) {
	group.mutex.Lock()
	node := group.nodes[address]
	delete(group.nodes, address)
	group.mutex.Unlock()
	node.Close()
}

func (group *testGroup) close() {
	group.mutex.Lock()
	nodes := group.nodes
	group.nodes = make(map[string]*Node)
	group.mutex.Unlock()
	for _, node := range nodes {
		node.Close()
	}
}

func (group *testGroup) find(address string) (*Node, error) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	node := group.nodes[address]
	if node == nil {
		return nil, fmt.Errorf("no node at %s", address)
	}
	return node, nil
}

func (group *testGroup) countContents() {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.contentsSent++
}

// await waits until holds is true of some running node, and returns it.
func (group *testGroup) await(holds func(status Status) bool) *Node {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	for {
		for _, node := range group.nodes {
			if holds(node.Status()) {
				return node
			}
		}
		group.changed.Wait()
	}
}

func (group *testGroup) awaitLeader() *Node {
	return group.await(func(status Status) bool { return status.Leader })
}

func (group *testGroup) startAll() []*memoryStore {
	stores := make([]*memoryStore, len(testSeeds))
	for position, address := range testSeeds {
		stores[position] = &memoryStore{}
		group.start(address, true, stores[position])
	}
	return stores
}

func replaceBy(state string) func([]byte) ([]byte, error) {
	return func([]byte) ([]byte, error) { return []byte(state), nil }
}

func TestNodeElectsAndReplicates(t *testing.T) {
	group := newTestGroup(t)
	group.startAll()
	leader := group.awaitLeader()
	must.EqOp(t, 0, group.contentsSent)
	must.EqOp(t, "first", string(leader.Status().State))
	must.NoError(t, leader.Propose(t.Context(), replaceBy("second")))
	must.EqOp(t, "second", string(leader.Status().State))
	for _, address := range testSeeds {
		group.await(func(status Status) bool {
			return status.Identity == seedIdentity(address) && string(status.State) == "second"
		})
	}
}

func TestNodeReturnsErrorsOfChange(t *testing.T) {
	group := newTestGroup(t)
	group.startAll()
	leader := group.awaitLeader()
	refused := errors.New("refused")
	err := leader.Propose(t.Context(), func([]byte) ([]byte, error) { return nil, refused })
	must.True(t, err == refused)
	before := leader.Status().StateSeq
	must.NoError(t, leader.Propose(t.Context(), func(old []byte) ([]byte, error) { return old, nil }))
	must.EqOp(t, before, leader.Status().StateSeq)
}

func TestNodeFollowerNamesLeader(t *testing.T) {
	group := newTestGroup(t)
	group.startAll()
	leader := group.awaitLeader()
	leaderAddress := leader.Status().LeaderAddress
	follower := group.await(func(status Status) bool { return !status.Leader && status.LeaderAddress == leaderAddress })
	err := follower.Propose(t.Context(), replaceBy("other"))
	var notLeader NotLeaderError
	must.True(t, errors.As(err, &notLeader))
	must.EqOp(t, leaderAddress, notLeader.LeaderAddress)
}

func TestNodeResign(t *testing.T) {
	group := newTestGroup(t)
	group.startAll()
	leader := group.awaitLeader()
	must.NoError(t, leader.Propose(t.Context(), replaceBy("kept")))
	before := leader.Status()
	leader.Resign()
	next := group.await(func(status Status) bool { return status.Leader && status.Identity != before.Identity })
	must.EqOp(t, "kept", string(next.Status().State))
	must.False(t, leader.LeaseValid())
}

func TestNodeReplacesLostDisk(t *testing.T) {
	group := newTestGroup(t)
	group.startAll()
	leader := group.awaitLeader()
	must.NoError(t, leader.Propose(t.Context(), replaceBy("kept")))
	lost := leader.Status().LeaderAddress
	group.stop(lost)
	next := group.awaitLeader()
	joining := group.start(lost, false, &memoryStore{})
	identity := joining.Status().Identity
	must.False(t, joining.Status().Voter)
	added := &Member{ID: identity, Address: lost}
	must.NoError(t, next.ProposeMembers(t.Context(), added, seedIdentity(lost)))
	group.await(func(status Status) bool {
		return status.Identity == identity && status.Voter && string(status.State) == "kept"
	})
	must.SliceLen(t, 3, next.Status().Members)
}

func TestNodeAllRestartWithDisks(t *testing.T) {
	group := newTestGroup(t)
	stores := group.startAll()
	must.NoError(t, group.awaitLeader().Propose(t.Context(), replaceBy("kept")))
	group.close()
	for position, address := range testSeeds {
		group.start(address, false, stores[position])
	}
	must.EqOp(t, "kept", string(group.awaitLeader().Status().State))
}

// stuckStore is a Storage whose saves wait while it is stuck.
type stuckStore struct {
	memoryStore
	gate sync.Mutex
}

func (store *stuckStore) Save(record []byte) error {
	store.gate.Lock()
	defer store.gate.Unlock()
	return store.memoryStore.Save(record)
}

func TestNodeLeadsOnWithStuckDisk(t *testing.T) {
	group := newTestGroup(t)
	stores := make(map[string]*stuckStore)
	for _, address := range testSeeds {
		stores[address] = &stuckStore{}
		group.start(address, true, stores[address])
	}
	leader := group.awaitLeader()
	before := leader.Status()
	gate := &stores[before.LeaderAddress].gate
	gate.Lock()
	defer gate.Unlock()
	ended := time.Now().Add(3 * testTiming.Lease)
	for time.Now().Before(ended) {
		must.NoError(t, leader.Propose(t.Context(), replaceBy(time.Now().String())))
	}
	must.EqOp(t, before.Epoch, leader.Status().Epoch)
	must.True(t, leader.LeaseValid())
}

func TestNodeProposalWithoutMajority(t *testing.T) {
	group := newTestGroup(t)
	group.startAll()
	leader := group.awaitLeader()
	for _, address := range testSeeds {
		if address != leader.Status().LeaderAddress {
			group.stop(address)
		}
	}
	err := leader.Propose(t.Context(), replaceBy("lonely"))
	must.True(t, errors.As(err, &OutcomeUnknownError{}))
	must.False(t, leader.LeaseValid())
}

func TestNodeProposalGivenUp(t *testing.T) {
	group := newTestGroup(t)
	group.startAll()
	leader := group.awaitLeader()
	for _, address := range testSeeds {
		if address != leader.Status().LeaderAddress {
			group.stop(address)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTiming.Lease/10)
	defer cancel()
	err := leader.Propose(ctx, replaceBy("lonely"))
	must.True(t, errors.As(err, &OutcomeUnknownError{}))
}

func TestNodeClosed(t *testing.T) {
	group := newTestGroup(t)
	group.startAll()
	leader := group.awaitLeader()
	group.stop(leader.Status().LeaderAddress)
	must.True(t, errors.As(leader.Propose(t.Context(), replaceBy("late")), &ClosedError{}))
	_, err := leader.HandleVote(t.Context(), VoteRequest{})
	must.True(t, errors.As(err, &ClosedError{}))
	must.False(t, leader.Status().Leader)
}

func TestNodeReadsFileStore(t *testing.T) {
	folder := t.TempDir()
	config := Config{
		Address:   "a:1",
		Bootstrap: true,
		Seeds:     []string{"a:1"},
		Timing:    testTiming,
		Transport: memoryTransport{group: newTestGroup(t)},
	}
	for _, state := range []string{"first", "second"} {
		config.Storage = openStore(t, folder)
		group := newTestGroup(t)
		config.OnChange = func(Status) {
			group.mutex.Lock()
			group.changed.Broadcast()
			group.mutex.Unlock()
		}
		node, err := New(config)
		must.NoError(t, err)
		group.nodes[config.Address] = node
		before := string(group.awaitLeader().Status().State)
		must.NoError(t, node.Propose(t.Context(), replaceBy(before+state)))
		must.EqOp(t, before+state, string(node.Status().State))
		group.close()
		config.Bootstrap = false
	}
	encoded, err := openStore(t, folder).Load()
	must.NoError(t, err)
	record, err := DecodeRecord(encoded)
	must.NoError(t, err)
	must.EqOp(t, "firstsecond", string(record.Contents.State))
}
