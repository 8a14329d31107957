package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/urfave/cli/v3"

	"foldlb.example/foldlb/internal/ingest"
	"foldlb.example/foldlb/internal/metrics"
	"foldlb.example/foldlb/internal/settings"
	"foldlb.example/foldlb/internal/storenode"
)

const (
	settingsVariable = "FOLDLB_SETTINGS"
	collectPercent   = 50   // GOGC of the roles: memory is dearer than a collection
	memoryShare      = 0.75 // of the process's bound, from which on collections come more often
	megabyte         = 1 << 20
)

// roleRunner runs a role until its context ends.
type roleRunner func(context.Context, *settings.Settings, logr.Logger) error

// roleCommands are the roles of the service, and the check of their settings.
func roleCommands() []*cli.Command {
	return []*cli.Command{
		roleCommand("dispatcher", "take messages in and have the stores keep them", ingest.Run),
		roleCommand("store", "keep messages and deliver them to workers", storenode.Run),
		{
			Name:  "check-settings",
			Usage: "read the settings file that a role would run with, and name what is wrong",
			Action: func(context.Context, *cli.Command) error {
				loaded, err := loadSettings()
				if err != nil {
					return err
				}
				fmt.Printf("%s: zone %s, %d seeds, %d MB\n", loaded.Node, loaded.Zone, len(loaded.Seeds), loaded.Limits.MemoryMb)
				return nil
			},
		},
	}
}

// roleCommand runs a role as the settings file says, until SIGTERM or SIGINT.
func roleCommand(name, usage string, run roleRunner) *cli.Command {
	return &cli.Command{
		Name:  name,
		Usage: usage,
		Flags: []cli.Flag{metrics.PortFlag()},
		Action: func(ctx context.Context, command *cli.Command) error {
			loaded, err := loadSettings()
			if err != nil {
				return err
			}
			loaded.MetricsPort = command.Int(metrics.PortFlagName)
			boundResources(loaded.Limits)
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return run(ctx, loaded, newRoleLog(name))
		},
	}
}

// loadSettings reads the file that FOLDLB_SETTINGS names.
func loadSettings() (*settings.Settings, error) {
	return settings.Load(os.Getenv(settingsVariable))
}

// boundResources keeps the process within its share of the machine. SIGPIPE is ignored: a write to a closed
// connection is an ordinary error.
func boundResources(limits settings.Limits) {
	signal.Ignore(syscall.SIGPIPE)
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(collectPercent)
	debug.SetMemoryLimit(int64(float64(limits.MemoryMb) * memoryShare * megabyte))
}

// newRoleLog writes one line of key-value pairs for each event to standard error.
func newRoleLog(role string) logr.Logger {
	write := func(prefix, arguments string) { fmt.Fprintln(os.Stderr, prefix, arguments) }
	return funcr.New(write, funcr.Options{}).WithName(role)
}
