// Package delivery sends due messages to the workers of their services and tells what became of each attempt. It hosts
// one instance of the decision module (package choice) per route, keeps the connections to workers, spends the rates of
// services that have one, and speaks HTTP/1.1. It keeps no message: whoever submits a job owns it before and after.
package delivery

import "time"

// Job is one message that is due. It must not be changed until its outcome is told.
type Job struct {
	Name        string // of the message, for logs
	Route       string // name of the route; its priority, timeout and service are taken from the configuration
	Method      string
	Path        string // request target as it arrived, with the query
	Host        string
	RequestID   string
	OrderKey    string // empty for none
	ContentType string // empty for none
	Body        []byte
}

// OutcomeKind says what an attempt proves about its message.
type OutcomeKind int

// The kinds of outcomes. Unknown is the zero value: what proves nothing else may have run.
const (
	Unknown       OutcomeKind = iota // the message may have run, or may still be running
	Succeeded                        // a worker answered with success and its stamp
	FailedAttempt                    // a worker answered 500: this attempt failed, and counts
	Rejected                         // a worker answered 422: the message can never be done
	NotRun                           // no worker has started on the message in this attempt
)

// String names the kind for logs.
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

// Outcome is what became of a submitted job.
type Outcome struct {
	Kind       OutcomeKind
	Stamp      string        // X-Response-Stamp of a success
	RetryAfter time.Duration // with NotRun: the pause that is asked for before the job is submitted again
}
