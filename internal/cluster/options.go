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

// Intervals and bounds of the exchange with the control plane.
const (
	storeRenewInterval = 400 * time.Millisecond
	renewTimeout       = 400 * time.Millisecond
	releaseTimeout     = 400 * time.Millisecond
	leaseMargin        = 50 * time.Millisecond // taken off each lease against late timers
	refusedRetryDelay  = 200 * time.Millisecond
	candidateDelay     = 20 * time.Millisecond // before the next control address is tried
	noCandidateDelay   = 100 * time.Millisecond
	minRenewGap        = 50 * time.Millisecond
)

// Options describe the process to the control plane.
type Options struct {
	Settings    *settings.Settings
	Role        string // RoleStore or RoleDispatcher
	Disk        string // identity of the disk; stores only
	Address     string // host:port of the Store service; stores only
	Incarnation string // drawn at every start of the process
	FreshDisk   bool   // the disk was empty at this start
	Log         logr.Logger

	// RoundTripper reaches control processes and stores; nil for TCP.
	RoundTripper http.RoundTripper

	// Status completes each renewal, if it is set: partitions that are ready, backlog, leaving. It is called
	// from one goroutine.
	Status func(*rpc.RenewRequest)
}

// roundTripper returns the way to other processes.
func (o *Options) roundTripper() http.RoundTripper {
	if o.RoundTripper != nil {
		return o.RoundTripper
	}
	return newTransport(dialTimeoutFor(o.Settings.Zones))
}

// streamClient returns the client that the stream of updates comes by.
func (o *Options) streamClient() *http.Client {
	client := watch.NewHTTPClient()
	if o.RoundTripper != nil {
		client.Transport = o.RoundTripper
	}
	return client
}

// renewInterval is the time between two renewals: short enough for the configuration to be confirmed twice within its bound.
func (o *Options) renewInterval() time.Duration {
	if o.Role == RoleStore || o.Settings.HeartbeatMs <= 0 {
		return storeRenewInterval
	}
	heartbeat := time.Duration(o.Settings.HeartbeatMs) * time.Millisecond
	return min(heartbeat, ConfirmationTTL(o.Settings)/2)
}
