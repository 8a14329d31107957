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
	errAlreadyApplied = errors.New("this order was taken before")
	errDigestDropped  = errors.New("the order builds on a version so old that it may have been taken and forgotten: read the configuration")
)

// requestKind tells how the body of an order is read.
type requestKind string

const (
	requestReplace requestKind = "replace" // the body is a whole configuration
	requestUpdate  requestKind = "update"  // the body names items to add, replace and remove
)

// configRequest is an order to change the configuration.
type configRequest struct {
	kind      requestKind
	ifVersion uint64 // the version it builds on
	body      []byte
	digest    []byte // identifies the order when it is sent again
}

func newConfigRequest(kind requestKind, ifVersion uint64, body []byte) configRequest {
	hash := sha256.New()
	hash.Write([]byte(kind))
	var version [8]byte
	binary.BigEndian.PutUint64(version[:], ifVersion)
	hash.Write(version[:])
	hash.Write(body)
	return configRequest{kind: kind, ifVersion: ifVersion, body: body, digest: hash.Sum(nil)[:digestBytes]}
}

// preparedRequest is an order that was found valid on top of the version that it names.
type preparedRequest struct {
	configRequest
	version uint64
	config  []byte // the whole configuration, JSON
}

// prepare reads and checks the order against a state. It returns errAlreadyApplied, errDigestDropped, or a Refusal.
func (o configRequest) prepare(state *rpc.ControlState) (*preparedRequest, error) {
	if err := o.checkVersion(state); err != nil {
		return nil, err
	}
	config, encoded, err := o.read(state)
	if err != nil {
		return nil, reject(http.StatusBadRequest, "%v", err)
	}
	if config.Version <= state.ConfigVersion {
		return nil, reject(http.StatusBadRequest, "version %d is not above the current version %d: give a higher one",
			config.Version, state.ConfigVersion)
	}
	return &preparedRequest{configRequest: o, version: config.Version, config: encoded}, nil
}

// checkVersion reports whether the order is new and builds on the version of a state. It returns errAlreadyApplied,
// errDigestDropped, or a Refusal.
func (o configRequest) checkVersion(state *rpc.ControlState) error {
	switch {
	case wasApplied(state, o.digest):
		return errAlreadyApplied
	case digestMayBeDropped(state, o.ifVersion):
		return errDigestDropped
	case state.ConfigVersion != o.ifVersion:
		return versionMismatch(o.ifVersion, state.ConfigVersion)
	}
	return nil
}

// read returns the whole configuration that the order leads to, checked.
func (o configRequest) read(state *rpc.ControlState) (*catalog.Config, []byte, error) {
	if o.kind == requestReplace {
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
func (p *preparedRequest) apply(state *rpc.ControlState) error {
	if err := p.checkVersion(state); err != nil {
		return err
	}
	state.ConfigVersion = p.version
	state.Config = p.config
	recordApplied(state, p.digest)
	return nil
}
