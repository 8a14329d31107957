package controlplane

import (
	"encoding/json"

	"github.com/pkg/errors"

	"foldlb.example/foldlb/coord/watch"
	"foldlb.example/foldlb/internal/catalog"
	"foldlb.example/foldlb/internal/rpc"
	"foldlb.example/foldlb/internal/workerlist"
)

// Indexes of the parts of the stream.
const (
	partHeader    = rpc.StreamHeader
	partConfig    = rpc.StreamConfig
	partMap       = rpc.StreamMap
	partWorkers   = rpc.StreamWorkers
	partAddresses = rpc.StreamAddresses
	partCount     = rpc.StreamPartCount
)

// encodeView encodes one part of the stream.
func encodeView(part int, view *rpc.View) watch.Part {
	encoded, err := rpc.EncodeView(view)
	if err != nil {
		panic(errors.Wrap(err, "encode a part of the stream: report this as a defect"))
	}
	return watch.Part{Index: part, Data: encoded}
}

// headerPart returns the part that contains the epoch of the streaming leader.
func headerPart(epoch uint64) watch.Part {
	return encodeView(partHeader, &rpc.View{LeaderEpoch: epoch})
}

// configPart returns the part with the committed configuration. It is empty if there is none yet.
func configPart(state *rpc.ControlState) watch.Part {
	if state.ConfigVersion == 0 {
		return watch.Part{Index: partConfig}
	}
	view := &rpc.ConfigView{Version: state.ConfigVersion, Config: state.Config}
	part := encodeView(partConfig, &rpc.View{Config: view})
	part.Version = rpc.FormatPartVersion(state.ConfigVersion)
	return part
}

// configDelta encodes the difference between two configurations.
func configDelta(from, to *catalog.Config) []byte {
	change, err := json.Marshal(catalog.Difference(from, to))
	if err != nil {
		panic(errors.Wrap(err, "encode a configuration change: report this as a defect"))
	}
	part := encodeView(partConfig, &rpc.View{ConfigChanges: []*rpc.ConfigChange{{
		Base:    from.Version,
		Version: to.Version,
		Change:  change,
		Digest:  to.Digest(),
	}}})
	return part.Data
}

// mapPart returns the part with the active stores and the owners of the partitions. copies is the number of copies that
// each message must have.
func mapPart(state *rpc.ControlState, copies int) watch.Part {
	view := &rpc.MapView{
		Version:    state.MapVersion,
		Stores:     publishedStores(state),
		Partitions: state.Partitions,
		Copies:     uint32(copies),
	}
	part := encodeView(partMap, &rpc.View{Map: view})
	part.Version = rpc.FormatPartVersion(state.MapVersion)
	return part
}

// workersPart returns the part with the platform's list of workers, with a delta to the previously streamed list if before
// is not nil.
func workersPart(before, list *rpc.WorkerList) watch.Part {
	part := encodeView(partWorkers, &rpc.View{Workers: list})
	part.Version = rpc.FormatPartVersion(list.Epoch, list.Version)
	if before == nil {
		return part
	}
	if change := workerlist.Difference(before, list); change != nil {
		part.Delta = encodeView(partWorkers, &rpc.View{WorkerChanges: []*rpc.WorkerChange{change}}).Data
	}
	return part
}

// addressesPart returns the part with the addresses of the control processes.
func addressesPart(addresses []string) watch.Part {
	return encodeView(partAddresses, &rpc.View{ControlAddresses: addresses})
}
