package controlplane

import (
	"github.com/pkg/errors"

	"foldlb.example/foldlb/coord/failover"
)

// startNode starts the node on its record. Where the record can't be read back, the process joins under a new
// identity instead: it has no vote until the leader has exchanged the lost identity for the new one, so votes and
// acknowledgements that it has forgotten are broken by nobody. It never founds a group in that case.
func startNode(config failover.Config) (*failover.Node, error) {
	node, err := failover.New(config)
	var corrupt failover.CorruptRecordError
	if !errors.As(err, &corrupt) {
		return node, err
	}
	config.Bootstrap = false
	config.Storage = emptiedStorage{config.Storage}
	node, err = failover.New(config)
	if err != nil {
		return nil, err
	}
	config.Log.Error(corrupt, "lost: the identity, the newest vote and the copy of the control state of this process; "+
		"it joins under a new identity and has no vote until the leader has exchanged the lost one",
		"address", config.Address, "identity", node.Status().Identity)
	return node, nil
}

// emptiedStorage hides a record that can't be read back. The first save takes its place.
type emptiedStorage struct {
	failover.Storage
}

// Load implements failover.Storage.
func (emptiedStorage) Load() ([]byte, error) {
	return nil, nil
}
