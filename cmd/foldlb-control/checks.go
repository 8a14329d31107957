package main

import (
	"context"
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"foldlb.example/foldlb/internal/catalog"
	"foldlb.example/foldlb/internal/settings"
)

func checkSettingsCommand() *cli.Command {
	return &cli.Command{
		Name:  "check-settings",
		Usage: "read the settings file and name what is wrong",
		Flags: []cli.Flag{settingsFlag()},
		Action: func(_ context.Context, command *cli.Command) error {
			loaded, err := settings.Load(command.String("settings"))
			if err != nil {
				return err
			}
			if loaded.Listen.Control == "" {
				return errors.New("listen.control is empty: this machine can't run the control role")
			}
			fmt.Println("the settings are valid")
			return nil
		},
	}
}

func checkConfigCommand() *cli.Command {
	return &cli.Command{
		Name:      "check-config",
		Usage:     "read an operator's configuration and name what is wrong",
		ArgsUsage: "FILE",
		Action: func(_ context.Context, command *cli.Command) error {
			if command.Args().Len() != 1 {
				return errors.New("give one FILE: foldlb-control check-config FILE")
			}
			data, err := os.ReadFile(command.Args().First())
			if err != nil {
				return errors.Wrap(err, "read the configuration")
			}
			config, err := catalog.Parse(data)
			if err != nil {
				return err
			}
			fmt.Printf("version %d is valid: %d routes, %d services\n", config.Version, len(config.Routes), len(config.Services))
			return nil
		},
	}
}
