package core

// RequestID identifies a caller's request. Callers must never reuse one.
type RequestID string

// WorkerID identifies a worker; it is the same at every dispatcher.
type WorkerID string

// ExchangeID identifies an HTTP exchange with a client: one request, for as long as the client waits for its answer.
type ExchangeID uint64

// BranchID identifies a branch: one attempt of a request at one worker.
type BranchID uint64

// Message is the request as the caller sent it; it is passed to workers without being interpreted.
type Message struct {
	Verb   string // HTTP method
	Target string // request target, passed on unparsed
	Token  string // the caller's idempotency key
	Body   []byte
}

// Call is a request as the client-side server parsed it.
type Call struct {
	Exchange  ExchangeID `cbor:"Leg"`
	ID        RequestID
	Class     string
	Tenant    string
	Key       uint64 // id of the entity the request is about, or a hash of its name
	HasKey    bool
	Remaining float64 // seconds that the caller will wait
	Slots     float64 // slots that the request occupies at a worker; less than 1 counts as 1
	Memory    float64 // memory that the request needs at a worker
	Hint      float64 // expected work in core seconds
	HasHint   bool
	Repeat    bool // the caller says that this is a repeat
	Message   Message
}

// WorkerState is a worker's state according to discovery.
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
	Addr    string // host:port
	Zone    string
	Kind    string // machine kind
	Cell    int    // group of workers that drop each other's repeats
	State   WorkerState
	Weight  float64 // weight that discovery states
	Started float64 // Unix seconds; 0 for long ago
}

// RouteSet is discovery's list of workers, or a change to it.
type RouteSet struct {
	Version int64    // increases with every change
	Full    bool     // Workers is the complete list, not a change
	Workers []Worker `cbor:"Hops"`
}

// Limits bounds the resources that a dispatcher may use on its machine.
type Limits struct {
	Cores    float64 // CPU cores
	MemoryMB int
	Sockets  int // open sockets
}

// Source is one discovery address in use. A reload that changes the address creates a new source, so that late messages
// from the previous one can be recognised.
type Source struct {
	Addr string
	No   int // number of address changes since the start
}

// Event is any input to the reducer.
type Event interface{ event() }

// CallArrived reports a request that has been read to its last byte.
type CallArrived struct{ Call Call }

// CallerLeft reports that a caller closed its exchange before it was answered.
type CallerLeft struct {
	Exchange ExchangeID `cbor:"Leg"`
}

// HealthAsked asks whether this dispatcher is ready.
type HealthAsked struct {
	Exchange ExchangeID `cbor:"Leg"`
}

// Fault is the reason why an exchange with a worker ended without the worker accepting the job.
type Fault int

// The faults of a branch.
const (
	NoConnect        Fault = iota // the connection could not be established: the job never ran
	BrokenBeforeSend              // the connection broke before the last byte was sent: the job never ran
	WorkerBusy                    // the worker answered that it is busy: the job never ran
	BrokenAfterSend               // the connection broke, or brought no valid response, after the last byte was sent: the job may have run
	StaleConnection               // a kept-alive connection broke during the request: the job may have run
	Errored                       // the worker answered with an error: the job may have run
	RequestUnusable               // the request is invalid for every worker: the job never ran
	NotSent                       // this dispatcher had no capacity for it or cancelled it: the worker never received it
)

// BranchFailed reports that a branch's exchange ended without the worker accepting the job.
type BranchFailed struct {
	Branch BranchID
	Fault  Fault
}

// BranchTaken reports that a branch's worker has accepted the job.
type BranchTaken struct{ Branch BranchID }

// BranchReleased reports the end of giving up a branch that may have been sent. Told is set if its worker confirmed the
// cancellation; otherwise the worker could not be told.
type BranchReleased struct {
	Branch  BranchID
	Request RequestID
	Told    bool
}

// JobState is the state of a job as its worker reports it.
type JobState int

// The states of a job.
const (
	JobStarted JobState = iota
	JobRunning
	JobDone
	JobFailed
	JobReturned // handed back without having started
	JobLost     // the worker no longer has the job
)

// JobReported is a worker's callback. If it has an exchange, that is answered: with Served if the request or its id is
// known here, and with UnknownRequest if another dispatcher may own the request.
type JobReported struct {
	Exchange ExchangeID `cbor:"Leg,omitempty"` // 0 for none
	Request  RequestID
	From     WorkerID
	State    JobState
	Share    float64 // fraction done, from 0 to 1, while running
	Result   []byte
}

// RouteSetTold delivers a route set, or a change to it, from discovery.
type RouteSetTold struct {
	Source   Source
	RouteSet RouteSet
}

// RouteSetRefused reports that a request to discovery failed, or that a watch ended with an error.
type RouteSetRefused struct{ Source Source }

// Reloaded carries the settings that may change while the dispatcher runs.
type Reloaded struct {
	Discovery string
	Limits    Limits
}

// Stopping reports that the process is about to end: every waiting caller must be answered.
type Stopping struct{}

// Tick reports only that time has passed.
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

// Effect is an action that the reducer asks its host process to perform.
type Effect interface{ effect() }

// Verdict is the kind of a final answer.
type Verdict int

// The verdicts.
const (
	Served         Verdict = iota
	Busy                   // a repeat is harmless
	Failed                 // the request may have run, or may not
	Rejected               // the request itself is invalid
	UnknownRequest         // the request is not known here; another process may own it
)

// Answer is the final answer on an exchange; there is exactly one.
type Answer struct {
	Exchange ExchangeID
	Verdict  Verdict
	Pause    float64 // seconds after which the caller should retry a busy answer; 0 for none stated
	Body     []byte
	Reason   string // explanation for people
}

// SendBranch sends a request to a worker.
type SendBranch struct {
	Branch   BranchID
	Request  RequestID
	Worker   WorkerID `cbor:"Hop"`
	Addr     string
	Until    float64    // when the branch times out
	Exchange ExchangeID `cbor:"Leg,omitempty"` // of the waiting caller; 0 if the branch may be sent without checking that it still waits
	Before   float64    `cbor:",omitempty"`    // the first byte must be written before this time, when the class's window for a repeat ends; 0 for no limit
	Once     bool       `cbor:",omitempty"`    // the worker's answer must be unambiguous, because a repeat may do harm
	Message  Message
}

// GiveUpBranch stops waiting for a branch and tells its worker so.
type GiveUpBranch struct {
	Branch  BranchID
	Request RequestID
	Worker  WorkerID `cbor:"Hop"`
	Addr    string
}

// CloseIdle closes the idle connections to a worker.
type CloseIdle struct{ Addr string }

// DropWorker means that a worker may be sent nothing new, including branches that have not been written yet.
type DropWorker struct{ Addr string }

// VersionUnknown is the version of a route set that its source has not sent yet.
const VersionUnknown int64 = -1

// Watch starts or stops watching a source's route set for versions newer than Since. From VersionUnknown, the watch
// starts with the full list.
type Watch struct {
	On     bool
	Source Source
	Since  int64
}

// FetchRouteSet requests the full list from a source once.
type FetchRouteSet struct{ Source Source }

// SetLimits applies new resource limits.
type SetLimits struct{ Limits Limits }

// Log writes a line to the log.
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
