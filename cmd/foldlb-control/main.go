// Command foldlb-control is the control plane: it keeps the operator's configuration, the members of the
// system and the owners of its partitions.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime"

	"github.com/urfave/cli/v3"
)

// version is set when a release is built.
var version = "dev"

func main() {
	runtime.GOMAXPROCS(1)
	app := &cli.Command{
		Name:  "foldlb-control",
		Usage: "keep the configuration and the members of foldlb",
		Commands: []*cli.Command{
			controlCommand(),
			checkSettingsCommand(),
			checkConfigCommand(),
			statusCommand(),
			abandonCommand(),
			versionCommand(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {}, // said below, once
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "foldlb-control:", err)
		os.Exit(1)
	}
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(context.Context, *cli.Command) error {
			fmt.Println("foldlb-control", version)
			return nil
		},
	}
}
