// SPDX-License-Identifier: Apache-2.0

// Command demo starts a whole deployment on this machine, sends it a mixed
// load, prints a report, and fails if any answer was wrong, lost or duplicated
// or any worker was given more than its capacity.
package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"dewpass.org/test/bed"
	"dewpass.org/test/load"
	"dewpass.org/tree"
)

func main() {
	deployment := flag.String("deployment", "comhar", "comhar, kartvela, or platform: instances in cluster mode on a simulated platform")
	seconds := flag.Int("seconds", 20, "duration of the load in seconds")
	perHall := flag.Int("per-hall", 2, "entry instances in each hall")
	keep := flag.Bool("keep-logs", false, "keep the logs")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if *deployment == "platform" {
		if err := runCluster(ctx, time.Duration(*seconds)*time.Second, *perHall); err != nil {
			fmt.Fprintln(os.Stderr, "demo:", err)
			os.Exit(1)
		}
		return
	}
	if err := run(ctx, *deployment, time.Duration(*seconds)*time.Second, *perHall, *keep); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

// mixes are the loads of the two deployments, by the deployment's name.
var mixes = map[string][]load.Stream{
	"comhar": {
		{Workload: "tinting/shade-lookup", PerSecond: 200, Runs: 8 * time.Millisecond},
		{Workload: "tinting/formula-match", PerSecond: 20, Runs: 250 * time.Millisecond},
		{Workload: "tinting/dispense-order", PerSecond: 15, Runs: 40 * time.Millisecond, Once: true},
		{Workload: "nightly/recalibration", PerSecond: 30, Runs: 3 * time.Second, Job: true},
	},
	"kartvela": {
		{Workload: "vans/parcel-assignment", PerSecond: 30, Runs: 40 * time.Millisecond, Once: true},
		{Workload: "belts/address-reading", PerSecond: 40, Runs: 1500 * time.Millisecond, Job: true},
		{Workload: "vans/route-plan", PerSecond: 10, Runs: time.Second, Job: true},
		{Workload: "tracing/trace", PerSecond: 16, Runs: 4 * time.Second, Job: true},
	},
}

// windows are the paths of the time windows that the demo removes from the
// tree, because it has to run at any hour of the day.
var windows = map[string][]string{
	"comhar":   {"nightly.window"},
	"kartvela": {"belts.window", "vans/route-plan.window"},
}

// settleTime is the maximum time that jobs may take after the load has ended.
const settleTime = 25 * time.Second

func run(ctx context.Context, name string, length time.Duration, perHall int, keep bool) error {
	d, ok := bed.Named(name)
	if !ok {
		return errors.Errorf("unknown deployment %q: want comhar, kartvela or platform", name)
	}
	dir, err := os.MkdirTemp("", "dewpass-demo")
	if err != nil {
		return err
	}
	if !keep {
		defer os.RemoveAll(dir)
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	bin := filepath.Dir(self)
	fmt.Printf("starting %s: %d halls, %d workers, %d entry instances\n", d.Name, len(d.Halls),
		len(d.Halls)*d.RacksPerHall*d.WorkersPerRack, perHall*len(d.Halls))
	b, err := bed.Start(ctx, bed.Options{
		Deployment: d, EntriesPerHall: perHall, Dir: dir,
		Dewpass: filepath.Join(bin, "dewpass"), StandIn: filepath.Join(bin, "standin"),
		Examples: filepath.Join(bin, "..", "examples"),
	})
	if err != nil {
		return err
	}
	defer b.Close()
	if err := openWindows(ctx, b); err != nil {
		return errors.Wrap(err, "tree edit")
	}
	before := usages(b)
	began := time.Now()
	results := load.Run(ctx, b.Balancer, mixes[name], length, settleTime, progress)
	return report(ctx, b, results, before, time.Since(began))
}

func openWindows(ctx context.Context, b *bed.Bed) error {
	var ops []tree.Op
	for _, p := range windows[b.Deployment.Name] {
		ops = append(ops, tree.Op{Path: p})
	}
	var entry tree.Entry
	edit := tree.Edit{ID: "demo-windows", Base: 1, Ops: ops, Who: "demo"}
	if err := b.Balancer.Do(ctx, http.MethodPost, "/v1/tree/edits", edit, &entry); err != nil {
		return err
	}
	return b.AwaitTree(ctx, entry.Version)
}

func progress(at, of time.Duration, sent, over int) {
	fmt.Printf("\r%3.0f of %.0f s: %6d sent, %6d over ", at.Seconds(), of.Seconds(), sent, over)
}

func usages(b *bed.Bed) []bed.Usage {
	out := make([]bed.Usage, len(b.Entries))
	for i, p := range b.Entries {
		out[i] = p.Usage()
	}
	return out
}

func report(ctx context.Context, b *bed.Bed, results []*load.Result, before []bed.Usage, took time.Duration) error {
	fmt.Println()
	load.Table(os.Stdout, results)
	record, err := b.Record(ctx)
	if err != nil {
		return errors.Wrap(err, "record")
	}
	fmt.Printf("\npacking: scarcest resource in use %.0f%% on average, %.0f%% at most\n",
		100*record.MeanShare, 100*record.PeakShare)
	reportUsage(b, before, record.Starts, took)
	fmt.Printf("workers' own record: %d starts, %d over capacity, %d in two places, %d repeated that must not be, %d calls cut\n",
		record.Starts, len(record.Over), len(record.Doubled), len(record.Repeated), len(record.Cut))
	if !record.OK() {
		return errors.Errorf("the workers recorded violated rules: %+v", record)
	}
	for _, r := range results {
		if r.Wrong+r.Lost > 0 {
			return errors.Errorf("%s: %d wrong, %d lost; first: %v", r.Stream.Workload, r.Wrong, r.Lost, r.FirstError)
		}
	}
	return nil
}

// reportUsage prints the processor time and memory that the instances used.
func reportUsage(b *bed.Bed, before []bed.Usage, starts int, took time.Duration) {
	var cpu time.Duration
	var peak, anon int64
	for i, u := range usages(b) {
		cpu += u.CPU - before[i].CPU
		peak = max(peak, u.PeakResidentKiB)
		anon = max(anon, u.AnonymousKiB)
	}
	n := len(b.Entries)
	fmt.Printf("control: %.1f%% of a core an instance, %.0f us of processor time a start, largest instance %.1f MiB resident at its peak (%.1f MiB anonymous)\n",
		100*cpu.Seconds()/took.Seconds()/float64(n), float64(cpu.Microseconds())/float64(max(1, starts)),
		float64(peak)/1024, float64(anon)/1024)
}
