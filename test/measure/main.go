// SPDX-License-Identifier: Apache-2.0

// Command measure runs the measurements behind docs/MEASUREMENTS.md and
// docs/CAPACITY.md on real processes, and prints tables. Each is bounded in
// time, and all load stays on the loopback.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sort"
	"syscall"
)

// measurement runs one measurement and prints its table.
type measurement func(ctx context.Context) error

var measurements = map[string]measurement{
	"latency":  latency,
	"waits":    waits,
	"workers":  workers,
	"tasks":    tasks,
	"starts":   starts,
	"jobs":     jobs,
	"changes":  changes,
	"peers":    peers,
	"halls":    halls,
	"takeover": takeover,
	"whole":    designHall,
}

// capacity lists the measurements that `make capacity` runs, in order.
var capacity = []string{"workers", "tasks", "starts", "jobs", "changes", "peers", "halls", "takeover", "whole"}

func main() {
	flag.Usage = func() {
		var names []string
		for n := range measurements {
			names = append(names, n)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "usage: measure capacity |", names)
	}
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	names := flag.Args()
	if len(names) == 1 && names[0] == "capacity" {
		names = capacity
	}
	if len(names) == 0 {
		flag.Usage()
		os.Exit(2)
	}
	for _, n := range names {
		m := measurements[n]
		if m == nil {
			flag.Usage()
			os.Exit(2)
		}
		fmt.Printf("\n== %s\n", n)
		if err := m(ctx); err != nil {
			fmt.Fprintln(os.Stderr, "measure:", n+":", err)
			os.Exit(1)
		}
	}
}

// siblingPath returns the path of a file in the directory of this binary.
func siblingPath(name string) string {
	self, err := os.Executable()
	if err != nil {
		return name
	}
	return filepath.Join(filepath.Dir(self), name)
}
