package core

// RequestID names a caller's request. Callers never use one twice.
type RequestID string

// WorkerID names a worker, the same at every dispatcher.
type WorkerID string

// ExchangeID names an HTTP exchange with a client: one request, for as long as the client waits for its answer.
type ExchangeID uint64

// BranchID names a branch: one attempt of a request at one worker.
type BranchID uint64

// Message is what a caller asks for, handed to the workers unread.
type Message struct {
	Verb   string
	Target string
	Token  string // the caller's own mark of a repeat
	Body   []byte
}

// Call is a request as its front took it.
type Call struct {
	Exchange  ExchangeID `cbor:"Leg"`
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

// WorkerState is what discovery says of a worker.
type WorkerState int

// The states of a worker.
const (
	WorkerActive WorkerState = iota
	WorkerLeaving
	WorkerLeft
)

// Worker is one entry of a route set.
type Worker struct {
	ID      WorkerID
	Addr    string
	Zone    string
	Kind    string
	Cell    int
	State   WorkerState
	Weight  float64
	Started float64 // Unix seconds; 0 for long ago
}

// RouteSet is discovery's list, or what changed in it.
type RouteSet struct {
	Version int64
	Full    bool
	Workers []Worker `cbor:"Hops"`
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

// CallerLeft says that a caller closed its exchange before the answer.
type CallerLeft struct {
	Exchange ExchangeID `cbor:"Leg"`
}

// HealthAsked is a question whether this dispatcher is ready.
type HealthAsked struct {
	Exchange ExchangeID `cbor:"Leg"`
}

// Fault is how an exchange with a worker ended, where it did not take the job.
type Fault int

// The faults of a branch.
const (
	NoConnect        Fault = iota // no connection came up: it never ran
	BrokenBeforeSend              // a connection came up and broke before the last byte: it never ran
	WorkerBusy                    // the worker gave a busy answer: it never ran
	BrokenAfterSend               // the connection broke after the last byte: it may have run
	StaleConnection               // a kept connection broke under the request: it may have run
	Errored                       // the worker answered with an error: it may have run
	RequestUnusable               // the worker can't use the request, whoever is asked: it never ran
	NotSent                       // this dispatcher had no place for it, or called it off: the worker knows nothing
)

// BranchFailed says that a branch's exchange ended without the worker taking the job.
type BranchFailed struct {
	Branch BranchID
	Fault  Fault
}

// BranchTaken says that a branch's worker has taken the job.
type BranchTaken struct{ Branch BranchID }

// BranchReleased says that the giving up of a branch that may have been written is over: its worker has confirmed that, or can't be told.
type BranchReleased struct {
	Branch  BranchID
	Request RequestID
	Told    bool
}

// JobState is what a worker reports of a job that it took.
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

// JobReported is a worker's call-back. Where it has an exchange it is answered there: Served where this dispatcher knows
// the request or its id is used, Unowned where another one's request it may be.
type JobReported struct {
	Exchange ExchangeID `cbor:"Leg,omitempty"` // 0 for none
	Request  RequestID
	From     WorkerID
	State    JobState
	Share    float64 // part done, while running
	Result   []byte
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
	Served         Verdict = iota
	Busy                   // a busy answer: asking again is harmless
	Failed                 // no promise
	Rejected               // the request itself is at fault
	UnknownRequest         // nothing is said: another process may be the one to ask
)

// Answer is the one final answer on an exchange.
type Answer struct {
	Exchange ExchangeID
	Verdict  Verdict
	Pause    float64 // seconds after which a busy caller should come back; 0 for no word
	Body     []byte
	Reason   string // for people
}

// SendBranch sends a request to a worker.
type SendBranch struct {
	Branch   BranchID
	Request  RequestID
	Worker   WorkerID `cbor:"Hop"`
	Addr     string
	Until    float64    // when the branch is given up
	Exchange ExchangeID `cbor:"Leg,omitempty"` // whose caller waits for it; 0 for one that nobody need ask for
	Before   float64    `cbor:",omitempty"`    // when its first byte must be written, since its class allows a repeat for so long; 0 for no such time
	Once     bool       `cbor:",omitempty"`    // what a worker says of it must be beyond doubt, as a repeat may do harm
	Message  Message
}

// GiveUpBranch ends the wait for a branch and tells its worker so.
type GiveUpBranch struct {
	Branch  BranchID
	Request RequestID
	Worker  WorkerID `cbor:"Hop"`
	Addr    string
}

// CloseIdle closes the idle connections to a worker.
type CloseIdle struct{ Addr string }

// DropWorker says that a worker takes nothing new: what has not been written to it yet must not be.
type DropWorker struct{ Addr string }

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
func (DropWorker) effect()    {}
func (Watch) effect()         {}
func (FetchRouteSet) effect() {}
func (SetLimits) effect()     {}
func (Log) effect()           {}
