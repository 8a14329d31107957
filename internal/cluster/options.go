package cluster

import (
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"foldlb.example/foldlb/coord/watch"
	"foldlb.example/foldlb/internal/rpc"
	"foldlb.example/foldlb/internal/settings"
)

// Roles of a data-plane process.
const (
	RoleStore      = "store"
	RoleDispatcher = "dispatcher"
)

// Intervals and timeouts of the calls to the control plane.
const (
	storeRenewInterval = 400 * time.Millisecond
	renewTimeout       = 400 * time.Millisecond
	releaseTimeout     = 400 * time.Millisecond
	leaseMargin        = 50 * time.Millisecond // subtracted from each lease, as a margin for late timers
	refusedRetryDelay  = 200 * time.Millisecond
	candidateDelay     = 20 * time.Millisecond // before the next control address is tried
	noCandidateDelay   = 100 * time.Millisecond
	minRenewInterval   = 50 * time.Millisecond
)

// Options configure a Client and describe its process to the control plane.
type Options struct {
	Settings    *settings.Settings
	Role        string // RoleStore or RoleDispatcher
	Disk        string // identity of the disk; stores only
	Address     string // host:port of the Store service; stores only
	Incarnation string // random for each start of the process
	FreshDisk   bool   // the disk was empty at the start
	Log         logr.Logger

	// RoundTripper is the transport to control processes and stores; nil means TCP.
	RoundTripper http.RoundTripper

	// Status, if set, adds the process's status to each renewal: ready partitions, backlog, leaving. It is called
	// from one goroutine.
	Status func(*rpc.RenewRequest)
}

// roundTripper returns the transport for RPC calls.
func (o *Options) roundTripper() http.RoundTripper {
	if o.RoundTripper != nil {
		return o.RoundTripper
	}
	return newTransport(dialTimeoutFor(o.Settings.Zones))
}

// streamClient returns the HTTP client for the stream of updates.
func (o *Options) streamClient() *http.Client {
	client := watch.NewHTTPClient()
	if o.RoundTripper != nil {
		client.Transport = o.RoundTripper
	}
	return client
}

// renewInterval returns the time between two renewals. It is short enough to confirm the configuration twice within
// ConfirmationTTL.
func (o *Options) renewInterval() time.Duration {
	if o.Role == RoleStore || o.Settings.HeartbeatMs <= 0 {
		return storeRenewInterval
	}
	heartbeat := time.Duration(o.Settings.HeartbeatMs) * time.Millisecond
	return min(heartbeat, ConfirmationTTL(o.Settings)/2)
}
