package controlplane

import (
	"crypto/sha256"
	"encoding/binary"
	"net/http"

	"github.com/pkg/errors"

	"foldlb.example/foldlb/internal/catalog"
	"foldlb.example/foldlb/internal/rpc"
)

// Outcomes of a change request that is neither new nor rejected.
var (
	errAlreadyApplied = errors.New("this change request was applied before")
	errDigestDropped  = errors.New("the request is based on a version so old that it may have been applied before: read the configuration")
)

// requestKind determines how the body of a change request is interpreted.
type requestKind string

const (
	requestReplace requestKind = "replace" // the body is a whole configuration
	requestUpdate  requestKind = "update"  // the body names items to add, replace and remove
)

// configRequest is a request to change the configuration.
type configRequest struct {
	kind      requestKind
	ifVersion uint64 // the version that it is based on
	body      []byte
	digest    []byte // identifies the request when it is sent again
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

// preparedRequest is a change request that is valid for the version that it is based on.
type preparedRequest struct {
	configRequest
	version uint64
	config  []byte // the whole configuration, JSON
}

// prepare parses the request and validates it against a state. Errors are errAlreadyApplied, errDigestDropped or a RequestError.
func (r configRequest) prepare(state *rpc.ControlState) (*preparedRequest, error) {
	if err := r.checkVersion(state); err != nil {
		return nil, err
	}
	config, encoded, err := r.read(state)
	if err != nil {
		return nil, reject(http.StatusBadRequest, "%v", err)
	}
	if config.Version <= state.ConfigVersion {
		return nil, reject(http.StatusBadRequest, "version %d is not above the current version %d: give a higher one",
			config.Version, state.ConfigVersion)
	}
	return &preparedRequest{configRequest: r, version: config.Version, config: encoded}, nil
}

// checkVersion returns an error unless the request is new and based on the version of a state: errAlreadyApplied,
// errDigestDropped or a RequestError.
func (r configRequest) checkVersion(state *rpc.ControlState) error {
	switch {
	case wasApplied(state, r.digest):
		return errAlreadyApplied
	case digestMayBeDropped(state, r.ifVersion):
		return errDigestDropped
	case state.ConfigVersion != r.ifVersion:
		return versionMismatch(r.ifVersion, state.ConfigVersion)
	}
	return nil
}

// read returns the whole configuration that results from the request, validated.
func (r configRequest) read(state *rpc.ControlState) (*catalog.Config, []byte, error) {
	if r.kind == requestReplace {
		config, err := catalog.Parse(r.body)
		return config, r.body, err
	}
	var base *catalog.Config
	if len(state.Config) > 0 {
		current, err := catalog.Parse(state.Config)
		if err != nil {
			return nil, nil, errors.Wrap(err, "parse the current configuration: replace it with a whole one")
		}
		base = current
	}
	config, err := catalog.ApplyUpdate(base, r.body)
	if err != nil {
		return nil, nil, err
	}
	encoded, err := config.Marshal()
	return config, encoded, err
}

// apply writes the configuration to a state, unless another request has changed it since prepare.
func (p *preparedRequest) apply(state *rpc.ControlState) error {
	if err := p.checkVersion(state); err != nil {
		return err
	}
	state.ConfigVersion = p.version
	state.Config = p.config
	recordApplied(state, p.digest)
	return nil
}
