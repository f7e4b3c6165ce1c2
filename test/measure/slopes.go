// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dewpass.org/ports"
	"dewpass.org/sched"
	"dewpass.org/test/bed"
	"dewpass.org/test/load"
	"dewpass.org/tree"
)

const (
	settleTime   = 4 * time.Second
	samplePeriod = 8 * time.Second
)

// workers measures one instance by the number of idle workers that it owns.
func workers(ctx context.Context) error {
	s := series{quantity: "workers"}
	for _, racks := range []int{6, 19, 47, 113} {
		b, end, err := start(ctx, shape{halls: 1, perHall: 1, racks: racks, workersPerRack: 8})
		if err != nil {
			return err
		}
		time.Sleep(settleTime)
		s.add(float64(racks*8), sampleUsage(b.Entries[0], samplePeriod))
		end()
	}
	s.printSlopes()
	return nil
}

// tasks measures one instance by the number of running tasks.
func tasks(ctx context.Context) error {
	b, end, err := start(ctx, shape{halls: 1, perHall: 1, racks: 47, workersPerRack: 8})
	if err != nil {
		return err
	}
	defer end()
	s := series{quantity: "running tasks"}
	for _, n := range []int{0, 400, 1000, 2000} {
		if err := setTree(ctx, b, "service.count", fmt.Sprint(n)); err != nil {
			return err
		}
		if err := awaitStarts(ctx, b, n); err != nil {
			return err
		}
		time.Sleep(settleTime)
		s.add(float64(n), sampleUsage(b.Entries[0], samplePeriod))
	}
	s.printSlopes()
	return nil
}

func setTree(ctx context.Context, b *bed.Bed, path, value string) error {
	c := b.Entries[0].Client()
	var view struct{ Version uint64 }
	if err := c.Do(ctx, http.MethodGet, "/v1/tree", nil, &view); err != nil {
		return err
	}
	e := tree.Edit{Base: view.Version, Ops: []tree.Op{{Path: path, Value: json.RawMessage(value)}}}
	return c.Do(ctx, http.MethodPost, "/v1/tree/edits", e, nil)
}

const startsTimeout = 90 * time.Second

func awaitStarts(ctx context.Context, b *bed.Bed, n int) error {
	ctx, cancel := context.WithTimeout(ctx, startsTimeout)
	defer cancel()
	for {
		r, err := b.Record(ctx)
		if err != nil {
			return err
		}
		if r.Starts >= n {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// measureRates measures one instance at several rates of one kind of work.
func measureRates(ctx context.Context, what string, rates []float64, stream load.Stream) error {
	b, end, err := start(ctx, shape{halls: 1, perHall: 1, racks: 7, workersPerRack: 8})
	if err != nil {
		return err
	}
	defer end()
	time.Sleep(settleTime)
	s := series{quantity: what}
	for _, r := range rates {
		if r > 0 {
			stream.PerSecond = r
			go load.Run(ctx, b.Entries[0].Client(), []load.Stream{stream}, settleTime/2+samplePeriod, settleTime, nil)
		}
		time.Sleep(settleTime / 2)
		s.add(r, sampleUsage(b.Entries[0], samplePeriod))
		time.Sleep(settleTime / 2)
	}
	s.printSlopes()
	return nil
}

// starts measures one instance by calls per second.
func starts(ctx context.Context) error {
	return measureRates(ctx, "calls a second", []float64{0, 50, 100, 200, 400}, load.Stream{Workload: "call", Runs: 5 * time.Millisecond})
}

// jobs measures one instance by jobs per second, from acceptance to the end.
func jobs(ctx context.Context) error {
	return measureRates(ctx, "jobs a second", []float64{0, 20, 50, 100}, load.Stream{Workload: "batch", Runs: 200 * time.Millisecond, Job: true})
}

// changes measures changes of the tree per second, at an instance other than the one
// that accepts them.
func changes(ctx context.Context) error {
	b, end, err := start(ctx, shape{halls: 1, perHall: 2, racks: 6, workersPerRack: 8})
	if err != nil {
		return err
	}
	defer end()
	time.Sleep(settleTime)
	s := series{quantity: "changes a second"}
	for _, r := range []float64{0, 1, 3, 6} {
		stop := make(chan struct{})
		if r > 0 {
			go func() {
				t := time.NewTicker(time.Duration(float64(time.Second) / r))
				defer t.Stop()
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					case <-t.C:
						_ = setTree(ctx, b, "batch.note", fmt.Sprintf(`"%d"`, i))
					}
				}
			}()
		}
		s.add(r, sampleUsage(b.Entries[1], samplePeriod))
		close(stop)
	}
	s.printSlopes()
	return nil
}

// peers measures one instance by the number of other instances in its hall.
func peers(ctx context.Context) error {
	s := series{quantity: "peers"}
	for _, n := range []int{2, 4, 7, 10} {
		b, end, err := start(ctx, shape{halls: 1, perHall: n, racks: n, workersPerRack: 8})
		if err != nil {
			return err
		}
		time.Sleep(settleTime)
		s.add(float64(n-1), sampleUsage(b.Entries[0], samplePeriod))
		end()
	}
	s.printSlopes()
	return nil
}

// halls measures one instance by the number of other halls, with two instances each.
func halls(ctx context.Context) error {
	s := series{quantity: "other halls"}
	for _, n := range []int{1, 4, 8, 16} {
		b, end, err := start(ctx, shape{halls: n, perHall: 2, racks: 1, workersPerRack: 4})
		if err != nil {
			return err
		}
		time.Sleep(settleTime)
		s.add(float64(n-1), sampleUsage(b.Entries[0], samplePeriod))
		end()
	}
	s.printSlopes()
	return nil
}

// takeover measures the time until all racks of a hall that lost half of its
// instances are owned again with every worker attached.
func takeover(ctx context.Context) error {
	for _, racks := range []int{2, 6, 47} {
		if err := measureTakeover(ctx, racks); err != nil {
			return err
		}
	}
	return nil
}

func measureTakeover(ctx context.Context, racks int) error {
	const instances = 4
	b, end, err := start(ctx, shape{halls: 1, perHall: instances, racks: racks, workersPerRack: 8})
	if err != nil {
		return err
	}
	defer end()
	time.Sleep(settleTime)
	before, err := b.Commits(ctx)
	if err != nil {
		return err
	}
	survivor := b.Entries[instances-1]
	bytes, cpu := survivor.Usage().Bytes, survivor.Usage().CPU
	began := time.Now()
	for _, p := range b.Entries[:instances/2] {
		p.Kill()
	}
	if err := awaitOwners(ctx, b, racks); err != nil {
		return err
	}
	if err := b.AwaitReady(ctx); err != nil {
		return err
	}
	took := time.Since(began)
	after, err := b.Commits(ctx)
	if err != nil {
		return err
	}
	u := survivor.Usage()
	fmt.Printf("racks %3d (%3d workers): all owned and attached after %5.2f s, %4d transactions (%.1f a second), survivor %.0f KB and %.0f ms of processor time\n",
		racks, racks*8, took.Seconds(), after-before, float64(after-before)/took.Seconds(),
		float64(u.Bytes-bytes)/1000, float64((u.CPU - cpu).Milliseconds()))
	return nil
}

// awaitOwners waits until every rack is owned by a running process. Owners that do not run
// are ignored, because peers believe the summaries of killed instances for a moment.
func awaitOwners(ctx context.Context, b *bed.Bed, racks int) error {
	ctx, cancel := context.WithTimeout(ctx, startsTimeout)
	defer cancel()
	running := make(map[string]bool)
	for _, p := range b.Entries {
		running[p.Addr.ID] = p.Running()
	}
	for {
		owners, err := b.Owners(ctx)
		if err != nil {
			return err
		}
		owned := 0
		for _, owner := range owners {
			if running[owner] {
				owned++
			}
		}
		if owned == racks {
			return nil
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// warmupDivisor is the part of the calls, one in warmupDivisor, that is not measured. They
// take some seconds, after which the garbage collector has adapted to the load.
const warmupDivisor = 4

// latency compares the latency of a call directly to a worker with one through dewpass.
func latency(ctx context.Context) error {
	const calls = 20000
	direct, err := directLatency(ctx, calls)
	if err != nil {
		return err
	}
	b, end, err := start(ctx, shape{halls: 1, perHall: 2, racks: 2, workersPerRack: 8})
	if err != nil {
		return err
	}
	defer end()
	through := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	c := b.Entries[0].Client()
	for i := range calls {
		began := time.Now()
		if _, err := load.Call(ctx, c, load.Item{Workload: "call", Account: "s", Deadline: time.Second}); err != nil {
			return err
		}
		if i >= calls/warmupDivisor {
			_ = through.RecordValue(time.Since(began).Microseconds())
		}
	}
	for _, q := range []float64{50, 90, 99} {
		d, t := direct.ValueAtQuantile(q), through.ValueAtQuantile(q)
		fmt.Printf("p%-3.0f straight to the worker %5d us   through dewpass %5d us   added %5d us\n", q, d, t, t-d)
	}
	return nil
}

// directLatency measures calls to a simulated worker without an owner. The worker is a
// process of its own, as it is behind dewpass.
func directLatency(ctx context.Context, calls int) (*hdrhistogram.Histogram, error) {
	b, end, err := start(ctx, shape{halls: 1, racks: 1, workersPerRack: 1})
	if err != nil {
		return nil, err
	}
	defer end()
	api := ports.NewWorkers().At(b.Config.Workers[0].Addr)
	cmd := ports.Command{Owner: "m"}
	cmd.Epoch.Table = 1
	reply, err := api.Attach(ctx, cmd)
	if err != nil {
		return nil, err
	}
	cmd.Incarnation = reply.Incarnation
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for i := range calls {
		t := ports.Task{ID: fmt.Sprint(i), Attempt: 1, Call: true, Demand: sched.Vec{100, 64, 0, 1, 1}, Payload: []byte(`{"ms":0}`)}
		began := time.Now()
		if _, err := api.Start(ctx, cmd, t, time.Hour); err != nil {
			return nil, err
		}
		if i >= calls/warmupDivisor {
			_ = h.RecordValue(time.Since(began).Microseconds())
		}
	}
	return h, nil
}
