package controlplane

import (
	"encoding/json"

	"github.com/pkg/errors"

	"foldlb.example/foldlb/coord/watch"
	"foldlb.example/foldlb/internal/catalog"
	"foldlb.example/foldlb/internal/rpc"
	"foldlb.example/foldlb/internal/workerlist"
)

// Parts of the stream.
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
		panic(errors.Wrap(err, "a part of the stream can't be encoded: report this as a defect"))
	}
	return watch.Part{Index: part, Data: encoded}
}

// headerPart names the epoch of the leader that streams.
func headerPart(epoch uint64) watch.Part {
	return encodeView(partHeader, &rpc.View{LeaderEpoch: epoch})
}

// configPart is the configuration in force. It has no content before the first one was taken.
func configPart(state *rpc.ControlState) watch.Part {
	if state.ConfigVersion == 0 {
		return watch.Part{Index: partConfig}
	}
	view := &rpc.ConfigView{Version: state.ConfigVersion, Config: state.Config}
	part := encodeView(partConfig, &rpc.View{Config: view})
	part.Version = rpc.FormatPartVersion(state.ConfigVersion)
	return part
}

// configDelta encodes what leads from one configuration to another.
func configDelta(from, to *catalog.Config) []byte {
	change, err := json.Marshal(catalog.Difference(from, to))
	if err != nil {
		panic(errors.Wrap(err, "a change can't be encoded: report this as a defect"))
	}
	part := encodeView(partConfig, &rpc.View{ConfigChanges: []*rpc.ConfigChange{{
		Base:    from.Version,
		Version: to.Version,
		Change:  change,
		Digest:  to.Digest(),
	}}})
	return part.Data
}

// mapPart holds the stores that take part and the owners of the partitions.
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

// workersPart is the platform's list, with what is new against the one streamed before; nil for none.
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

// addressesPart names the control processes.
func addressesPart(addresses []string) watch.Part {
	return encodeView(partAddresses, &rpc.View{ControlAddresses: addresses})
}
