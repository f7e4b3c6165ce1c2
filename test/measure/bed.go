// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"dewpass.org/sched"
	"dewpass.org/test/bed"
)

// shape is the size and layout of a cell to measure.
type shape struct {
	halls, perHall, racks, workersPerRack int
	// farPerHall and farRacks apply to all halls but the first, if not 0.
	farPerHall, farRacks int
	// servicesInFirstHall restricts all services to the first hall.
	servicesInFirstHall bool
}

var workerSize = sched.Vec{16000, 32 << 10, 0, 8, 64}

// start starts a cell of a shape, with a tree of two call workloads, one batch
// workload and one service.
func start(ctx context.Context, s shape) (*bed.Bed, func(), error) {
	d := bed.Deployment{
		Name: "measure", Capacity: workerSize,
		RacksPerHall: s.racks, WorkersPerRack: s.workersPerRack,
		EntriesPerOtherHall: s.farPerHall, RacksPerOtherHall: s.farRacks,
	}
	for i := range s.halls {
		d.Halls = append(d.Halls, fmt.Sprintf("hall-%d", i+1))
	}
	named := d.Halls
	if s.servicesInFirstHall {
		named = named[:1]
	}
	doc, err := json.Marshal(treeOf(named))
	if err != nil {
		return nil, nil, err
	}
	d.TreeDoc = doc
	dir, err := os.MkdirTemp("", "dewpass-measure")
	if err != nil {
		return nil, nil, err
	}
	b, err := bed.Start(ctx, bed.Options{
		Deployment: d, EntriesPerHall: s.perHall, Dir: dir,
		Dewpass: siblingPath("dewpass"), StandIn: siblingPath("standin"),
	})
	if err != nil {
		return nil, nil, err
	}
	return b, func() {
		b.Close()
		_ = os.RemoveAll(dir)
	}, nil
}

func treeOf(halls []string) map[string]any {
	workload := func(settings map[string]any) map[string]any {
		return map[string]any{"settings": settings}
	}
	return map[string]any{
		"settings": map[string]any{"halls": halls, "queue": 100000},
		"branches": map[string]any{
			"call":    workload(map[string]any{"kind": "call", "class": "urgent", "cpu": "100m", "memory": "64MiB", "deadline": "5s"}),
			"order":   workload(map[string]any{"kind": "call", "repeat": "never", "cpu": "100m", "memory": "64MiB", "deadline": "5s"}),
			"batch":   workload(map[string]any{"kind": "batch", "cpu": "500m", "memory": "512MiB"}),
			"service": workload(map[string]any{"kind": "service", "cpu": "500m", "memory": "512MiB", "count": 0}),
		},
	}
}

// sample is the resource usage of a process over a period.
type sample struct {
	cpu      float64 // percent of a core
	bytes    float64 // read and written, a second
	resident float64 // MiB
	anon     float64 // MiB
}

// sampleUsage measures the resource usage of a process over a period.
func sampleUsage(p *bed.Process, span time.Duration) sample {
	before, began := p.Usage(), time.Now()
	time.Sleep(span)
	after, took := p.Usage(), time.Since(began).Seconds()
	return sample{
		cpu:      100 * (after.CPU - before.CPU).Seconds() / took,
		bytes:    float64(after.Bytes-before.Bytes) / took,
		resident: float64(after.ResidentKiB) / 1024,
		anon:     float64(after.AnonymousKiB) / 1024,
	}
}

// line is a fitted straight line.
type line struct{ slope, intercept, r2 float64 }

// fit fits a line by least squares.
func fit(x, y []float64) line {
	n := float64(len(x))
	var sx, sy, sxx, sxy, syy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
		syy += y[i] * y[i]
	}
	l := line{}
	if d := n*sxx - sx*sx; d != 0 {
		l.slope = (n*sxy - sx*sy) / d
	}
	l.intercept = (sy - l.slope*sx) / n
	if d := (n*sxx - sx*sx) * (n*syy - sy*sy); d > 0 {
		r := (n*sxy - sx*sy)
		l.r2 = r * r / d
	}
	return l
}

// series collects samples by the size that varies, and prints them with the slopes of
// their columns.
type series struct {
	quantity string
	x        []float64
	samples  []sample
}

func (s *series) add(x float64, got sample) {
	s.x = append(s.x, x)
	s.samples = append(s.samples, got)
	fmt.Printf("%-14s %8.0f   cpu %6.2f %%   %9.0f B/s   resident %5.1f MiB   anonymous %5.1f MiB\n",
		s.quantity, x, got.cpu, got.bytes, got.resident, got.anon)
}

func (s *series) printSlopes() {
	column := func(name, unit string, f func(sample) float64) {
		y := make([]float64, len(s.samples))
		for i := range s.samples {
			y[i] = f(s.samples[i])
		}
		l := fit(s.x, y)
		fmt.Printf("  slope of %-9s %10.4f %s for one of %s, from %.2f (r2 %.3f)\n", name, l.slope, unit, s.quantity, l.intercept, l.r2)
	}
	column("cpu", "%", func(s sample) float64 { return s.cpu })
	column("bytes", "B/s", func(s sample) float64 { return s.bytes })
	column("anonymous", "MiB", func(s sample) float64 { return s.anon })
}
