// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
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
		Usage:       "run an entry instance until SIGTERM or SIGINT",
		Description: "Logs are written to standard output as JSON lines. SIGTERM or SIGINT starts a\nplanned stop, which hands the racks over to other instances and interrupts no\ntask in progress.\n\nExample: dewpass entry --settings naas-1.json",
		Flags:       []cli.Flag{settingsFlag()},
		Action:      runEntry,
	}
}

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Usage: "`FILE` with the settings of the instance", Required: true, Sources: cli.EnvVars("DEWPASS_BOOT")}
}

func runEntry(ctx context.Context, c *cli.Command) error {
	path := c.String("settings")
	s, err := settings.Load(path)
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
		changes := make(chan *settings.Settings)
		go watchSettings(ctx, path, kit.Log, changes)
		return cluster.Run(ctx, s, kit, platform.Services(s.Cluster), changes)
	}
	return entry.Run(ctx, s, kit)
}

// watchSettings sends the settings to changes whenever their file changes or the
// process receives SIGHUP. Settings that cannot be loaded are logged and not sent.
func watchSettings(ctx context.Context, path string, logger log.Logger, changes chan<- *settings.Settings) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	changed := func(s *settings.Settings) {
		select {
		case changes <- s:
		case <-ctx.Done():
		}
	}
	failed := func(err error) {
		level.Error(logger).Log("event", "settings_refused", "err", err)
	}
	settings.Watch(ctx, path, hup, changed, failed)
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
