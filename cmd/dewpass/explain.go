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
		Usage:       "tell the story of a request from the logs of any number of instances",
		ArgsUsage:   "ID [FILE...]",
		Description: "Reads the files, or standard input, merges them by time and prints what concerns\nthe request: each line that names it, and what instances believed meanwhile of\ncell leases, the store and the workers that it ran on.\n\nExample: dewpass explain 5c0e7a21d94b36f8 naas-1.log athy-1.log",
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

// logLine is one line of a log.
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

// parseLog reads lines; what stands before a line's first brace is passed over,
// and lines that are none are as well.
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

// beliefs are the events that are told beside those of the request, because they
// decide about every request of their time.
var beliefs = []string{
	"cell_lease_taken", "cell_lease_lost", "cell_lease_not_released", "store", "paused", "suspended", "loaded",
	"stopping", "started",
	"worker_unreachable", "worker_dead", "worker_reborn", "lease_over",
}

// explain prints the story of a request.
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
	for _, l := range lines[before(lines, first) : last+1] {
		if l.fields["job"] == id || believed(l, workers) {
			if _, err := fmt.Fprintln(out, l.String()); err != nil {
				return err
			}
		}
	}
	return nil
}

// lookBack is how long before the first line of a request what instances believed
// is told as well.
const lookBack = 3 * time.Second

// before returns the index of the first line within lookBack of another.
func before(lines []logLine, at int) int {
	then, err := time.Parse(time.RFC3339Nano, lines[at].time)
	if err != nil {
		return at
	}
	for ; at > 0; at-- {
		t, err := time.Parse(time.RFC3339Nano, lines[at-1].time)
		if err != nil || then.Sub(t) > lookBack {
			break
		}
	}
	return at
}

// believed reports whether a line that does not name the request bears on it.
func believed(l logLine, workers map[any]bool) bool {
	if !slices.Contains(beliefs, l.event) {
		return false
	}
	w, ofWorker := l.fields["worker"]
	return !ofWorker || workers[w]
}

// String returns the line with its fields in order.
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
