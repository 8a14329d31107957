// Package platformapi holds the JSON types of the platform's list of workers, GET /instances. The control process reads it; simulated
// platforms serve it.
package platformapi

// States of an instance. A draining instance completes its running messages and must get no new ones.
const (
	StateReady    = "ready"
	StateDraining = "draining"
)

// Instance is one worker of the list.
type Instance struct {
	ID              string  `json:"id"` // new at each start of the worker
	Service         string  `json:"service"`
	Address         string  `json:"address"` // host:port
	Zone            string  `json:"zone"`
	Version         string  `json:"version"`         // version of the worker's software
	Capacity        float64 `json:"capacity"`        // messages processed at the same time
	State           string  `json:"state"`           // StateReady or StateDraining
	ColdRemainingMs float64 `json:"coldRemainingMs"` // remaining warm-up time in milliseconds
}

// Page is one page of the list. NextToken requests the next page; it is nil on the last one.
type Page struct {
	Instances []Instance `json:"instances"`
	NextToken *string    `json:"nextToken"`
}
