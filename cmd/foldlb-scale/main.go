// Command foldlb-scale measures how the cost of control grows with the number of dispatchers, destinations, routes and
// changes, and what a store spends on each queued message. It starts real control, store and dispatcher processes on
// loopback beside hollow dispatchers: the real membership, lease and update client without traffic, many to a process.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	app := &cli.Command{
		Name:  "foldlb-scale",
		Usage: "measure what control and stores cost against the size of the system",
		Commands: []*cli.Command{
			runCommand(),
			plotCommand(),
			hostCommand(),
			relayCommand(),
			backlogCommand(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {}, // said below, once
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "foldlb-scale:", err)
		os.Exit(1)
	}
}

// oneProcessor bounds a process of the run to one processor, as the roles are.
func oneProcessor() { runtime.GOMAXPROCS(1) }
