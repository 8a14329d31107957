package cluster

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"foldlb.example/foldlb/internal/rpc"
)

const (
	nearDialTimeout     = 100 * time.Millisecond // where all zones are in one region
	farDialTimeout      = 250 * time.Millisecond
	userTimeout         = 800 * time.Millisecond // unacknowledged data ends a connection after it
	idleConnTimeout     = 30 * time.Second
	maxIdleConns        = 256
	maxIdleConnsPerHost = 32
	maxConnsPerHost     = 256
	connBufferSize      = 4 << 10
)

// newTransport returns the transport of the internal protocol. Connections to silent machines end after
// userTimeout.
func newTransport(dialTimeout time.Duration) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, Control: boundUnacknowledged}
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp4", address)
		},
		DisableCompression:  true,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		MaxConnsPerHost:     maxConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		ReadBufferSize:      connBufferSize,
		WriteBufferSize:     connBufferSize,
	}
}

// boundUnacknowledged sets TCP_USER_TIMEOUT on a new socket.
func boundUnacknowledged(_, _ string, connection syscall.RawConn) error {
	var optionErr error
	err := connection.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// dialTimeoutFor bounds the making of a connection by how far apart the machines are.
func dialTimeoutFor(zones map[string]string) time.Duration {
	region := ""
	for _, other := range zones {
		if region != "" && other != region {
			return farDialTimeout
		}
		region = other
	}
	return nearDialTimeout
}

// clients caches one client for each address, over one shared round tripper.
type clients struct {
	http     *http.Client
	mutex    sync.Mutex
	stores   map[string]rpc.Store
	controls map[string]rpc.Control
}

func newClients(roundTripper http.RoundTripper) *clients {
	return &clients{
		http:     &http.Client{Transport: roundTripper},
		stores:   map[string]rpc.Store{},
		controls: map[string]rpc.Control{},
	}
}

func (c *clients) store(address string) rpc.Store {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	client := c.stores[address]
	if client == nil {
		client = rpc.NewStoreProtobufClient("http://"+address, c.http)
		c.stores[address] = client
	}
	return client
}

func (c *clients) control(address string) rpc.Control {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	client := c.controls[address]
	if client == nil {
		client = rpc.NewControlProtobufClient("http://"+address, c.http)
		c.controls[address] = client
	}
	return client
}
