// SPDX-License-Identifier: Apache-2.0

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"dewpass.org/internal/client"
	"dewpass.org/kind"
)

const (
	defaultServer = "http://127.0.0.1:8080"
	clientTimeout = 10 * time.Second
)

// serverFlags returns the flags of a command that calls an instance.
func serverFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{
			Name: "server", Value: defaultServer, Sources: cli.EnvVars("DEWPASS_SERVER"),
			Usage: "`URL` of any instance or of the load balancer",
		},
		&cli.StringFlag{
			Name: "output", Aliases: []string{"o"}, Value: "table",
			Usage: "output `FORMAT`: json or table",
			Validator: func(s string) error {
				if s != "json" && s != "table" {
					return kind.At(kind.BadRequest, "--output", "must be json or table")
				}
				return nil
			},
		},
	}, more...)
}

func newClient(c *cli.Command) *client.Client {
	return &client.Client{
		Base: strings.TrimSuffix(c.String("server"), "/"),
		HTTP: &http.Client{Timeout: clientTimeout},
	}
}

// argument returns the i-th argument, or an error with its name if it is missing.
func argument(c *cli.Command, i int, name string) (string, error) {
	if c.Args().Len() <= i {
		return "", kind.At(kind.BadRequest, name, "is missing; see --help")
	}
	return c.Args().Get(i), nil
}

// table is a table of text with a header.
type table struct {
	header []string
	rows   [][]string
}

func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		row[i] = fmt.Sprint(cell)
	}
	t.rows = append(t.rows, row)
}

func (t *table) write(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, strings.Join(t.header, "\t"))
	for _, r := range t.rows {
		fmt.Fprintln(tw, strings.Join(r, "\t"))
	}
	return tw.Flush()
}

// printResult prints v as JSON, or the table that f returns if the output format is
// table and f is not nil.
func printResult(c *cli.Command, v any, f func() *table) error {
	w := c.Root().Writer
	if c.String("output") == "table" && f != nil {
		return f().write(w)
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
