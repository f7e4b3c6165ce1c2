// SPDX-License-Identifier: Apache-2.0

// Command dewpass contains all of dewpass in one binary: the entry instance and
// the operators' command-line interface.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	_ "dewpass.org/internal/hangup"
	"dewpass.org/kind"
)

// version is set at build time.
var version = "dev"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args, os.Stdout, os.Stderr))
}

// run executes the command line and returns its exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	app := newApp(stdout, stderr)
	err := app.Run(ctx, args)
	if err == nil {
		return 0
	}
	fmt.Fprintln(stderr, "dewpass:", err)
	return exitCode(err)
}

// exitCode returns the exit code of an error: that of its kind. An error without
// a kind counts as a command line that cannot be parsed and gets 2, the code of
// BadRequest.
func exitCode(err error) int {
	e := kind.Of(err)
	if e.Kind == kind.Internal && e.Cause == err {
		return kind.BadRequest.Row().Exit
	}
	return e.Kind.Row().Exit
}

func newApp(stdout, stderr io.Writer) *cli.Command {
	return &cli.Command{
		Name:                  "dewpass",
		Usage:                 "a cluster scheduler for mixed workloads on one cell of workers",
		Version:               version,
		EnableShellCompletion: true,
		ConfigureShellCompletionCommand: func(c *cli.Command) {
			c.Hidden = false
		},
		Suggest:     true,
		Writer:      stdout,
		ErrWriter:   stderr,
		Description: "Operators only edit the tree of settings; dewpass decides where and when each\ntask runs. Exit codes: 0 success, 2 bad input, 3 not found, 4 conflict,\n5 not allowed, 6 refused for now, 7 deadline, 8 unreachable, 9 unknown,\n10 cancelled, 11 failed, 1 anything else.\n\nExample: dewpass status --server http://10.0.0.1:8080",
		ExitErrHandler: func(context.Context, *cli.Command, error) {
			// run prints the error and chooses the exit code.
		},
		Commands: []*cli.Command{
			entryCommand(),
			treeCommand(),
			workloadCommand(),
			jobsCommand(),
			statusCommand(),
			settingsCommand(),
			explainCommand(),
		},
	}
}
