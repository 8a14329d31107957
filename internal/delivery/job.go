// Package delivery sends due messages to the workers of their services and reports the outcome of each attempt. It runs one
// instance of the decision module (package choice) per route, pools connections to workers, enforces the rate limits of services,
// and speaks HTTP/1.1. It stores no messages: the caller that submits a job remains responsible for it.
package delivery

import "time"

// Job is one attempt to run a message that is due. It must not be changed until its outcome has been reported.
type Job struct {
	Name        string // of the message, for logs
	Route       string // route name; priority, timeout and service come from the configuration
	Method      string
	Path        string // request target as received from the client, with the query
	Host        string
	RequestID   string // value of X-Request-Id
	OrderKey    string // empty if the message has no order key
	ContentType string // empty if unknown
	Body        []byte
}

// OutcomeKind says what an attempt proves about its message.
type OutcomeKind int

// The kinds of outcomes. Unknown is the zero value: the message may have run unless something else is proven.
const (
	Unknown       OutcomeKind = iota // the message may have run, or may still be running
	Succeeded                        // a worker responded with success and a response stamp
	FailedAttempt                    // a worker responded 500: the attempt failed and counts towards the retry limit
	Rejected                         // a worker responded 422: the message can never succeed
	NotRun                           // no worker started the message in this attempt
)

// String returns the name of the kind for logs.
func (k OutcomeKind) String() string {
	switch k {
	case Succeeded:
		return "succeeded"
	case FailedAttempt:
		return "failed attempt"
	case Rejected:
		return "rejected"
	case NotRun:
		return "not run"
	default:
		return "unknown"
	}
}

// Outcome is the result of a submitted job.
type Outcome struct {
	Kind       OutcomeKind
	Stamp      string        // X-Response-Stamp header of a success
	RetryAfter time.Duration // with NotRun: the delay before the job should be submitted again
}
