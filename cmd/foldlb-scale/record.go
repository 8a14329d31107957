package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// record is what one part of a run has measured.
type record struct {
	Part     string    `json:"part"`
	Date     string    `json:"date"`
	Commit   string    `json:"commit"`
	Cores    int       `json:"cores"`
	LoadAt   string    `json:"loadAverageAtStart"` // of the whole machine, which others may use as well
	TookS    float64   `json:"tookS"`
	NotShown []string  `json:"notShown"`
	Points   []point   `json:"points,omitempty"`
	Faults   []fault   `json:"faults,omitempty"`
	Traffic  []traffic `json:"traffic,omitempty"`
	Backlogs []backlog `json:"backlogs,omitempty"`
}

// point is one size of the system.
type point struct {
	Dispatchers     int              `json:"dispatchers"` // hollow ones
	RealDispatchers int              `json:"realDispatchers"`
	Stores          int              `json:"stores"`
	Destinations    int              `json:"destinations"`
	ListCallsPerS   float64          `json:"listCallsPerS"` // that the stand-in list takes
	Routes          int              `json:"routes"`
	Relays          int              `json:"relays"`
	ConfigBytes     int              `json:"configBytes"`
	ChangesPerS     float64          `json:"changesPerS"` // of the window "changing"
	Following       int              `json:"following"`   // hollow dispatchers that hold the newest configuration
	LeasesValid     int              `json:"leasesValid"` // hollow dispatchers whose lease holds
	JoinS           float64          `json:"joinS"`       // until the last of those had a configuration
	StreamsAtLeader int              `json:"streamsAtLeader"`
	Steady          map[string]usage `json:"steady"`   // by role, while nothing changes
	Changing        map[string]usage `json:"changing"` // by role, while configurations change
	ConfigInForce   *spread          `json:"configInForce,omitempty"`
	ListInForce     *spread          `json:"listInForce,omitempty"`
	Remarks         []string         `json:"remarks,omitempty"`
}

// usage is what one process, or one hollow dispatcher, used in a window.
type usage struct {
	Count        int     `json:"count"` // over how many the figures are the mean
	CorePercent  float64 `json:"corePercent"`
	MemoryMb     float64 `json:"memoryMb"` // resident at the end of the window
	ReadBytesS   float64 `json:"readBytesPerS"`
	WriteBytesS  float64 `json:"writeBytesPerS"`
	ReadCallsS   float64 `json:"readCallsPerS"`
	WriteCallsS  float64 `json:"writeCallsPerS"`
	WindowS      float64 `json:"windowS"`
	CPUMsTotal   float64 `json:"cpuMsTotal"` // of all together, in the window
	ChangesInWin int     `json:"changesInWindow,omitempty"`
}

// spread tells how long changes took to be in force, over all changes and subscribers.
type spread struct {
	Changes  int     `json:"changes"`
	Arrivals int     `json:"arrivals"`
	Missing  int     `json:"missing"` // subscribers that a change did not reach in the time given
	MedianMs float64 `json:"medianMs"`
	P99Ms    float64 `json:"p99Ms"`
	WorstMs  float64 `json:"worstMs"`
}

// fault is the effect of one failure.
type fault struct {
	Kind        string             `json:"kind"`
	Dispatchers int                `json:"dispatchers"`
	Killed      int                `json:"killed"`
	TimesMs     map[string]float64 `json:"timesMs"`
	After       *spread            `json:"changeAfterwards,omitempty"`
	Steady      map[string]usage   `json:"steadyAfterwards,omitempty"`
	Remark      string             `json:"remark,omitempty"`
}

// backlog is what a store keeps of so many queued messages.
type backlog struct {
	Messages        int     `json:"messages"`
	BodyBytes       int     `json:"bodyBytes"`
	HeapPerMessage  float64 `json:"heapBytesPerMessage"`
	ResidentPerMsg  float64 `json:"residentBytesPerMessage"`
	DiskPerMessage  float64 `json:"diskBytesPerMessage"`
	AppendUsPerMsg  float64 `json:"appendUsPerMessage"`
	ReplayUsPerMsg  float64 `json:"replayUsPerMessage"`
	DrainUsPerMsg   float64 `json:"drainUsPerMessage"` // starting and finishing in the table, without I/O
	ListBytesPerMsg float64 `json:"gatherListBytesPerMessage"`
	ListUsPerMsg    float64 `json:"gatherListUsPerMessage"`
	WalkUsPerMsg    float64 `json:"walkUsPerMessage"` // one visit of every message, as each second's upkeep makes
}

// newSpread summarises times in milliseconds.
func newSpread(changes, missing int, times []float64) *spread {
	sorted := slices.Sorted(slices.Values(times))
	return &spread{
		Changes:  changes,
		Arrivals: len(sorted),
		Missing:  missing,
		MedianMs: quantile(sorted, 0.5),
		P99Ms:    quantile(sorted, 0.99),
		WorstMs:  quantile(sorted, 1),
	}
}

// quantile returns the value at a part of a sorted list, 0 of an empty one.
func quantile(sorted []float64, part float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	index := int(part*float64(len(sorted))+0.999999) - 1
	return sorted[min(max(index, 0), len(sorted)-1)]
}

// save writes the record of a part.
func (r *record) save(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return errors.Wrap(err, "create the folder of the records: check --out")
	}
	encoded, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return errors.Wrap(err, "encode a record")
	}
	path := filepath.Join(folder, r.Part+".json")
	return errors.Wrap(os.WriteFile(path, append(encoded, '\n'), 0o644), "write a record: check --out")
}

// loadRecord reads the record of a part; nil where there is none.
func loadRecord(folder, part string) (*record, error) {
	data, err := os.ReadFile(filepath.Join(folder, part+".json"))
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read a record: check --out")
	}
	loaded := &record{}
	return loaded, errors.Wrapf(json.Unmarshal(data, loaded), "read the record of %s: run the part again", part)
}

// today is the date of a record.
func today() string { return time.Now().UTC().Format(time.DateOnly) }
