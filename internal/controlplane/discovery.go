package controlplane

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"foldlb.example/foldlb/internal/platformapi"
	"foldlb.example/foldlb/internal/responsecheck"
	"foldlb.example/foldlb/internal/rpc"
	"foldlb.example/foldlb/internal/settings"
)

const (
	discoveryPeriod  = 700 * time.Millisecond // between two reads of the whole list
	discoveryTimeout = time.Second            // of one call
	discoveryBackoff = 2 * time.Second        // maximum pause after failures
	maxPages         = 200
	maxPageBytes     = 4 << 20
	rateReserve      = 2 // calls are limited to 1/rateReserve of the platform's rate
)

// errNoPlatform reports that the settings name no platform.
var errNoPlatform = errors.New("cloud.address is empty: set the platform's address in the settings")

// PlatformError reports that the platform responded with a status other than 200.
type PlatformError struct {
	Status int // HTTP status
}

func (e *PlatformError) Error() string {
	return fmt.Sprintf("the platform responded with status %d to a request for its list of workers: wait and try again", e.Status)
}

// discovery reads the platform's list of workers while this process leads. It must be used by a single goroutine.
type discovery struct {
	configured func() settings.Cloud // the platform as the settings name it now
	changed    <-chan struct{}       // receives after the settings have changed, which ends a pause
	address    string                // host:port in use; empty for none
	interval   time.Duration         // minimum time between two calls
	client     *http.Client
	log        logr.Logger
	lastCall   time.Time
	known      knownWorkers
	answering  bool // the last read of the list succeeded
	reported   bool // the log says whether the platform in use answers
}

// newDiscovery returns a discovery. roundTripper carries the calls, nil selects TCP.
func newDiscovery(configured func() settings.Cloud, changed <-chan struct{}, roundTripper http.RoundTripper, log logr.Logger) *discovery {
	if roundTripper == nil {
		dialer := &net.Dialer{Timeout: discoveryTimeout}
		roundTripper = &http.Transport{DialContext: responsecheck.Dial(dialer.DialContext), MaxIdleConns: 1, DisableCompression: true}
	}
	d := &discovery{
		configured: configured,
		changed:    changed,
		client:     &http.Client{Transport: roundTripper, Timeout: discoveryTimeout},
		log:        log,
	}
	d.applySettings()
	return d
}

// run reads the list until the context ends, and publishes each list that differs from the previous one.
func (d *discovery) run(ctx context.Context, publish func([]*rpc.Worker)) {
	defer d.client.CloseIdleConnections()
	var filter listFilter
	pause := discoveryPeriod
	for {
		if d.applySettings() {
			pause = discoveryPeriod
		}
		workers, err := d.readAll(ctx)
		d.report(err)
		if err != nil {
			pause = min(2*pause, discoveryBackoff)
		} else {
			pause = discoveryPeriod
			workers = d.known.update(time.Now(), workers)
			if filter.isNew(workers) {
				publish(workers)
			}
		}
		if !d.wait(ctx, pause) {
			return
		}
	}
}

// applySettings takes the configured platform into use, and reports whether its address has changed.
func (d *discovery) applySettings() bool {
	cloud := d.configured()
	d.interval = 0
	if cloud.RatePerS > 0 {
		d.interval = time.Duration(rateReserve * float64(time.Second) / cloud.RatePerS)
	}
	if cloud.Address == d.address {
		return false
	}
	if d.address != "" {
		d.log.Info("the platform's address has changed", "before", d.address, "after", cloud.Address)
		d.known.holdMissing(time.Now())
	}
	d.address = cloud.Address
	d.reported = false
	d.client.CloseIdleConnections()
	return true
}

// report logs when the platform stops answering and when it answers again, once each.
func (d *discovery) report(err error) {
	answering := err == nil
	if d.address == "" || errors.Is(err, context.Canceled) || d.reported && answering == d.answering {
		return
	}
	d.reported = true
	d.answering = answering
	if answering {
		d.log.Info("the platform answers", "address", d.address)
		return
	}
	d.log.Info("the platform does not answer, the list of workers stays as it is", "address", d.address, "error", err.Error())
}

// wait waits for a time, or until the settings have changed. It returns false if the context ended before.
func (d *discovery) wait(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-d.changed:
		return true
	case <-ctx.Done():
		return false
	}
}

// listFilter detects lists that are equal to the previous one.
type listFilter struct {
	any  bool
	last []*rpc.Worker
}

// isNew reports whether a sorted list differs from the previous one, and records it if it does.
func (f *listFilter) isNew(workers []*rpc.Worker) bool {
	if f.any && sameWorkers(f.last, workers) {
		return false
	}
	f.any = true
	f.last = workers
	return true
}

// readAll reads all pages. It returns the whole list or an error, never part of a list.
func (d *discovery) readAll(ctx context.Context) ([]*rpc.Worker, error) {
	if d.address == "" {
		return nil, errNoPlatform
	}
	var workers []*rpc.Worker
	token := ""
	for range maxPages {
		if !sleep(ctx, d.interval-time.Since(d.lastCall)) {
			return nil, ctx.Err()
		}
		d.lastCall = time.Now()
		next, err := d.readPage(ctx, token)
		if err != nil {
			return nil, err
		}
		for _, entry := range next.Instances {
			workers = append(workers, workerOf(&entry))
		}
		if next.NextToken == nil || *next.NextToken == "" {
			return sortedWorkers(workers), nil
		}
		token = *next.NextToken
	}
	return nil, errors.Errorf("the list of workers has more than %d pages: raise the limit", maxPages)
}

func (d *discovery) readPage(ctx context.Context, token string) (*platformapi.Page, error) {
	target := url.URL{Scheme: "http", Host: d.address, Path: "/instances"}
	if token != "" {
		target.RawQuery = url.Values{"pageToken": {token}}.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, errors.Wrap(err, "create the request to the platform: correct cloud.address in the settings")
	}
	response, err := d.client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "call the platform: try again")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, &PlatformError{Status: response.StatusCode}
	}
	answer := &platformapi.Page{}
	if err := responsecheck.DecodeJSON(http.MaxBytesReader(nil, response.Body, maxPageBytes), answer); err != nil {
		return nil, errors.Wrap(err, "decode the platform's list: try again")
	}
	return answer, nil
}

// sortedWorkers sorts a list by ID. An entry that moved between pages during the read may appear twice; one is
// kept, a draining one if there is one.
func sortedWorkers(workers []*rpc.Worker) []*rpc.Worker {
	slices.SortFunc(workers, func(left, right *rpc.Worker) int {
		if order := cmp.Compare(left.Id, right.Id); order != 0 || left.Draining == right.Draining {
			return order
		}
		if left.Draining {
			return -1
		}
		return 1
	})
	return slices.CompactFunc(workers, func(left, right *rpc.Worker) bool { return left.Id == right.Id })
}

// workerOf converts an entry of the platform's list. Every state other than ready counts as draining.
func workerOf(i *platformapi.Instance) *rpc.Worker {
	return &rpc.Worker{
		Id:       i.ID,
		Service:  i.Service,
		Address:  i.Address,
		Zone:     i.Zone,
		Capacity: uint32(max(i.Capacity, 0)),
		Draining: i.State != platformapi.StateReady,
		ColdMs:   int64(i.ColdRemainingMs),
	}
}

// sameWorkers compares two sorted lists, ignoring the remaining cold time of workers, which changes with every read.
func sameWorkers(left, right []*rpc.Worker) bool {
	if len(left) != len(right) {
		return false
	}
	for index := range left {
		if !sameWorker(left[index], right[index]) {
			return false
		}
	}
	return true
}

func sameWorker(left, right *rpc.Worker) bool {
	cold := left.ColdMs
	left.ColdMs = right.ColdMs
	same := proto.Equal(left, right)
	left.ColdMs = cold
	return same
}

// sleep waits for the given time. It returns false if the context ended before.
func sleep(ctx context.Context, pause time.Duration) bool {
	if pause <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
