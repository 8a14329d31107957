package cluster

import (
	"context"
	"sync"
	"time"

	"go.uber.org/atomic"

	"foldlb.example/foldlb/internal/rpc"
	"foldlb.example/foldlb/internal/settings"
)

// Client keeps the view up to date and the lease renewed until its context ends. All methods are safe for concurrent
// use.
type Client struct {
	options     Options
	settings    atomic.Pointer[settings.Settings]
	book        *addressBook
	clientCache *clientCache
	lease       *lease
	renewNow    chan struct{} // holds a token while a renewal is requested

	noLeaderLogged bool // used by renewLoop only

	needsSnapshot atomic.Bool // the next stream must start with complete parts, as a change did not match the current version

	confirmations Confirmations

	view         atomic.Pointer[View]
	notifiedView atomic.Pointer[View] // newest view that all callbacks have seen; its versions are acknowledged
	applyMutex   sync.Mutex           // serializes replacement of the view
	callbacks    *callbackList
	initialView  *View // the empty view at the start
	loops        sync.WaitGroup
}

// Start starts following the control plane. It returns at once; the view is empty until the first update.
func Start(ctx context.Context, options Options) *Client {
	client := &Client{
		options:     options,
		book:        newAddressBook(options.Settings.Seeds),
		clientCache: newClientCache(options.roundTripper()),
		lease:       newLease(),
		renewNow:    make(chan struct{}, 1),
		initialView: newView(),

		callbacks: newCallbackList(),
	}
	client.settings.Store(options.Settings)
	client.view.Store(client.initialView)
	client.notifiedView.Store(client.initialView)
	client.run(ctx, client.renewLoop)
	client.run(ctx, client.followLoop)
	client.run(ctx, client.notifyLoop)
	client.watchSettings(ctx)
	return client
}

// watchSettings reloads the settings on SIGHUP and when the file changes. New seeds take effect at once; callers get
// all other settings from Settings.
func (c *Client) watchSettings(ctx context.Context) {
	hangups, stop := settings.NotifyHangup()
	c.run(ctx, func(ctx context.Context) {
		defer stop()
		settings.Watch(ctx, c.options.Settings.Path, hangups, c.reload)
	})
}

// reload reads the settings file. If it is not valid, perhaps because it is only half written, nothing changes.
func (c *Client) reload() {
	loaded, err := settings.Load(c.options.Settings.Path)
	if err != nil {
		c.options.Log.Error(err, "settings reload failed, keeping the current settings")
		return
	}
	c.settings.Store(loaded)
	c.book.add(loaded.Seeds)
}

func (c *Client) run(ctx context.Context, loop func(context.Context)) {
	c.loops.Go(func() { loop(ctx) })
}

// Wait returns once all goroutines of the client have ended, which they do when its context ends.
func (c *Client) Wait() { c.loops.Wait() }

// View returns the newest view. It is never nil.
func (c *Client) View() *View { return c.view.Load() }

// Settings returns the settings as last loaded from the file.
func (c *Client) Settings() *settings.Settings { return c.settings.Load() }

// LeaseValid reports whether this process holds a valid lease now.
func (c *Client) LeaseValid() bool { return c.lease.valid() }

// TimeSinceRenewal returns the time since the latest granted renewal was sent, or since the start if there is none.
func (c *Client) TimeSinceRenewal() time.Duration { return c.lease.sinceGrant() }

// Kick requests an immediate renewal. It does not block.
func (c *Client) Kick() {
	select {
	case c.renewNow <- struct{}{}:
	default:
	}
}

// Store returns the client of the store at an address. Calls need a context with a deadline.
func (c *Client) Store(address string) rpc.Store { return c.clientCache.store(address) }
