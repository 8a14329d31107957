package cluster

import (
	"context"
	"sync"
	"time"

	"go.uber.org/atomic"

	"foldlb.example/foldlb/internal/rpc"
	"foldlb.example/foldlb/internal/settings"
)

// Client keeps the view up to date and the lease renewed until its context ends. All methods are safe for
// concurrent use.
type Client struct {
	options  Options
	settings atomic.Pointer[settings.Settings]
	book     *addressBook
	clients  *clients
	lease    *lease
	kicks    chan struct{}

	toldNoLeader bool // belongs to the goroutine that renews

	wantsWhole atomic.Bool // the next stream begins with all parts whole, whatever is held: a change did not fit

	confirmations Confirmations

	view      atomic.Pointer[View]
	inForce   atomic.Pointer[View] // the newest view that all callbacks have seen
	applying  sync.Mutex           // held while the view is replaced
	callbacks *callbackList
	first     *View // the empty view of the start
	running   sync.WaitGroup
}

// Start begins to follow the control plane. It returns at once; the view is empty until the first update.
func Start(ctx context.Context, options Options) *Client {
	client := &Client{
		options: options,
		book:    newAddressBook(options.Settings.Seeds),
		clients: newClients(options.roundTripper()),
		lease:   newLease(),
		kicks:   make(chan struct{}, 1),
		first:   newView(),

		callbacks: newCallbackList(),
	}
	client.settings.Store(options.Settings)
	client.view.Store(client.first)
	client.inForce.Store(client.first)
	client.run(ctx, client.renewLoop)
	client.run(ctx, client.followLoop)
	client.run(ctx, client.notifyLoop)
	client.watchSettings(ctx)
	return client
}

// watchSettings takes newer settings. Only the seeds are taken into use at once; the others are had from Settings.
func (c *Client) watchSettings(ctx context.Context) {
	hangups, stop := settings.Hangups()
	c.run(ctx, func(ctx context.Context) {
		defer stop()
		settings.Watch(ctx, c.options.Settings.Path, hangups, c.reload)
	})
}

// reload reads the settings file. A file that is not valid, perhaps half written, leaves all as it was.
func (c *Client) reload() {
	loaded, err := settings.Load(c.options.Settings.Path)
	if err != nil {
		c.options.Log.Error(err, "settings stay as they were")
		return
	}
	c.settings.Store(loaded)
	c.book.learn(loaded.Seeds)
}

func (c *Client) run(ctx context.Context, loop func(context.Context)) {
	c.running.Go(func() { loop(ctx) })
}

// Wait returns once the client has stopped after the end of its context.
func (c *Client) Wait() { c.running.Wait() }

// View returns the newest view. It is never nil.
func (c *Client) View() *View { return c.view.Load() }

// Settings returns the settings as the file held them last.
func (c *Client) Settings() *settings.Settings { return c.settings.Load() }

// LeaseValid reports whether the lease granted to this process holds now.
func (c *Client) LeaseValid() bool { return c.lease.valid() }

// TimeSinceRenewal is the time since the last renewal that was granted was sent, or since the start.
func (c *Client) TimeSinceRenewal() time.Duration { return c.lease.age() }

// Kick asks for a renewal at once. It does not wait.
func (c *Client) Kick() {
	select {
	case c.kicks <- struct{}{}:
	default:
	}
}

// Store returns the client of the store at an address. Calls need a context with a deadline.
func (c *Client) Store(address string) rpc.Store { return c.clients.store(address) }
