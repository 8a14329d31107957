package controlplane

import (
	"crypto/sha256"
	"encoding/binary"
	"net/http"

	"github.com/pkg/errors"

	"foldlb.example/foldlb/internal/catalog"
	"foldlb.example/foldlb/internal/rpc"
)

// Outcomes of an order that are neither new nor a refusal.
var (
	errTakenBefore = errors.New("this order was taken before")
	errForgotten   = errors.New("the order builds on a version so old that it may have been taken and forgotten: read the configuration")
)

// orderKind tells how the body of an order is read.
type orderKind string

const (
	orderReplace orderKind = "replace" // the body is a whole configuration
	orderUpdate  orderKind = "update"  // the body names items to add, replace and remove
)

// configOrder is an order to change the configuration.
type configOrder struct {
	kind      orderKind
	ifVersion uint64 // the version it builds on
	body      []byte
	digest    []byte // identifies the order when it is sent again
}

func newConfigOrder(kind orderKind, ifVersion uint64, body []byte) configOrder {
	hash := sha256.New()
	hash.Write([]byte(kind))
	var version [8]byte
	binary.BigEndian.PutUint64(version[:], ifVersion)
	hash.Write(version[:])
	hash.Write(body)
	return configOrder{kind: kind, ifVersion: ifVersion, body: body, digest: hash.Sum(nil)[:digestBytes]}
}

// preparedOrder is an order that was found valid on top of the version that it names.
type preparedOrder struct {
	configOrder
	version uint64
	config  []byte // the whole configuration, JSON
}

// prepare reads and checks the order against a state. It returns errTakenBefore, errForgotten, or a Refusal.
func (o configOrder) prepare(state *rpc.ControlState) (*preparedOrder, error) {
	if err := o.checkVersion(state); err != nil {
		return nil, err
	}
	config, encoded, err := o.read(state)
	if err != nil {
		return nil, refuse(http.StatusBadRequest, "%v", err)
	}
	if config.Version <= state.ConfigVersion {
		return nil, refuse(http.StatusBadRequest, "version %d is not above the current version %d: give a higher one",
			config.Version, state.ConfigVersion)
	}
	return &preparedOrder{configOrder: o, version: config.Version, config: encoded}, nil
}

// checkVersion reports whether the order is new and builds on the version of a state. It returns errTakenBefore,
// errForgotten, or a Refusal.
func (o configOrder) checkVersion(state *rpc.ControlState) error {
	switch {
	case wasTaken(state, o.digest):
		return errTakenBefore
	case mayBeForgotten(state, o.ifVersion):
		return errForgotten
	case state.ConfigVersion != o.ifVersion:
		return versionMismatch(o.ifVersion, state.ConfigVersion)
	}
	return nil
}

// read returns the whole configuration that the order leads to, checked.
func (o configOrder) read(state *rpc.ControlState) (*catalog.Config, []byte, error) {
	if o.kind == orderReplace {
		config, err := catalog.Parse(o.body)
		return config, o.body, err
	}
	var base *catalog.Config
	if len(state.Config) > 0 {
		current, err := catalog.Parse(state.Config)
		if err != nil {
			return nil, nil, errors.Wrap(err, "the current configuration can't be read: replace it whole")
		}
		base = current
	}
	config, err := catalog.ApplyUpdate(base, o.body)
	if err != nil {
		return nil, nil, err
	}
	encoded, err := config.Marshal()
	return config, encoded, err
}

// apply puts the configuration in a state, unless another order was faster.
func (p *preparedOrder) apply(state *rpc.ControlState) error {
	if err := p.checkVersion(state); err != nil {
		return err
	}
	state.ConfigVersion = p.version
	state.Config = p.config
	recordTaken(state, p.digest)
	return nil
}
