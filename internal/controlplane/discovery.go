package controlplane

import (
	"cmp"
	"context"
	"encoding/json"
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
	"foldlb.example/foldlb/internal/rpc"
)

const (
	discoveryPeriod  = 700 * time.Millisecond // between two reads of the whole list
	discoveryTimeout = time.Second            // of one call
	discoveryBackoff = 2 * time.Second        // maximum pause after failures
	maxPages         = 200
	maxPageBytes     = 4 << 20
	rateReserve      = 2 // calls are limited to 1/rateReserve of the platform's rate
)

// PlatformError reports that the platform responded with a status other than 200.
type PlatformError struct {
	Status int // HTTP status
}

func (e *PlatformError) Error() string {
	return fmt.Sprintf("the platform responded with status %d to a request for its list of workers: wait and try again", e.Status)
}

// discovery reads the platform's list of workers while this process leads. It must be used by a single goroutine.
type discovery struct {
	address  string        // host:port of the platform
	interval time.Duration // minimum time between two calls
	client   *http.Client
	log      logr.Logger
	lastCall time.Time
}

// newDiscovery returns a discovery. ratePerS is the rate of calls that the platform allows, 0 for no limit; roundTripper
// carries the calls, nil selects TCP.
func newDiscovery(address string, ratePerS float64, roundTripper http.RoundTripper, log logr.Logger) *discovery {
	if roundTripper == nil {
		dialer := &net.Dialer{Timeout: discoveryTimeout}
		roundTripper = &http.Transport{DialContext: dialer.DialContext, MaxIdleConns: 1, DisableCompression: true}
	}
	interval := time.Duration(0)
	if ratePerS > 0 {
		interval = time.Duration(rateReserve * float64(time.Second) / ratePerS)
	}
	return &discovery{
		address:  address,
		interval: interval,
		client:   &http.Client{Transport: roundTripper, Timeout: discoveryTimeout},
		log:      log,
	}
}

// run reads the list until the context ends, and publishes each list that differs from the previous one.
func (d *discovery) run(ctx context.Context, publish func([]*rpc.Worker)) {
	defer d.client.CloseIdleConnections()
	var filter listFilter
	pause := discoveryPeriod
	for {
		workers, err := d.readAll(ctx)
		if err != nil {
			d.log.V(1).Info("reading the list of workers failed", "error", err.Error())
			pause = min(2*pause, discoveryBackoff)
		} else {
			pause = discoveryPeriod
			if filter.isNew(workers) {
				publish(workers)
			}
		}
		if !sleep(ctx, pause) {
			return
		}
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
	decoder := json.NewDecoder(http.MaxBytesReader(nil, response.Body, maxPageBytes))
	if err := decoder.Decode(answer); err != nil {
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
