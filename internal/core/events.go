package core

// RequestID names a caller's request. Callers never use one twice.
type RequestID string

// HopID names a next hop, the same at every dispatcher.
type HopID string

// LegID names a caller leg: one request of one caller, for as long as the caller waits.
type LegID uint64

// BranchID names a branch: one attempt of a request at one next hop.
type BranchID uint64

// Message is what a caller asks for, handed to the next hops unread.
type Message struct {
	Verb   string
	Target string
	Token  string // the caller's own mark of a repeat
	Body   []byte
}

// Call is a request as its front took it.
type Call struct {
	Leg       LegID
	ID        RequestID
	Class     string
	Tenant    string
	Key       uint64 // what the request is about
	HasKey    bool
	Remaining float64 // seconds that the caller waits
	Slots     float64
	Memory    float64
	Hint      float64 // expected work in core seconds
	HasHint   bool
	Repeat    bool // the caller says that it asked before
	Message   Message
}

// HopState is what discovery says of a next hop.
type HopState int

// The states of a next hop.
const (
	HopActive HopState = iota
	HopLeaving
	HopLeft
)

// Hop is one entry of a route set.
type Hop struct {
	ID      HopID
	Addr    string
	Zone    string
	Kind    string
	Cell    int
	State   HopState
	Weight  float64
	Started float64 // Unix seconds; 0 for long ago
}

// RouteSet is discovery's list, or what changed in it.
type RouteSet struct {
	Version int64
	Full    bool
	Hops    []Hop
}

// Limits is what a dispatcher may use of its machine.
type Limits struct {
	Cores    float64
	MemoryMB int
	Sockets  int
}

// Source is one discovery address in use. A reload that names another one makes a new source, so that what
// the old one still says can be told from it.
type Source struct {
	Addr string
	No   int // counts the addresses used since the start
}

// Event is anything that reaches the reducer from outside.
type Event interface{ event() }

// CallArrived brings a request whose last byte has been read.
type CallArrived struct{ Call Call }

// CallerLeft says that a caller closed its leg before the answer.
type CallerLeft struct{ Leg LegID }

// HealthAsked is a question whether this dispatcher is ready.
type HealthAsked struct{ Leg LegID }

// Fault is how an exchange with a next hop ended, where it did not take the job.
type Fault int

// The faults of a branch.
const (
	NoConnect  Fault = iota // no connection came up: it never ran
	Cut                     // a connection came up and broke before the last byte: it never ran
	TurnedAway              // the next hop gave a busy answer: it never ran
	Broken                  // the connection broke after the last byte: it may have run
	Stale                   // a kept connection broke under the request: it may have run
	Errored                 // the next hop answered with an error: it may have run
	Unfit                   // the next hop can't use the request, whoever is asked: it never ran
	NotSent                 // this dispatcher had no place for it, or called it off: the next hop knows nothing
)

// BranchFailed says that a branch's exchange ended without the next hop taking the job.
type BranchFailed struct {
	Branch BranchID
	Fault  Fault
}

// BranchTaken says that a branch's next hop has taken the job.
type BranchTaken struct{ Branch BranchID }

// BranchReleased says that the giving up of a branch that may have been written is over: its next hop has confirmed that, or can't be told.
type BranchReleased struct {
	Branch  BranchID
	Request RequestID
	Told    bool
}

// JobState is what a next hop reports of a job that it took.
type JobState int

// The states of a job.
const (
	JobStarted JobState = iota
	JobRunning
	JobDone
	JobFailed
	JobReturned // handed back, never started
	JobLost
)

// JobReported is a next hop's call-back. Where it has a leg it is answered there: Served where this dispatcher knows
// the request or its id is used, Unowned where another one's request it may be.
type JobReported struct {
	Leg     LegID `cbor:",omitempty"` // 0 for none
	Request RequestID
	From    HopID
	State   JobState
	Share   float64 // part done, while running
	Result  []byte
}

// RouteSetTold brings discovery's news.
type RouteSetTold struct {
	Source   Source
	RouteSet RouteSet
}

// RouteSetRefused says that a question to discovery failed, or that a watch broke.
type RouteSetRefused struct{ Source Source }

// Reloaded brings those parts of a configuration read again that may change while the dispatcher runs.
type Reloaded struct {
	Discovery string
	Limits    Limits
}

// Stopping says that the process ends now: all that callers wait for must be answered.
type Stopping struct{}

// Tick says only that time has passed.
type Tick struct{}

func (CallArrived) event()     {}
func (CallerLeft) event()      {}
func (HealthAsked) event()     {}
func (BranchFailed) event()    {}
func (BranchTaken) event()     {}
func (BranchReleased) event()  {}
func (JobReported) event()     {}
func (RouteSetTold) event()    {}
func (RouteSetRefused) event() {}
func (Reloaded) event()        {}
func (Stopping) event()        {}
func (Tick) event()            {}

// Effect is anything that the reducer wants done outside.
type Effect interface{ effect() }

// Verdict is the kind of a final answer.
type Verdict int

// The verdicts.
const (
	Served   Verdict = iota
	Busy             // a busy answer: asking again is harmless
	Failed           // no promise
	Rejected         // the request itself is at fault
	Unowned          // nothing is said: another process may be the one to ask
)

// Answer is the one final answer on a caller leg.
type Answer struct {
	Leg     LegID
	Verdict Verdict
	Pause   float64 // seconds after which a busy caller should come back; 0 for no word
	Body    []byte
	Reason  string // for people
}

// SendBranch sends a request to a next hop.
type SendBranch struct {
	Branch  BranchID
	Request RequestID
	Hop     HopID
	Addr    string
	Until   float64 // when the branch is given up
	Leg     LegID   `cbor:",omitempty"` // whose caller waits for it; 0 for one that nobody need ask for
	Before  float64 `cbor:",omitempty"` // when its first byte must be written, since its class allows a repeat for so long; 0 for no such time
	Once    bool    `cbor:",omitempty"` // what a next hop says of it must be beyond doubt, as a repeat may do harm
	Message Message
}

// GiveUpBranch ends the wait for a branch and tells its next hop so.
type GiveUpBranch struct {
	Branch  BranchID
	Request RequestID
	Hop     HopID
	Addr    string
}

// CloseIdle closes the idle connections to a next hop.
type CloseIdle struct{ Addr string }

// DropHop says that a next hop takes nothing new: what has not been written to it yet must not be.
type DropHop struct{ Addr string }

// VersionUnknown stands for the version of a list that a source has not told yet.
const VersionUnknown int64 = -1

// Watch begins to watch a source's route set for what is newer than Since, or ends that. From an unknown
// version on it begins with the whole list.
type Watch struct {
	On     bool
	Source Source
	Since  int64
}

// FetchRouteSet asks a source once for the whole list.
type FetchRouteSet struct{ Source Source }

// SetLimits divides new limits among the parts.
type SetLimits struct{ Limits Limits }

// Log is a line for the log.
type Log struct{ Text string }

func (Answer) effect()        {}
func (SendBranch) effect()    {}
func (GiveUpBranch) effect()  {}
func (CloseIdle) effect()     {}
func (DropHop) effect()       {}
func (Watch) effect()         {}
func (FetchRouteSet) effect() {}
func (SetLimits) effect()     {}
func (Log) effect()           {}
