package ops

import (
	jsoniter "github.com/json-iterator/go"

	"foldlb.example/foldlb/internal/clientconn"
	"foldlb.example/foldlb/internal/core"
)

// Stats is the response to GET /ops/stats. Requests and Attempts count from the start of this process; InFlight and the
// quote workers are current values, and include requests that a previous process accepted.
type Stats struct {
	Requests map[string]RequestCounts `json:"requests"` // by class name
	InFlight int                      `json:"in_flight"`
	Attempts uint64                   `json:"attempts"` // requests written completely to a worker
	Known    int                      `json:"quote_workers_known"`
	Excluded int                      `json:"quote_workers_excluded"`
}

// RequestCounts counts the finished requests of a class by result.
type RequestCounts struct {
	Served  uint64 `json:"served"`
	Refused uint64 `json:"refused"`
	Failed  uint64 `json:"failed"`
}

// NewStats combines the counts of the parts of a dispatcher.
func NewStats(ends map[string]clientconn.Tally, inFlight int, attempts uint64, v core.View) Stats {
	f := Stats{Requests: make(map[string]RequestCounts, len(ends)), InFlight: inFlight, Attempts: attempts, Known: v.Known, Excluded: v.Excluded}
	for class, t := range ends {
		f.Requests[class] = RequestCounts(t)
	}
	return f
}

var jsonCodec = jsoniter.ConfigCompatibleWithStandardLibrary

func (f Stats) response() Response {
	text, err := jsonCodec.Marshal(f)
	if err != nil {
		return textResponse(500, "figures not written: %v", err)
	}
	return Response{Status: 200, Body: append(text, '\n'), JSON: true}
}
