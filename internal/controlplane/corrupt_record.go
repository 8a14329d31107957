package controlplane

import (
	"github.com/pkg/errors"

	"foldlb.example/foldlb/coord/failover"
)

// startNode starts the node from its record. If the record is corrupt, the process joins under a new identity
// instead. It has no vote until the leader has replaced the lost identity by the new one, so it can't contradict
// votes and acknowledgements of which it has lost the record. It doesn't bootstrap a new group in that case.
func startNode(config failover.Config) (*failover.Node, error) {
	node, err := failover.New(config)
	var corrupt failover.CorruptRecordError
	if !errors.As(err, &corrupt) {
		return node, err
	}
	config.Bootstrap = false
	config.Storage = emptyStorage{config.Storage}
	node, err = failover.New(config)
	if err != nil {
		return nil, err
	}
	config.Log.Error(corrupt, "the record of this process is corrupt: its identity, latest vote and copy of the control state are lost; "+
		"it joins under a new identity and has no vote until the leader has replaced the lost one",
		"address", config.Address, "identity", node.Status().Identity)
	return node, nil
}

// emptyStorage hides a corrupt record. The first save replaces it.
type emptyStorage struct {
	failover.Storage
}

// Load implements failover.Storage.
func (emptyStorage) Load() ([]byte, error) {
	return nil, nil
}
