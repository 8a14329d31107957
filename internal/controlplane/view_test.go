package controlplane

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/catalog"
	"foldlb.example/foldlb/internal/rpc"
)

// A new leader sends the whole view to every process at once. What that takes on its link must end well before the lease does,
// or its own heartbeats queue behind it.
func TestConfigurationTravelsInAFifthOfItsBytes(t *testing.T) {
	config := &catalog.Config{Version: 1}
	for i := range 60 {
		service := fmt.Sprintf("service-%04x", i*7919%65536)
		config.Services = append(config.Services, catalog.Service{Name: service, HealthPath: "/health", MaxConns: 43})
		config.Routes = append(config.Routes, catalog.Route{Name: fmt.Sprintf("r-%05x", i*104729%1048576), Hostname: "host.example",
			PathPrefix: fmt.Sprintf("/path%d/", i), Type: "async", TimeoutMs: 800, Service: service, Retries: 4, RetentionS: 90})
	}
	encoded, err := json.Marshal(config)
	must.NoError(t, err)
	part := configPart(&rpc.ControlState{ConfigVersion: 1, Config: encoded})
	must.Less(t, len(encoded)/5, len(part.Data))
	view, err := rpc.DecodeView(part.Data)
	must.NoError(t, err)
	must.Eq(t, encoded, view.Config.Config)
}

// TCP repeats a lost opening packet after a second; a dial must have been given up long before.
func TestPeerDialEndsBeforeTheOpeningPacketIsRepeated(t *testing.T) {
	must.LessEq(t, time.Second/4, peerDialTimeout)
}
