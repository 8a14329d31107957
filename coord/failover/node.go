package failover

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	mathrand "math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
)

// Defaults and limits of a Node.
const (
	defaultQueueLimit  = 256
	commandQueueLength = 64
	heartbeatTimeout   = 500 * time.Millisecond // minimum timeout of a call; calls with contents may take longer
	identityBytes      = 8
)

// Storage persists the record of a member. Its methods are never called concurrently.
type Storage interface {
	// Load returns the record that was saved last, or nothing if no record was ever saved.
	Load() ([]byte, error)
	// Save returns once the record has been synced. If the process crashes during Save, either the previous record or this
	// one remains.
	Save(record []byte) error
}

// Transport sends requests to other members. Its methods are called concurrently; each must return when its context ends.
type Transport interface {
	Vote(ctx context.Context, address string, request VoteRequest) (VoteReply, error)
	Replicate(ctx context.Context, address string, request ReplicateRequest) (ReplicateReply, error)
}

// Config configures a Node.
type Config struct {
	Address    string   // address of this member
	Bootstrap  bool     // the whole group starts for the first time; ignored if the disk has a record
	Seeds      []string // addresses of the initial voters
	State      []byte   // initial state of a group; must be the same at every seed
	Timing     Timing   // see Timing for the fields that must be the same at every member
	QueueLimit int      // maximum number of queued proposals, and of pending reads; default 256
	Storage    Storage
	Transport  Transport
	OnChange   func(Status) // called on a separate goroutine; may be nil. Changes in quick succession are merged
	Log        logr.Logger  // the zero value disables logging
}

// Status is a snapshot of what a member knows.
type Status struct {
	Leader             bool   // this member serves as the leader and its lease is valid
	LeaderAddress      string // empty if no leader is known
	Epoch              uint64 // newest epoch that this member has voted in or accepted
	StateEpoch         uint64 // version of State; both 0 if no committed version is known yet
	StateSeq           uint64
	State              []byte   // committed state; must not be modified
	Members            []Member // voters of the committed version, or of the record on disk if no committed version is known yet
	MembershipChanging bool     // Members is the new list and the previous list counts as well, so a further loss among the previous voters isn't tolerated
	Identity           string   // identity of this member
	Voter              bool     // this member is in one of the lists of voters in its record
}

// Node is one member of the group. Its methods are safe for concurrent use.
type Node struct {
	config   Config
	started  time.Time
	commands chan command
	saver    *saver
	ctx      context.Context
	cancel   context.CancelFunc
	done     sync.WaitGroup

	status        atomic.Pointer[Status]
	servesUntil   atomic.Int64 // nanoseconds since started; 0 if this member doesn't serve
	statusChanged chan struct{}
	lastID        atomic.Uint64

	// The fields below are owned by the goroutine of run.
	machine        *machine
	voteCalls      map[uint64]chan VoteReply
	replicateCalls map[uint64]chan ReplicateReply
	proposals      map[uint64]chan error // callers of proposals and reads
}

// command is an input together with the channel for its answer. At most one of the channels is set.
type command struct {
	input     input
	id        uint64
	vote      chan VoteReply
	replicate chan ReplicateReply
	proposal  chan error
}

// New loads the record and starts a member. It returns an error if the timing is invalid, if Storage fails or if the
// record is corrupt.
func New(config Config) (*Node, error) {
	if config.QueueLimit == 0 {
		config.QueueLimit = defaultQueueLimit
	}
	if err := config.Timing.withDefaults().validate(); err != nil {
		return nil, err
	}
	record, kind, err := loadRecord(config)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	node := &Node{
		config:         config,
		started:        time.Now(),
		commands:       make(chan command, commandQueueLength),
		ctx:            ctx,
		cancel:         cancel,
		statusChanged:  make(chan struct{}, 1),
		voteCalls:      make(map[uint64]chan VoteReply),
		replicateCalls: make(map[uint64]chan ReplicateReply),
		proposals:      make(map[uint64]chan error),
	}
	node.saver = newSaver(config.Storage, config.Log)
	machineConfig := machineConfig{
		address:     config.Address,
		incarnation: mathrand.Uint64(),
		timing:      config.Timing,
		queueLimit:  config.QueueLimit,
		random:      mathrand.Int64N,
	}
	created, effects := newMachine(machineConfig, record, kind, node.now())
	node.machine = created
	node.publish()
	node.done.Add(3)
	go node.runSaver()
	go node.runNotifier()
	go node.run(effects)
	return node, nil
}

// loadRecord returns the record on disk, or an initial record if there is none.
func loadRecord(config Config) (Record, startKind, error) {
	encoded, err := config.Storage.Load()
	if err != nil {
		return Record{}, startRestarted, errors.Wrap(err, "load member record")
	}
	if len(encoded) > 0 {
		record, err := DecodeRecord(encoded)
		return record, startRestarted, err
	}
	if config.Bootstrap && slices.Contains(config.Seeds, config.Address) {
		return bootstrapRecord(config), startBootstrap, nil
	}
	identity, err := newIdentity(config.Address)
	return Record{Identity: identity}, startJoining, err
}

// bootstrapVersion is the version of the initial contents. A member that joins later starts with the zero Version.
var bootstrapVersion = Version{Epoch: 0, Seq: 1}

// bootstrapRecord returns the initial record of a seed. It is the same at every seed except for the identity.
func bootstrapRecord(config Config) Record {
	record := Record{Identity: seedIdentity(config.Address), Version: bootstrapVersion}
	record.Contents.State = config.State
	for _, seed := range config.Seeds {
		record.Contents.Members = append(record.Contents.Members, Member{ID: seedIdentity(seed), Address: seed})
	}
	return record
}

func seedIdentity(address string) string { return address + "#0" }

func newIdentity(address string) (string, error) {
	var random [identityBytes]byte
	if _, err := rand.Read(random[:]); err != nil {
		return "", errors.Wrap(err, "generate a member identity")
	}
	return address + "#" + hex.EncodeToString(random[:]), nil
}

// Status returns a snapshot of what this member knows.
func (node *Node) Status() Status {
	status := *node.status.Load()
	status.Leader = status.Leader && node.LeaseValid()
	return status
}

// LeaseValid reports whether this member serves as the leader right now. A leader must check it immediately before it
// acknowledges anything that relies on its being the only leader. It takes no lock.
func (node *Node) LeaseValid() bool {
	return int64(node.now()) < node.servesUntil.Load()
}

// HandleVote answers a vote request of another member. Errors are ClosedError and the context's.
func (node *Node) HandleVote(ctx context.Context, request VoteRequest) (VoteReply, error) {
	answer := make(chan VoteReply, 1)
	id := node.lastID.Add(1)
	cmd := command{input: voteCall{call: id, request: request}, id: id, vote: answer}
	if err := node.enqueue(ctx, cmd); err != nil {
		return VoteReply{}, err
	}
	return awaitReply(ctx, node, answer)
}

// HandleReplicate answers a heartbeat of a leader. Errors are ClosedError and the context's.
func (node *Node) HandleReplicate(ctx context.Context, request ReplicateRequest) (ReplicateReply, error) {
	answer := make(chan ReplicateReply, 1)
	id := node.lastID.Add(1)
	cmd := command{input: replicateCall{call: id, request: request}, id: id, replicate: answer}
	if err := node.enqueue(ctx, cmd); err != nil {
		return ReplicateReply{}, err
	}
	return awaitReply(ctx, node, answer)
}

// Propose replaces the committed state by the result of change, and returns nil once the new version is committed. If
// change returns the same bytes or an error, nothing is replaced; nil or that error is returned once a majority has
// confirmed, as for Read, that change was given the newest state. Other errors are NotLeaderError, OverloadedError,
// ClosedError, the context's (nothing was proposed) and OutcomeUnknownError. change runs on the goroutine that sends
// heartbeats: it must be fast, must not modify old and must not retain what it returns.
func (node *Node) Propose(ctx context.Context, change func(old []byte) ([]byte, error)) error {
	return node.propose(ctx, propose{change: change})
}

// Read returns nil once the committed state (see Status) includes everything that any leader acknowledged before Read was
// called. It asks a majority of the voters and doesn't depend on clocks. Errors are NotLeaderError, OverloadedError,
// ClosedError and the context's.
func (node *Node) Read(ctx context.Context) error {
	number := node.lastID.Add(1)
	return node.submit(ctx, read{read: number}, number)
}

// ProposeMembers adds a voter, removes the one with the identity removeID, or replaces one by the other in one step. A nil
// add or an empty removeID means none. It returns nil once the new list alone is committed. Adding a voter that is in the
// list already and removing one that isn't have no effect, so a failed change can be repeated unchanged. Errors are those
// of Propose, InvalidMembersError, MemberChangePendingError and LearnerBehindError.
func (node *Node) ProposeMembers(ctx context.Context, add *Member, removeID string) error {
	change := memberChange{removeID: removeID}
	if add != nil {
		added := *add
		change.add = &added
	}
	return node.propose(ctx, propose{members: &change})
}

func (node *Node) propose(ctx context.Context, proposed propose) error {
	proposed.proposal = node.lastID.Add(1)
	return node.submit(ctx, proposed, proposed.proposal)
}

// submit passes a proposal or a read to the machine and waits for its completion.
func (node *Node) submit(ctx context.Context, request input, number uint64) error {
	answer := make(chan error, 1)
	cmd := command{input: request, id: number, proposal: answer}
	if err := node.enqueue(ctx, cmd); err != nil {
		return err
	}
	select {
	case err := <-answer:
		return err
	case <-node.ctx.Done():
		return OutcomeUnknownError{Reason: "the node was closed"}
	case <-ctx.Done():
	}
	return node.abandon(number, ctx.Err(), answer)
}

// abandon returns the outcome of a proposal or read whose context has ended.
func (node *Node) abandon(proposal uint64, cause error, answer chan error) error {
	cmd := command{input: abandon{proposal: proposal, cause: cause}}
	if err := node.enqueue(node.ctx, cmd); err != nil {
		return OutcomeUnknownError{Reason: "the node was closed"}
	}
	select {
	case err := <-answer:
		return err
	case <-node.ctx.Done():
		return OutcomeUnknownError{Reason: "the node was closed"}
	}
}

// Resign gives up the leadership, if this member has it, so that another member is elected at once.
func (node *Node) Resign() {
	// The only possible error is that the node is closed; then it doesn't lead.
	_ = node.enqueue(node.ctx, command{input: resign{}})
}

// Close stops the member without resigning, after completing a save in progress.
func (node *Node) Close() {
	node.cancel()
	node.done.Wait()
}

func (node *Node) now() time.Duration { return time.Since(node.started) }

func (node *Node) enqueue(ctx context.Context, cmd command) error {
	if node.ctx.Err() != nil {
		return ClosedError{}
	}
	select {
	case node.commands <- cmd:
		return nil
	case <-node.ctx.Done():
		return ClosedError{}
	case <-ctx.Done():
		return ctx.Err()
	}
}

func awaitReply[Reply any](ctx context.Context, node *Node, answer chan Reply) (Reply, error) {
	var none Reply
	select {
	case reply := <-answer:
		return reply, nil
	case <-node.ctx.Done():
		return none, ClosedError{}
	case <-ctx.Done():
		return none, ctx.Err()
	}
}
