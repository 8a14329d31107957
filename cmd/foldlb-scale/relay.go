package main

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/proto"

	"foldlb.example/foldlb/coord/watch"
	"foldlb.example/foldlb/internal/rpc"
)

const (
	relaySubscribers  = 4096
	relayLeaseMs      = 2000
	relayRetry        = 200 * time.Millisecond
	relayCollect      = 50 // GOGC, as control sets it
	relayHeaderWithin = 5 * time.Second
)

// relay is a trial: it follows the leader's stream once, streams it on to its own subscribers, and answers their
// renewals itself, because nothing depends on the lease of a dispatcher. No role of foldlb does this today.
type relay struct {
	rpc.Control
	hub     *watch.Hub
	address string
}

// The parts of the relay's stream, the header first.
const (
	relayHeader = iota
	relayConfig
	relayMap
	relayWorkers
	relayParts
)

func relayCommand() *cli.Command {
	return &cli.Command{
		Name:  "relay",
		Usage: "stream the leader's updates on (a trial, used by run)",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "leader", Required: true, Usage: "host:port of the leader"},
			&cli.StringFlag{Name: "listen", Required: true, Usage: "host:port of the relay"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			return runRelay(ctx, command.String("leader"), command.String("listen"))
		},
	}
}

// runRelay serves until the context ends.
func runRelay(ctx context.Context, leader, listen string) error {
	oneProcessor()
	debug.SetGCPercent(relayCollect)
	running := &relay{hub: watch.NewHub(relayParts, relaySubscribers), address: listen}
	listener, err := net.Listen("tcp4", listen)
	if err != nil {
		return errors.Wrap(err, "listen for subscribers")
	}
	mux := http.NewServeMux()
	mux.Handle(rpc.ControlPathPrefix, rpc.NewControlServer(running))
	mux.Handle("GET /internal/watch", running.hub)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: relayHeaderWithin}
	go running.follow(ctx, leader)
	go func() {
		<-ctx.Done()
		running.hub.DisconnectAll()
		_ = server.Close()
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve subscribers")
	}
	return nil
}

// follow republishes the leader's stream until the context ends.
func (r *relay) follow(ctx context.Context, leader string) {
	client := &watch.Client{HTTP: watch.NewHTTPClient()}
	for ctx.Err() == nil {
		_ = client.Follow(ctx, "http://"+leader+"/internal/watch", r.republish) // it is followed again
		if pause(ctx, relayRetry) != nil {
			return
		}
	}
}

// republish publishes the parts of one frame.
func (r *relay) republish(frame []byte) error {
	if len(frame) == 0 {
		return nil
	}
	update, err := rpc.DecodeView(frame)
	if err != nil {
		return err
	}
	parts := []watch.Part{{Index: relayHeader}}
	views := []*rpc.View{{LeaderEpoch: update.LeaderEpoch, ControlAddresses: []string{r.address}}}
	if update.Config != nil {
		parts, views = append(parts, watch.Part{Index: relayConfig}), append(views, &rpc.View{Config: update.Config})
	}
	if update.Map != nil {
		parts, views = append(parts, watch.Part{Index: relayMap}), append(views, &rpc.View{Map: update.Map})
	}
	if update.Workers != nil {
		parts, views = append(parts, watch.Part{Index: relayWorkers}), append(views, &rpc.View{Workers: update.Workers})
	}
	for index, view := range views {
		encoded, err := proto.Marshal(view)
		if err != nil {
			return errors.Wrap(err, "encode an update")
		}
		parts[index].Data = encoded
	}
	r.hub.Publish(parts...)
	return nil
}

// Renew implements rpc.Control for dispatchers.
func (r *relay) Renew(context.Context, *rpc.RenewRequest) (*rpc.RenewReply, error) {
	return &rpc.RenewReply{Granted: true, Leader: true, LeaseMs: relayLeaseMs, LeaderAddress: r.address,
		ControlAddresses: []string{r.address}}, nil
}
