package choice

// All times are seconds on the host's clock, which begins at no particular value and only moves forward.

// Effect says what a repeat of a request would do.
type Effect int

// The three effects.
const (
	Idempotent   Effect = iota // may be repeated freely
	Deduplicated               // repeats are dropped by the first worker's group for a while
	AtMostOnce                 // must never run twice
)

// Group says which workers drop repeats of a deduplicated request.
type Group int

// The groups of workers that share the memory of a deduplicated request.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Class describes one class of requests.
type Class struct {
	Name        string
	Effect      Effect
	Group       Group
	Window      float64 // how long the group drops repeats, from the first attempt that may have run
	Aim         float64 // an answer within Aim + Stretch x the request's own work earns the full worth
	Stretch     float64
	Deadline    float64
	LateWorth   float64 // part of the worth paid between aim and deadline
	Worth       float64
	Stream      bool
	Kind        string // the only machine kind that runs it; empty for any
	KindUnknown bool   // the class names a machine kind that the settings do not list: nobody can run it
	Priority    int
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	Name  string
	Share float64
	Quota float64 // requests a second over all dispatchers
}

// Prices are points lost for each unit of overhead; zero where a site does not charge it.
type Prices struct {
	CrossZone, Waste, Connection, Handshake, Probe, Peer, Discovery, LateFail float64
}

// Settings is all a dispatcher is told when it starts.
type Settings struct {
	Self, Dispatchers  int // its own number, and how many dispatchers there are
	Zone               string
	Classes            []Class
	Tenants            []Tenant
	Prices             Prices
	ListOnRequest      bool    // discovery answers only when asked
	AskWithin          float64 // without a subscription the list must be asked this often
	MaxAttempts        int
	CanProbe, CanTell  bool // health checks; messages to peers
	CanCancel          bool
	SecondCopies       bool // two attempts of a request may be out at once
	RetryAfter         bool // clients are given the pause of a refusal
	MaxRetryAfter      float64
	DialTimeout        float64
	ConnIdle           float64
	OpenCap            int
	DrainGrace         float64
	OverloadFactor     float64 // a cold worker sent more than this multiple of its capacity ...
	TipAfter           float64 // ... for this long falls over
	ColdShare          float64 // capacity a worker starts with, at the least
	WarmWithin         float64 // and is warm after this, at the latest
	OverShareWorth     float64 // what a request over its tenant's share keeps of its worth
	ReportsInOutcomes  bool
	ReportFields       []string // names of a load report's values, in order
	FreeSlots, FreeMem int      // places in ReportFields of the free slots and the free memory; -1 without
	ErrorsPerS         int      // place of the error rate; -1 without
	ServiceMillis      int      // place of the recent service time; -1 without
	WorthByWork        bool     // a request's worth is counted for each unit of its work
	LiveShare          bool     // Worker.Share falls as the worker holds more
	TellsStart         bool     // a note comes when a job starts
	TellsTaken         bool     // and another when the worker has taken it
	ProgressEvery      float64  // the gap between progress notes; 0 for none
	Seed               uint64
}

// State is what discovery says of a worker.
type State int

// The states of a worker.
const (
	InService State = iota
	Terminating
	Terminated
)

// Worker is one entry of discovery's list.
type Worker struct {
	ID      string
	Zone    string
	Kind    string
	Cell    int
	State   State
	Share   float64
	Started float64 // when it last started; 0 for long ago
}

// ListForm says how a list of workers is to be read.
type ListForm int

// The forms of a list.
const (
	ListChanges    ListForm = iota // only what changed
	ListAll                        // the complete list
	ListRemembered                 // the complete list as of some time before this start
	ListRefused                    // discovery did not answer, or dropped the subscription
)

// Request is a job to place.
type Request struct {
	ID       string
	Deadline float64 // when the client leaves
	Class    int     // index into Settings.Classes
	Tenant   int     // index into Settings.Tenants; -1 for none
	Key      uint64
	HasKey   bool
	Memory   float64
	Slots    float64
	Hint     float64 // expected work in core seconds
	HasHint  bool
	Repeat   bool // the client said that it is a retry
	Write    bool
	Resumed  bool // it returned after a break
}

// Code is how an attempt ended.
type Code int

// The outcome codes.
const (
	Done             Code = iota
	Errored               // the worker answered with an error: may have run
	Busy                  // turned away unseen: never ran
	TimedOut              // may have run or be running
	NoConnect             // never ran
	Reset                 // the connection broke: may have run
	Cancelled             // may have run
	Skipped               // never sent
	BrokenBeforeSend      // the connection came up and broke before the job was written: never ran
	StaleConnection       // a kept connection had ended: may have run, and says nothing of the worker
	Returned              // taken and handed back unstarted, as the worker said later: never ran
)

// NeverRan reports whether the code proves that the attempt did not run.
func (c Code) NeverRan() bool {
	return c == Busy || c == NoConnect || c == Skipped || c == BrokenBeforeSend || c == Returned
}

// Outcome is the end of one attempt.
type Outcome struct {
	Request string
	Attempt int
	Worker  string
	Code    Code
	Latency float64
	Final   bool // nothing more is owed for the request
	Remark  int64
	Report  []float64 // load report, or nil
}

// Note is news of a running attempt.
type AttemptUpdate struct {
	Request string
	Worker  string
	Attempt int
	Started bool    // it has begun
	Taken   bool    // the worker has it, begun or not
	Share   float64 // part completed, for progress notes
}

// Probe is the result of a health check.
type Probe struct {
	Worker  string
	Latency float64
	Code    Code
	Report  []float64
}

// Actions is what a dispatcher asks of its host. The host must not call back into the dispatcher from it.
type Actions interface {
	// Assign sends an attempt, given up at until (0: when the client leaves).
	// A request's attempts are numbered 0, 1, 2 ... in the order of their Assign.
	Assign(request, worker string, until float64)
	// Refuse ends a request with the promise that it never ran, or may safely be repeated.
	Refuse(request string, pause float64)
	// Fail ends a request with no promise.
	Fail(request string)
	Cancel(request string, attempt int)
	// Timer brings token back through Dispatcher.Timer after the delay.
	Timer(delay float64, token uint64)
	Probe(worker string)
	CloseIdle(worker string)
	SendToPeer(peer int, data []byte) // to all peers where peer is below 0
	Subscribe(on bool)
	ListAll()
	Log(text string)
}
