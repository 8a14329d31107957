package cluster

import (
	"foldlb.example/foldlb/internal/catalog"
	"foldlb.example/foldlb/internal/rpc"
	"foldlb.example/foldlb/internal/workerlist"
)

const noOwner = -1

// View is an immutable snapshot of what the control plane has streamed. Parts that have not arrived yet are nil.
type View struct {
	Config        *catalog.Config
	Table         *catalog.Table
	ConfigVersion uint64 // 0 before the first configuration
	Map           *rpc.MapView
	Workers       *rpc.WorkerList
	LeaderEpoch   uint64

	owners           []int // by partition: index into Map.Stores, or noOwner
	partitionsByZone map[string][]uint32
	storeIndexByNode map[string]int
	superseded       chan struct{}
}

func newView() *View {
	return &View{superseded: make(chan struct{})}
}

// Superseded returns a channel that is closed once there is a newer view.
func (v *View) Superseded() <-chan struct{} { return v.superseded }

// Partitions returns the number of partitions, 0 before the first map.
func (v *View) Partitions() uint32 {
	return uint32(len(v.owners))
}

// Owner returns the store that owns a partition, and the epoch of its ownership. ok is false if there is no owner, or
// if the owning process has been replaced by another incarnation.
func (v *View) Owner(partition uint32) (owner *rpc.StoreMember, epoch uint64, ok bool) {
	if uint64(partition) >= uint64(len(v.owners)) {
		return nil, 0, false
	}
	epoch = v.Map.Partitions[partition].GetEpoch()
	index := v.owners[partition]
	if index == noOwner {
		return nil, epoch, false
	}
	return v.Map.Stores[index], epoch, true
}

// PartitionsOwnedInZone returns the partitions owned by stores of a zone. Callers must not change the slice.
func (v *View) PartitionsOwnedInZone(zone string) []uint32 { return v.partitionsByZone[zone] }

// HasOwners reports whether any partition has an owner.
func (v *View) HasOwners() bool { return len(v.partitionsByZone) > 0 }

// StoreByNode returns the store on a node.
func (v *View) StoreByNode(node string) (*rpc.StoreMember, bool) {
	index, ok := v.storeIndexByNode[node]
	if !ok {
		return nil, false
	}
	return v.Map.Stores[index], true
}

// Stores returns all stores. Callers must not change the slice.
func (v *View) Stores() []*rpc.StoreMember { return v.Map.GetStores() }

// partVersions returns the versions of the stream's parts that need not be sent again, by part.
func (v *View) partVersions() map[int]string {
	versions := map[int]string{}
	if v.ConfigVersion > 0 {
		versions[rpc.StreamConfig] = rpc.FormatPartVersion(v.ConfigVersion)
	}
	if v.Map != nil {
		versions[rpc.StreamMap] = rpc.FormatPartVersion(v.Map.Version)
	}
	if v.Workers != nil {
		versions[rpc.StreamWorkers] = rpc.FormatPartVersion(v.Workers.Epoch, v.Workers.Version)
	}
	return versions
}

// indexMap builds the lookup tables of the map.
func (v *View) indexMap() {
	v.storeIndexByNode = make(map[string]int, len(v.Map.Stores))
	for index, store := range v.Map.Stores {
		v.storeIndexByNode[store.Node] = index
	}
	v.owners = make([]int, len(v.Map.Partitions))
	v.partitionsByZone = map[string][]uint32{}
	for partition, ownership := range v.Map.Partitions {
		v.owners[partition] = noOwner
		index, ok := v.storeIndexByNode[ownership.Node]
		if !ok || v.Map.Stores[index].Incarnation != ownership.Incarnation {
			continue
		}
		v.owners[partition] = index
		zone := v.Map.Stores[index].Zone
		v.partitionsByZone[zone] = append(v.partitionsByZone[zone], uint32(partition))
	}
}

// merge returns the view updated with the newer parts of an update, and whether there were any. It returns an error
// if a configuration can't be parsed or a change does not match the current version; the other parts are applied
// nevertheless.
func (v *View) merge(update *rpc.View) (next *View, changed bool, err error) {
	merged := *v
	merged.superseded = make(chan struct{})
	merged.LeaderEpoch = max(v.LeaderEpoch, update.LeaderEpoch)
	if part := update.Config; part.GetVersion() > v.ConfigVersion {
		config, parseErr := catalog.Parse(part.Config)
		if parseErr == nil {
			merged.Config, merged.Table, merged.ConfigVersion = config, catalog.NewTable(config), part.Version
			changed = true
		}
		err = parseErr
	}
	for _, part := range update.ConfigChanges {
		applied, changeErr := merged.applyConfigChange(part)
		changed = changed || applied
		if changeErr != nil {
			err = changeErr
			break
		}
	}
	if part := update.Map; part != nil && part.Version > v.Map.GetVersion() {
		merged.Map = part
		merged.indexMap()
		changed = true
	}
	if part := update.Workers; part != nil && isNewerList(part, v.Workers) {
		merged.Workers = part
		changed = true
	}
	for _, part := range update.WorkerChanges {
		applied, changeErr := merged.applyWorkerChange(part)
		changed = changed || applied
		if changeErr != nil {
			err = changeErr
			break
		}
	}
	return &merged, changed, err
}

// applyConfigChange applies a configuration change to a view under construction. It reports whether the change was
// new.
func (v *View) applyConfigChange(part *rpc.ConfigChange) (bool, error) {
	if part.Version <= v.ConfigVersion {
		return false, nil
	}
	if v.Config == nil || part.Base != v.ConfigVersion {
		return false, &ConfigChangeError{Held: v.ConfigVersion, Base: part.Base, Version: part.Version}
	}
	change, err := catalog.ParseChange(part.Change)
	if err != nil {
		return false, &ConfigChangeError{Held: v.ConfigVersion, Base: part.Base, Version: part.Version}
	}
	config := v.Config.With(change)
	if config.Version != part.Version || config.Digest() != part.Digest {
		return false, &ConfigChangeError{Held: v.ConfigVersion, Base: part.Base, Version: part.Version}
	}
	v.Config, v.Table, v.ConfigVersion = config, catalog.NewTable(config), part.Version
	return true, nil
}

// applyWorkerChange applies a worker list change to a view under construction. It reports whether the change was new.
func (v *View) applyWorkerChange(change *rpc.WorkerChange) (bool, error) {
	if current := v.Workers; current != nil && current.Epoch == change.Epoch && current.Version >= change.Version {
		return false, nil
	}
	list, err := workerlist.Apply(v.Workers, change)
	if err != nil {
		return false, err
	}
	v.Workers = list
	return true, nil
}

// isNewerList reports whether a worker list is newer than the current one, by epoch and then version.
func isNewerList(list, current *rpc.WorkerList) bool {
	if current == nil || list.Epoch != current.Epoch {
		return current == nil || list.Epoch > current.Epoch
	}
	return list.Version > current.Version
}
