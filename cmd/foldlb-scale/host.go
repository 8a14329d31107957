package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"foldlb.example/foldlb/internal/settings"
)

const (
	dispatcherCollectPercent = 50                   // GOGC, as the dispatcher sets it
	startGap                 = 2 * time.Millisecond // between two hollow dispatchers of one process
)

// hostReport is what the hollow dispatchers of one process hold and have noted.
type hostReport struct {
	Held     map[uint64]int `json:"held"` // number of dispatchers by version of the configuration
	Lists    map[uint64]int `json:"listsHeld"`
	Leases   int            `json:"leases"` // that are valid
	Arrivals *arrivals      `json:"arrivals"`
}

func hostCommand() *cli.Command {
	return &cli.Command{
		Name:  "host",
		Usage: "run hollow dispatchers in one process (used by run)",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Required: true},
			&cli.StringFlag{Name: "listen", Required: true, Usage: "host:port of the report"},
			&cli.IntFlag{Name: "first", Usage: "number of the first hollow dispatcher"},
			&cli.IntFlag{Name: "count", Required: true},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			return runHost(ctx, command.String("settings"), command.String("listen"), command.Int("first"), command.Int("count"))
		},
	}
}

// runHost runs hollow dispatchers until the context ends.
func runHost(ctx context.Context, path, listen string, first, count int) error {
	oneProcessor()
	debug.SetGCPercent(dispatcherCollectPercent)
	base, err := settings.Load(path)
	if err != nil {
		return err
	}
	noted := newArrivals()
	var hollows []*hollowDispatcher
	for index := range count {
		hollows = append(hollows, startHollow(ctx, *base, first+index, noted))
		if err := pause(ctx, startGap); err != nil {
			return nil
		}
	}
	listener, err := net.Listen("tcp4", listen)
	if err != nil {
		return errors.Wrap(err, "listen for reports")
	}
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writeReport(writer, hollows, noted)
	})}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	fmt.Fprintln(os.Stderr, "serving reports of", count, "hollow dispatchers")
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve reports")
	}
	return nil
}

// writeReport answers with what the hollow dispatchers hold now.
func writeReport(writer http.ResponseWriter, hollows []*hollowDispatcher, noted *arrivals) {
	report := hostReport{Held: map[uint64]int{}, Lists: map[uint64]int{}, Arrivals: noted}
	for _, hollow := range hollows {
		view := hollow.client.View()
		report.Held[view.ConfigVersion]++
		report.Lists[view.Workers.GetVersion()]++
		if hollow.client.LeaseValid() {
			report.Leases++
		}
	}
	noted.mutex.Lock()
	defer noted.mutex.Unlock()
	_ = json.NewEncoder(writer).Encode(report) // a caller that is gone asks again
}
