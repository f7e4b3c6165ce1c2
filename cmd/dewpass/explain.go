// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"dewpass.org/kind"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:        "explain",
		Usage:       "show what happened to a request, from the logs of one or more instances",
		ArgsUsage:   "ID [FILE...]",
		Description: "Reads the files, or standard input, merges them by time and prints the lines\nrelated to the request: those with its ID, and events of the same period about\ncell leases, the store, starts and stops, and the workers on which it ran.\n\nExample: dewpass explain 5c0e7a21d94b36f8 naas-1.log athy-1.log",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				return kind.At(kind.BadRequest, "ID", "is missing")
			}
			lines, err := readLogs(c.Args().Slice()[1:])
			if err != nil {
				return err
			}
			return explain(c.Root().Writer, c.Args().First(), lines)
		},
	}
}

// logLine is a parsed log line.
type logLine struct {
	time, instance, event string
	fields                map[string]any
}

func readLogs(paths []string) ([]logLine, error) {
	if len(paths) == 0 {
		return parseLog(os.Stdin)
	}
	var all []logLine
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return nil, kind.Wrap(kind.BadRequest, err, path)
		}
		lines, err := parseLog(f)
		_ = f.Close()
		if err != nil {
			return nil, kind.Wrap(kind.BadRequest, err, path)
		}
		all = append(all, lines...)
	}
	return all, nil
}

const maxLogLine = 1 << 20

// parseLog parses JSON log lines. It ignores any text before the first brace of a
// line, and skips lines that are not JSON objects.
func parseLog(r io.Reader) ([]logLine, error) {
	var all []logLine
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLogLine)
	for s.Scan() {
		at := bytes.IndexByte(s.Bytes(), '{')
		var fields map[string]any
		if at < 0 || json.Unmarshal(s.Bytes()[at:], &fields) != nil {
			continue
		}
		l := logLine{fields: fields}
		l.time, _ = fields["time"].(string)
		l.instance, _ = fields["instance"].(string)
		l.event, _ = fields["event"].(string)
		all = append(all, l)
	}
	return all, s.Err()
}

// contextEvents are the events that are printed along with those of the request,
// because they affect every request of their time.
var contextEvents = []string{
	"cell_lease_taken", "cell_lease_lost", "cell_lease_not_released", "store", "paused", "suspended", "loaded",
	"stopping", "started",
	"worker_unreachable", "worker_dead", "worker_reborn", "lease_over",
}

// explain prints the lines that name a request and their context, sorted by time.
func explain(out io.Writer, id string, lines []logLine) error {
	slices.SortStableFunc(lines, func(a, b logLine) int { return strings.Compare(a.time, b.time) })
	first, last := -1, -1
	workers := make(map[any]bool)
	for i, l := range lines {
		if l.fields["job"] != id {
			continue
		}
		if first < 0 {
			first = i
		}
		last = i
		if w, ok := l.fields["worker"]; ok {
			workers[w] = true
		}
	}
	if first < 0 {
		return kind.New(kind.NotFound, "no line names "+id)
	}
	for _, l := range lines[firstContextLine(lines, first) : last+1] {
		if l.fields["job"] == id || isContext(l, workers) {
			if _, err := fmt.Fprintln(out, l.String()); err != nil {
				return err
			}
		}
	}
	return nil
}

// contextDuration is how long before the first line of a request context events are
// included.
const contextDuration = 3 * time.Second

// firstContextLine returns the index of the first line that is at most
// contextDuration older than the line at index at.
func firstContextLine(lines []logLine, at int) int {
	then, err := time.Parse(time.RFC3339Nano, lines[at].time)
	if err != nil {
		return at
	}
	for ; at > 0; at-- {
		t, err := time.Parse(time.RFC3339Nano, lines[at-1].time)
		if err != nil || then.Sub(t) > contextDuration {
			break
		}
	}
	return at
}

// isContext reports whether l, which does not name the request, is a context event
// of all requests or of one of the given workers.
func isContext(l logLine, workers map[any]bool) bool {
	if !slices.Contains(contextEvents, l.event) {
		return false
	}
	w, ofWorker := l.fields["worker"]
	return !ofWorker || workers[w]
}

// String formats the line with its remaining fields sorted by name.
func (l logLine) String() string {
	names := make([]string, 0, len(l.fields))
	for name := range l.fields {
		if !slices.Contains([]string{"time", "instance", "event", "level", "hall", "job"}, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var b strings.Builder
	fmt.Fprintf(&b, "%s  %-24s %-18s", l.time, l.instance, l.event)
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, l.fields[name])
	}
	return b.String()
}
