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

// Defaults and bounds of a Node.
const (
	defaultQueueLimit  = 256
	commandQueueLength = 64
	heartbeatTimeout   = 500 * time.Millisecond // of a call without contents
	identityBytes      = 8
)

// Storage keeps the record of a member. Its methods are never called at the same time.
type Storage interface {
	// Load returns what was saved last, or nothing where nothing ever was.
	Load() ([]byte, error)
	// Save returns once the record has been synced. A crash during Save leaves the record before it or this one.
	Save(record []byte) error
}

// Transport reaches other members. Its methods are called at the same time; each must return when its context ends.
type Transport interface {
	Vote(ctx context.Context, address string, request VoteRequest) (VoteReply, error)
	Replicate(ctx context.Context, address string, request ReplicateRequest) (ReplicateReply, error)
}

// Config is what a Node is told at its start.
type Config struct {
	Address    string       // of this member
	Bootstrap  bool         // the whole group starts for the first time; ignored where the disk has a record
	Seeds      []string     // addresses of the first voters
	State      []byte       // first state of a group; the same at every seed
	Timing     Timing       // the same at every member
	QueueLimit int          // proposals that may wait; default 256
	Storage    Storage      //
	Transport  Transport    //
	OnChange   func(Status) // called on a goroutine of its own; may be nil. Changes that follow fast are merged
	Log        logr.Logger  // may be the zero value
}

// Status is what a member knows.
type Status struct {
	Leader             bool   // this member serves as the leader and its lease is valid
	LeaderAddress      string // empty where no leader is known
	Epoch              uint64 // newest epoch that this member voted in or accepted
	StateEpoch         uint64 // version of State; both 0 where no committed version is known yet
	StateSeq           uint64
	State              []byte   // committed; must not be modified
	Members            []Member // voters of the committed version, or of the record on disk where none is known yet
	MembershipChanging bool     // Members are the coming list: the one before still counts, and bears no further loss of its own
	Identity           string   // of this member
	Voter              bool     // this member is in the newest list that it holds
}

// Node is one member. Its methods are safe for concurrent use.
type Node struct {
	config   Config
	started  time.Time
	commands chan command
	saver    *saver
	ctx      context.Context
	cancel   context.CancelFunc
	done     sync.WaitGroup

	status      atomic.Pointer[Status]
	servesUntil atomic.Int64 // nanoseconds since started; 0 where it does not serve
	changed     chan struct{}
	lastID      atomic.Uint64

	// Owned by the goroutine of run.
	machine      *machine
	voteCalls    map[uint64]chan VoteReply
	replicaCalls map[uint64]chan ReplicateReply
	proposals    map[uint64]chan error // and reads
}

// command is an input together with the channel that its answer goes to; at most one of the channels is set.
type command struct {
	input     input
	id        uint64
	vote      chan VoteReply
	replicate chan ReplicateReply
	proposal  chan error
}

// New loads the record and starts a member. It fails where Storage does or where the record can't be read.
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
		config:       config,
		started:      time.Now(),
		commands:     make(chan command, commandQueueLength),
		ctx:          ctx,
		cancel:       cancel,
		changed:      make(chan struct{}, 1),
		voteCalls:    make(map[uint64]chan VoteReply),
		replicaCalls: make(map[uint64]chan ReplicateReply),
		proposals:    make(map[uint64]chan error),
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

// loadRecord returns the record on disk or, where there is none, the first one.
func loadRecord(config Config) (Record, startKind, error) {
	encoded, err := config.Storage.Load()
	if err != nil {
		return Record{}, startRestarted, errors.Wrap(err, "load the record of the member")
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

// bootstrapVersion is that of the first contents; a member that joins later begins with the zero Version.
var bootstrapVersion = Version{Epoch: 0, Seq: 1}

// bootstrapRecord is the same at every seed but for the identity.
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
		return "", errors.Wrap(err, "draw an identity")
	}
	return address + "#" + hex.EncodeToString(random[:]), nil
}

// Status returns what this member knows.
func (node *Node) Status() Status {
	status := *node.status.Load()
	status.Leader = status.Leader && node.LeaseValid()
	return status
}

// LeaseValid reports whether this member serves as the leader at this moment. A leader checks it right before it
// acknowledges anything that rests on its being the only one. It takes no lock.
func (node *Node) LeaseValid() bool {
	return int64(node.now()) < node.servesUntil.Load()
}

// HandleVote answers a request of another member.
func (node *Node) HandleVote(ctx context.Context, request VoteRequest) (VoteReply, error) {
	answer := make(chan VoteReply, 1)
	id := node.lastID.Add(1)
	sent := command{input: voteCall{call: id, request: request}, id: id, vote: answer}
	if err := node.send(ctx, sent); err != nil {
		return VoteReply{}, err
	}
	return await(ctx, node, answer)
}

// HandleReplicate answers a request of the leader.
func (node *Node) HandleReplicate(ctx context.Context, request ReplicateRequest) (ReplicateReply, error) {
	answer := make(chan ReplicateReply, 1)
	id := node.lastID.Add(1)
	sent := command{input: replicateCall{call: id, request: request}, id: id, replicate: answer}
	if err := node.send(ctx, sent); err != nil {
		return ReplicateReply{}, err
	}
	return await(ctx, node, answer)
}

// Propose replaces the state by what change makes of the committed one. It returns nil once that is committed. Where
// change returned the same bytes, or an error, nothing is replaced; nil or that error is returned once a majority has
// confirmed, as for Read, that the state which change was given was the newest. Other
// errors are NotLeaderError, Overloaded, Closed, the context's (nothing was proposed) and OutcomeUnknownError. change runs on
// the goroutine that sends heartbeats: it must be quick, and must neither modify old nor keep what it returns.
func (node *Node) Propose(ctx context.Context, change func(old []byte) ([]byte, error)) error {
	return node.propose(ctx, propose{change: change})
}

// Read returns nil once the committed state (Status) holds all that was acknowledged, by whichever leader, before Read
// was called. It asks a majority of the voters and rests on no clock. Errors are NotLeaderError, Overloaded, Closed and the
// context's.
func (node *Node) Read(ctx context.Context) error {
	number := node.lastID.Add(1)
	return node.ask(ctx, read{read: number}, number)
}

// ProposeMembers adds a voter, removes the one with the identity removeID, or exchanges one for the other in one step. A
// nil add and an empty removeID stand for nothing. It returns nil once the new list is committed alone. Adding a voter
// that is in the list and removing one that is not are done already, so a change that failed is repeated as it was.
// Errors are those of Propose, InvalidMembersError, MemberChangePendingError and LearnerBehindError.
func (node *Node) ProposeMembers(ctx context.Context, add *Member, removeID string) error {
	change := memberChange{removeID: removeID}
	if add != nil {
		added := *add
		change.add = &added
	}
	return node.propose(ctx, propose{members: &change})
}

func (node *Node) propose(ctx context.Context, wanted propose) error {
	wanted.proposal = node.lastID.Add(1)
	return node.ask(ctx, wanted, wanted.proposal)
}

// ask hands a proposal or a read to the machine and waits for its end.
func (node *Node) ask(ctx context.Context, wanted input, number uint64) error {
	answer := make(chan error, 1)
	sent := command{input: wanted, id: number, proposal: answer}
	if err := node.send(ctx, sent); err != nil {
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

// abandon asks what became of a proposal whose context has ended.
func (node *Node) abandon(proposal uint64, cause error, answer chan error) error {
	sent := command{input: abandon{proposal: proposal, cause: cause}}
	if err := node.send(node.ctx, sent); err != nil {
		return OutcomeUnknownError{Reason: "the node was closed"}
	}
	select {
	case err := <-answer:
		return err
	case <-node.ctx.Done():
		return OutcomeUnknownError{Reason: "the node was closed"}
	}
}

// Resign gives the leadership up, if this member has it, so that another one is elected at once.
func (node *Node) Resign() {
	// The only error is that the node is closed, and then it does not lead.
	_ = node.send(node.ctx, command{input: resign{}})
}

// Close stops the member without resigning. A save under way is finished first.
func (node *Node) Close() {
	node.cancel()
	node.done.Wait()
}

func (node *Node) now() time.Duration { return time.Since(node.started) }

func (node *Node) send(ctx context.Context, sent command) error {
	if node.ctx.Err() != nil {
		return ClosedError{}
	}
	select {
	case node.commands <- sent:
		return nil
	case <-node.ctx.Done():
		return ClosedError{}
	case <-ctx.Done():
		return ctx.Err()
	}
}

func await[Reply any](ctx context.Context, node *Node, answer chan Reply) (Reply, error) {
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
