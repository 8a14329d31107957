package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/urfave/cli/v3"

	"foldlb.example/foldlb/internal/controlplane"
	"foldlb.example/foldlb/internal/metrics"
	"foldlb.example/foldlb/internal/settings"
)

const (
	defaultSettingsPath = "/etc/foldlb/settings.yaml"
	gcPercent           = 50
	memoryShare         = 0.6 // of the machine's memory, as a soft limit
	bytesPerMb          = 1 << 20
)

// settingsFlag names the settings file.
func settingsFlag() *cli.StringFlag {
	return &cli.StringFlag{
		Name:    "settings",
		Usage:   "path of the settings file",
		Value:   defaultSettingsPath,
		Sources: cli.EnvVars("FOLDLB_SETTINGS"),
	}
}

func controlCommand() *cli.Command {
	return &cli.Command{
		Name:  "control",
		Usage: "run the control role until SIGTERM",
		Flags: []cli.Flag{
			settingsFlag(),
			metrics.PortFlag(),
			&cli.IntFlag{Name: "verbosity", Usage: "0 logs changes of state and faults, 1 details too"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			log := newLogger(command.Int("verbosity"))
			return runControl(ctx, command.String("settings"), command.Int(metrics.PortFlagName), log)
		},
	}
}

// newLogger writes one JSON object a line to standard error.
func newLogger(verbosity int) logr.Logger {
	write := func(line string) { fmt.Fprintln(os.Stderr, line) }
	return funcr.NewJSON(write, funcr.Options{LogTimestamp: true, Verbosity: verbosity})
}

func runControl(ctx context.Context, path string, metricsPort int, log logr.Logger) error {
	loaded, err := settings.Load(path)
	if err != nil {
		return err
	}
	loaded.MetricsPort = metricsPort
	limitMemory(loaded.Limits.MemoryMb)
	running, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	server, err := controlplane.New(controlplane.Options{Settings: loaded, Log: log})
	if err != nil {
		return err
	}
	hangups, stopHangups := settings.NotifyHangup()
	defer stopHangups()
	go settings.Watch(running, path, hangups, func() { reload(path, server, log) })
	return server.Run(running)
}

// reload takes the settings that the file holds now. A file that can't be read leaves those in force.
func reload(path string, server *controlplane.Server, log logr.Logger) {
	loaded, err := settings.Load(path)
	if err != nil {
		log.Error(err, "the settings in force stay: correct the file")
		return
	}
	server.Reload(loaded)
}

// limitMemory trades processor time for a small heap: memory at its peak is priced.
func limitMemory(machineMb int) {
	debug.SetGCPercent(gcPercent)
	if machineMb > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(machineMb) * bytesPerMb))
	}
}
