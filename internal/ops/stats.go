package ops

import (
	jsoniter "github.com/json-iterator/go"

	"foldlb.example/foldlb/internal/clientconn"
	"foldlb.example/foldlb/internal/core"
)

// Figures are the answer to GET /ops/stats. Requests and Attempts count from the start of this process; InFlight and
// the quote workers are as of now, whichever process took the jobs.
type Stats struct {
	Requests map[string]RequestCounts `json:"requests"` // by class
	InFlight int                      `json:"in_flight"`
	Attempts uint64                   `json:"attempts"` // written whole
	Known    int                      `json:"quote_workers_known"`
	Excluded int                      `json:"quote_workers_excluded"`
}

// Ends counts how the jobs of a class ended.
type RequestCounts struct {
	Served  uint64 `json:"served"`
	Refused uint64 `json:"refused"`
	Failed  uint64 `json:"failed"`
}

// NewStats puts the figures of a dispatcher's parts together.
func NewStats(ends map[string]clientconn.Tally, inFlight int, attempts uint64, v core.View) Stats {
	f := Stats{Requests: make(map[string]RequestCounts, len(ends)), InFlight: inFlight, Attempts: attempts, Known: v.Known, Excluded: v.Excluded}
	for class, t := range ends {
		f.Requests[class] = RequestCounts(t)
	}
	return f
}

var codec = jsoniter.ConfigCompatibleWithStandardLibrary

func (f Stats) answer() Answer {
	text, err := codec.Marshal(f)
	if err != nil {
		return line(500, "figures not written: %v", err)
	}
	return Answer{Status: 200, Body: append(text, '\n'), JSON: true}
}
