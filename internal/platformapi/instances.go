// Package platformapi holds the wire form of the platform's list of workers, GET /instances: what control reads, and what stand-ins of
// the platform answer.
package platformapi

// States of an instance.
const (
	StateReady    = "ready"
	StateDraining = "draining" // it serves what it has, and is to get nothing new
)

// Instance is one worker on the list.
type Instance struct {
	ID              string  `json:"id"` // of this start of the worker
	Service         string  `json:"service"`
	Address         string  `json:"address"` // host:port
	Zone            string  `json:"zone"`
	Version         string  `json:"version"`         // of the worker's software
	Capacity        float64 `json:"capacity"`        // messages that it works on at a time
	State           string  `json:"state"`           // StateReady or StateDraining
	ColdRemainingMs float64 `json:"coldRemainingMs"` // for which it is still slow after its start
}

// Page is one answer. NextToken asks for the page after it, and is nil on the last one.
type Page struct {
	Instances []Instance `json:"instances"`
	NextToken *string    `json:"nextToken"`
}
