package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"foldlb.example/foldlb/internal/catalog"
	"foldlb.example/foldlb/internal/controlplane"
	"foldlb.example/foldlb/internal/responsecheck"
)

const (
	orderTimeout = 2 * time.Second
	orderPause   = 20 * time.Millisecond
	routesOfOne  = 4 // routes to one service
)

// operator sends configurations and reads the state of control.
type operator struct {
	addresses []string // of the control processes
	http      *http.Client
	version   uint64 // the newest that was acknowledged
	routes    int
	endpoint  string // of the route for traffic; empty for none
	bytes     int    // length of the newest configuration
}

func newOperator(addresses []string, routes int) *operator {
	client := responsecheck.NewClient(orderTimeout)
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &operator{addresses: addresses, routes: routes, http: client}
}

// configuration is a valid one with so many routes. It differs from version to version in a time-out.
func (o *operator) configuration(version uint64) ([]byte, error) {
	config := catalog.Config{Version: version}
	config.Limits = catalog.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000}
	for number := range o.routes {
		config.Routes = append(config.Routes, catalog.Route{
			Name:             fmt.Sprintf("route-%d", number),
			Hostname:         "scale.example",
			PathPrefix:       fmt.Sprintf("/prefix-%d/", number),
			Type:             "async",
			TimeoutMs:        float64(500 + version%1000),
			TargetLatencyMs:  80,
			ScheduleTargetMs: 600,
			Priority:         1,
			Service:          serviceName(number / routesOfOne),
			Retries:          4,
			RetentionS:       90,
		})
	}
	for number := range (o.routes + routesOfOne - 1) / routesOfOne {
		config.Services = append(config.Services, catalog.Service{Name: serviceName(number), HealthPath: "/health", MaxConns: 100, Protocol: "h1"})
	}
	if o.endpoint != "" {
		o.addTraffic(&config)
	}
	return json.Marshal(config)
}

// addTraffic adds a route to the stand-in worker.
func (o *operator) addTraffic(config *catalog.Config) {
	config.Routes = append(config.Routes, catalog.Route{
		Name: trafficService, Hostname: trafficHost, PathPrefix: trafficPath, Type: "async", TimeoutMs: 1000,
		TargetLatencyMs: 80, ScheduleTargetMs: 600, Priority: 1, Service: trafficService, Retries: 4, RetentionS: 90,
	})
	config.Services = append(config.Services, catalog.Service{Name: trafficService, HealthPath: "/health", MaxConns: workerConns,
		Protocol: "h1", StaticEndpoint: &o.endpoint})
}

// change has the next version taken. It returns the version, when it was first sent and when it was acknowledged.
func (o *operator) change(ctx context.Context) (version uint64, sent, acknowledged moment, err error) {
	version = o.version + 1
	body, err := o.configuration(version)
	if err != nil {
		return 0, 0, 0, errors.Wrap(err, "encode a configuration")
	}
	o.bytes = len(body)
	sent = now()
	for ctx.Err() == nil {
		for _, address := range o.addresses {
			if o.order(ctx, address, body) {
				o.version = version
				return version, sent, now(), nil
			}
		}
		if err := pause(ctx, orderPause); err != nil {
			return 0, 0, 0, err
		}
	}
	return 0, 0, 0, errors.Wrap(ctx.Err(), "no control process has taken a configuration: see the logs of the run")
}

// order sends a whole configuration and reports whether it was acknowledged.
func (o *operator) order(ctx context.Context, address string, body []byte) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/api/config/replace", bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-If-Version", strconv.FormatUint(o.version, 10))
	response, err := o.http.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// status reads the state of one control process.
func (o *operator) status(ctx context.Context, address string) (*controlplane.Status, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/internal/status", nil)
	if err != nil {
		return nil, err
	}
	response, err := o.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	status := &controlplane.Status{}
	return status, responsecheck.DecodeJSON(response.Body, status)
}

// leader returns the state of the control process that leads, nil where none says that it does.
func (o *operator) leader(ctx context.Context) *controlplane.Status {
	for _, address := range o.addresses {
		if status, err := o.status(ctx, address); err == nil && status.Leader {
			return status
		}
	}
	return nil
}
