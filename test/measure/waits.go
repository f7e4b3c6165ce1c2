// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"dewpass.org/test/bed"
	"dewpass.org/test/load"
	"dewpass.org/tree"
)

// waits measures the latency of lookups on real processes: unloaded, with batch jobs that
// fill the cell, and with a tenfold burst of lookups on top.
func waits(ctx context.Context) error {
	lookup := load.Stream{Workload: "tinting/shade-lookup", PerSecond: 100, Runs: 8 * time.Millisecond}
	batch := load.Stream{Workload: "nightly/recalibration", PerSecond: 60, Runs: 6 * time.Second, Job: true}
	burst := lookup
	burst.PerSecond = 1000
	for _, c := range []struct {
		name    string
		streams []load.Stream
	}{
		{"unloaded", []load.Stream{lookup}},
		{"batch fills the cell", []load.Stream{lookup, batch}},
		{"and a tenfold burst", []load.Stream{burst, batch}},
	} {
		if err := measureWaits(ctx, c.name, c.streams); err != nil {
			return err
		}
	}
	return nil
}

func measureWaits(ctx context.Context, name string, streams []load.Stream) error {
	dir, err := os.MkdirTemp("", "dewpass-measure")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	b, err := bed.Start(ctx, bed.Options{
		Deployment: bed.Comhar, EntriesPerHall: 2, Dir: dir,
		Dewpass: siblingPath("dewpass"), StandIn: siblingPath("standin"), Examples: siblingPath("../examples"),
	})
	if err != nil {
		return err
	}
	defer b.Close()
	edit := tree.Edit{Base: 1, Ops: []tree.Op{{Path: "nightly.window"}}}
	if err := b.Balancer.Do(ctx, http.MethodPost, "/v1/tree/edits", edit, nil); err != nil {
		return err
	}
	if err := b.AwaitTree(ctx, 2); err != nil {
		return err
	}
	fmt.Println("--", name)
	results := load.Run(ctx, b.Balancer, streams, 12*time.Second, 45*time.Second, nil)
	load.Table(os.Stdout, results)
	r, err := b.Record(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("scarcest resource in use %.0f%% at most; over capacity %d, in two places %d\n", 100*r.PeakShare, len(r.Over), len(r.Doubled))
	return nil
}
