package cluster

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"foldlb.example/foldlb/internal/responsecheck"
	"foldlb.example/foldlb/internal/rpc"
)

const (
	sameRegionDialTimeout  = 100 * time.Millisecond // if all zones are in one region
	crossRegionDialTimeout = 250 * time.Millisecond
	tcpUserTimeout         = 800 * time.Millisecond // a connection with data unacknowledged for this long is closed
	idleConnTimeout        = 30 * time.Second
	maxIdleConns           = 256
	maxIdleConnsPerHost    = 32
	maxConnsPerHost        = 256
	connBufferSize         = 4 << 10
)

// newTransport returns the transport of the internal protocol. Connections to unresponsive machines are closed after
// tcpUserTimeout, and a response that is not valid is an error.
func newTransport(dialTimeout time.Duration) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, Control: setUserTimeout}
	dial := func(ctx context.Context, _, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp4", address)
	}
	return &http.Transport{
		DialContext:         responsecheck.Dial(dial),
		DisableCompression:  true,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		MaxConnsPerHost:     maxConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		ReadBufferSize:      connBufferSize,
		WriteBufferSize:     connBufferSize,
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT on a new socket.
func setUserTimeout(_, _ string, connection syscall.RawConn) error {
	var optionErr error
	err := connection.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// dialTimeoutFor returns the dial timeout for the given zones, a map from zone to region.
func dialTimeoutFor(zones map[string]string) time.Duration {
	region := ""
	for _, other := range zones {
		if region != "" && other != region {
			return crossRegionDialTimeout
		}
		region = other
	}
	return sameRegionDialTimeout
}

// clientCache holds one RPC client per address, all with the same HTTP client.
type clientCache struct {
	http     *http.Client
	mutex    sync.Mutex
	stores   map[string]rpc.Store
	controls map[string]rpc.Control
}

func newClientCache(roundTripper http.RoundTripper) *clientCache {
	return &clientCache{
		http:     &http.Client{Transport: roundTripper},
		stores:   map[string]rpc.Store{},
		controls: map[string]rpc.Control{},
	}
}

func (c *clientCache) store(address string) rpc.Store {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	client := c.stores[address]
	if client == nil {
		client = rpc.NewStoreProtobufClient("http://"+address, c.http)
		c.stores[address] = client
	}
	return client
}

func (c *clientCache) control(address string) rpc.Control {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	client := c.controls[address]
	if client == nil {
		client = rpc.NewControlProtobufClient("http://"+address, c.http)
		c.controls[address] = client
	}
	return client
}
