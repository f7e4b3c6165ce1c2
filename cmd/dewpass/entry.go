// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"dewpass.org/cluster"
	"dewpass.org/entry"
	"dewpass.org/platform"
	"dewpass.org/settings"
	"dewpass.org/telemetry"
)

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:        "entry",
		Usage:       "run an entry instance until it is told to stop",
		Description: "Logs go to standard output as JSON lines. SIGTERM or SIGINT begins a planned\nstop, which hands the racks on and cuts nothing in progress.\n\nExample: dewpass entry --settings naas-1.json",
		Flags:       []cli.Flag{settingsFlag()},
		Action:      runEntry,
	}
}

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Usage: "`FILE` with the settings of the instance", Required: true, Sources: cli.EnvVars("DEWPASS_BOOT")}
}

func runEntry(ctx context.Context, c *cli.Command) error {
	s, err := settings.Load(c.String("settings"))
	if err != nil {
		return err
	}
	kit, err := telemetry.New(ctx, telemetry.Options{
		Instance: s.Instance, Hall: s.Hall, Output: os.Stdout,
		Debug: s.Log.Level == "debug", OTLP: s.Tracing.OTLP,
	})
	if err != nil {
		return err
	}
	defer kit.Close(context.WithoutCancel(ctx))
	if s.Cluster != nil {
		return cluster.Run(ctx, s, kit, platform.Services(s.Cluster))
	}
	return entry.Run(ctx, s, kit)
}

func settingsCommand() *cli.Command {
	return &cli.Command{
		Name:  "settings",
		Usage: "check the settings of an instance",
		Commands: []*cli.Command{{
			Name:        "check",
			Usage:       "check a file and name every fault with its path",
			Description: "Example: dewpass settings check --settings naas-1.json",
			Flags:       []cli.Flag{settingsFlag()},
			Action: func(_ context.Context, c *cli.Command) error {
				s, err := settings.Load(c.String("settings"))
				if err != nil {
					return err
				}
				_, err = fmt.Fprintf(c.Root().Writer, "%s in %s: no faults\n", s.Instance, s.Hall)
				return err
			},
		}},
	}
}
