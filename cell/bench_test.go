// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"fmt"
	"testing"
	"time"

	"dewpass.org/flow"
)

// busyCell returns a cell whose workers are nearly full, with more waiting stages than will find
// room.
func busyCell(workers, waiting int) (*rig, []Start) {
	r := &rig{Cell: New(1 << 12), now: time.Unix(1_000_000, 0), ends: make(map[string]int)}
	r.Configure([]Queue{
		{Name: "q", Pool: "p", MaxAttempts: 2, Stretch: 1.5, Target: time.Second},
		{Name: "slow", Pool: "p", Priority: 2, MaxAttempts: 2, Stretch: 1.5, Target: time.Second, Advice: &Advice{Valid: time.Hour}},
	})
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		r.heard(id, func(w *Worker) {
			w.Rack = fmt.Sprintf("r%d", i/12)
			w.Hall = fmt.Sprintf("h%d", i%3)
			w.Room = vec(16000, 32000)
		})
		r.Attached(id, Lists{}, r.now)
	}
	var starts []Start
	for i := range workers {
		r.add(fmt.Sprintf("j%d", i), flow.Step{Count: 15, Demand: demand(1000), EstimateMS: 60_000})
		starts = append(starts, r.startAll()...)
	}
	for i := range waiting {
		id := fmt.Sprintf("s%d", i)
		r.Submit(&flow.Spec{ID: id, Queue: "slow", Steps: []flow.Step{{Count: 17, Demand: demand(4500), EstimateMS: 4800}}}, r.now, r.now)
		r.JobStored(id)
		for _, a := range r.place().Asks {
			var tickets []Ticket
			for _, w := range a.Workers {
				tickets = append(tickets, Ticket{Worker: w, Text: "t"})
			}
			r.Advised(a, tickets, time.Hour, r.now)
		}
	}
	return r, starts
}

// BenchmarkPlace measures one cycle of an owner: a task ends, another of the same kind waits, and
// the cell decides.
func BenchmarkPlace(b *testing.B) {
	for _, size := range []struct{ workers, waiting int }{{48, 10}, {350, 80}, {1000, 200}} {
		b.Run(fmt.Sprintf("workers=%d", size.workers), func(b *testing.B) {
			r, starts := busyCell(size.workers, size.waiting)
			b.ReportMetric(float64(len(starts)), "running")
			b.ResetTimer()
			for i := range b.N {
				at := i % len(starts)
				r.end(starts[at], flow.EndDone)
				r.add(fmt.Sprintf("n%d", i), flow.Step{Count: 1, Demand: demand(1000), EstimateMS: 60_000})
				if i%64 == 0 {
					r.save()
				}
				r.now = r.now.Add(time.Millisecond)
				a := r.Place(r.now, r.now, 4)
				if len(a.Starts) == 0 {
					a.Starts = r.place().Starts
				}
				for _, s := range a.Starts {
					r.Started(s.Worker, s.Task, s.Run, Accepted, r.now)
					starts[at] = s
				}
			}
		})
	}
}
