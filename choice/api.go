package choice

// All times are seconds on the host's clock, which starts at an arbitrary value and never goes backwards. Durations are
// in seconds, too. Shares are from 0 to 1.

// Effect is the effect of running a request more than once.
type Effect int

const (
	// Idempotent requests may run any number of times.
	Idempotent Effect = iota
	// Deduplicated requests may be sent again within Class.Window to workers of the first one's Group, which drop repeats.
	Deduplicated
	// AtMostOnce requests must never run twice.
	AtMostOnce
)

// Group is the set of workers that drop each other's repeats of a deduplicated request.
type Group int

const (
	// GroupAll is all workers.
	GroupAll Group = iota
	// GroupZone is the workers of one zone.
	GroupZone
	// GroupCell is the workers of one cell, see Worker.Cell.
	GroupCell
)

// Class is a class of requests.
type Class struct {
	Name        string
	Effect      Effect
	Group       Group   // for Deduplicated
	Window      float64 // seconds in which the group drops repeats, from the first attempt that may have run
	Aim         float64 // an answer within Aim + Stretch * the request's own work, in seconds, has its full worth
	Stretch     float64
	Deadline    float64 // seconds from the client's call to its deadline
	LateWorth   float64 // share of the worth of an answer between aim and deadline
	Worth       float64
	Stream      bool   // answers are streamed
	Kind        string // the only machine kind that runs it; empty for any
	KindUnknown bool   // the class names a machine kind that the settings don't list: no worker can run it
	Priority    int
}

// Tenant is a customer of the service.
type Tenant struct {
	Name  string
	Share float64
	Quota float64 // requests per second over all dispatchers; 0 for no limit
}

// Prices are the points lost for each unit of overhead; 0 where it is free.
type Prices struct {
	CrossZone, Waste, Connection, Handshake, Probe, Peer, Discovery, LateFail float64
}

// Settings is the configuration of a dispatcher.
type Settings struct {
	Self, Dispatchers  int // its own number; how many dispatchers there are, at least 1
	Zone               string
	Classes            []Class // at least one
	Tenants            []Tenant
	Prices             Prices
	ListOnRequest      bool     // discovery sends lists only on request
	AskWithin          float64  // seconds within which the list must be requested again without a subscription
	MaxAttempts        int      // for each request, at least 1
	CanProbe, CanTell  bool     // health checks and messages to other dispatchers are allowed
	CanCancel          bool     // attempts may be cancelled
	SecondCopies       bool     // a request may have two outstanding attempts
	RetryAfter         bool     // refusals tell clients when to retry
	MaxRetryAfter      float64  // longest delay that a refusal may ask for, in seconds
	DialTimeout        float64  // seconds
	ConnIdle           float64  // seconds after which an idle connection is closed
	OpenCap            int      // most open requests; 0 for no limit
	DrainGrace         float64  // seconds after a drain notice in which a worker may still get jobs
	OverloadFactor     float64  // a cold worker that gets more than this multiple of its capacity ...
	TipAfter           float64  // ... for so many seconds fails
	ColdShare          float64  // least share of its capacity that a worker starts with
	WarmWithin         float64  // seconds after its start in which a worker reaches its full capacity
	OverShareWorth     float64  // share of its worth that a request over its tenant's quota has
	ReportsInOutcomes  bool     // outcomes may have load reports
	ReportFields       []string // names of a load report's values, in order
	FreeSlots, FreeMem int      // indexes into ReportFields of free slots and free memory; -1 without
	ErrorsPerS         int      // index of the error rate; -1 without
	ServiceMillis      int      // index of the recent service time; -1 without
	WorthByWork        bool     // Worth is for each unit of a request's work
	LiveShare          bool     // Worker.Share falls while the worker is loaded
	TellsStart         bool     // workers send an update when a job starts
	TellsTaken         bool     // workers send an update when they have taken a job
	ProgressEvery      float64  // seconds between progress updates; 0 for none
	Seed               uint64   // of the random numbers
}

// State is the state of a worker by discovery.
type State int

// States of a worker.
const (
	InService   State = iota
	Terminating       // gets no new jobs, and may finish those that it has
	Terminated
)

// Worker is an entry of discovery's list.
type Worker struct {
	ID      string
	Zone    string
	Kind    string // machine kind
	Cell    int    // group of workers that drop each other's repeats, see GroupCell
	State   State
	Share   float64 // weight by discovery, see Settings.LiveShare
	Started float64 // time of its last start; 0 if that was long ago
}

// ListForm says what a list of workers contains.
type ListForm int

// Forms of a list.
const (
	ListChanges    ListForm = iota // changed workers only
	ListAll                        // all workers
	ListRemembered                 // all workers, from a list stored before the dispatcher's start
	ListRefused                    // empty: discovery did not answer, or ended the subscription
)

// Request is a job to place.
type Request struct {
	ID       string
	Deadline float64 // time at which the client disconnects
	Class    int     // index into Settings.Classes
	Tenant   int     // index into Settings.Tenants; -1 for none
	Key      uint64  // requests of equal keys should go to the same workers
	HasKey   bool
	Memory   float64
	Slots    float64 // that it takes at a worker; less than 1 counts as 1
	Hint     float64 // expected work in core seconds
	HasHint  bool
	Repeat   bool // the client marked it as a retry
	Write    bool
	Resumed  bool // the client returned after an interruption
}

// Code is the outcome of an attempt.
type Code int

// Outcome codes.
const (
	Done             Code = iota
	Errored               // the worker answered with an error: may have run
	Busy                  // the worker refused it before reading it: never ran
	TimedOut              // may have run or be running
	NoConnect             // no connection: never ran
	Reset                 // the connection broke: may have run
	Cancelled             // may have run
	Skipped               // not sent: never ran
	BrokenBeforeSend      // the connection opened and broke before the job was written: never ran
	StaleConnection       // a reused connection was closed already: may have run, and says nothing about the worker
	Returned              // the worker took it, and reported later that it gave it back unstarted: never ran
)

// NeverRan reports whether the code proves that the worker did not run the job.
func (c Code) NeverRan() bool {
	return c == Busy || c == NoConnect || c == Skipped || c == BrokenBeforeSend || c == Returned
}

// Outcome is the end of an attempt.
type Outcome struct {
	Request string
	Attempt int
	Worker  string
	Code    Code
	Latency float64 // seconds since the attempt was sent
	Final   bool    // the request needs no further attempt or answer
	Remark  int64
	Report  []float64 // values of a load report as in Settings.ReportFields, or nil
}

// AttemptUpdate is a worker's status update of an attempt. Without Taken it means that the job runs.
type AttemptUpdate struct {
	Request string
	Worker  string
	Attempt int
	Started bool    // the job has started
	Taken   bool    // the worker has taken the job, which may not have started
	Share   float64 // completed share of the job in a progress update, otherwise 0
}

// Probe is the result of a health check.
type Probe struct {
	Worker  string
	Latency float64 // seconds
	Code    Code
	Report  []float64 // as in Outcome
}

// Actions are the requests of a dispatcher to its host. The host must not call the dispatcher from within them.
type Actions interface {
	// Assign sends an attempt, which ends at the time until, or at the client's deadline if until is 0.
	// The attempts of a request are numbered 0, 1, 2 ... in the order of their Assign.
	Assign(request, worker string, until float64)
	// Refuse ends a request, and promises that it never ran or that a repeat is safe. The client should wait for pause
	// seconds before it retries; 0 leaves that open.
	Refuse(request string, pause float64)
	// Fail ends a request without a promise.
	Fail(request string)
	// Cancel cancels an attempt. Its outcome is Cancelled unless it has ended otherwise before.
	Cancel(request string, attempt int)
	// Timer calls Dispatcher.Timer with the token after delay seconds.
	Timer(delay float64, token uint64)
	// Probe sends a health check.
	Probe(worker string)
	// CloseIdle closes idle connections to the worker.
	CloseIdle(worker string)
	// SendToPeer sends data to another dispatcher, or to all of them if peer is below 0.
	SendToPeer(peer int, data []byte)
	// Subscribe starts or ends the subscription of discovery's updates.
	Subscribe(on bool)
	// ListAll requests one complete list from discovery.
	ListAll()
	// Log logs a text.
	Log(text string)
}
