// SPDX-License-Identifier: Apache-2.0

package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// benchSizes are the numbers of workers of one owner: a cell of today, a data hall at the size
// that the design is made for, and all data halls together.
var benchSizes = []int{48, 375, 6000}

// tasksPerWorker gives about 38,000 running tasks on 6,000 workers.
const tasksPerWorker = 6

// steadyCell is a cell in steady state: as many tasks start as end.
type steadyCell struct {
	cell    Cell
	rng     *rand.Rand
	running []Handle
	now     time.Duration
	buf     []Decision
	mix     []Task
}

func newSteadyCell(workers int) *steadyCell {
	s := &steadyCell{rng: rand.New(rand.NewPCG(1, 1))}
	for i := range workers {
		s.cell.Add(RackID(i/8), comharWorker)
	}
	whole := comharWorker.Scale(int64(workers))
	const teams = 88
	for team := range TeamID(teams) {
		quota := whole
		for d := range quota {
			quota[d] /= teams
		}
		s.cell.SetTeam(team, quota, true)
	}
	for _, src := range comhar {
		s.mix = append(s.mix, src.task)
	}
	for range workers * tasksPerWorker {
		s.cell.Submit(s.task(), s.now)
	}
	s.step()
	return s
}

// task draws a task: a call or a batch task with equal probability, of a random one of 88
// teams.
func (s *steadyCell) task() Task {
	t := s.mix[0]
	if s.rng.IntN(2) == 0 {
		t = s.mix[2]
	}
	t.Team = TeamID(s.rng.IntN(88))
	return t
}

func (s *steadyCell) step() {
	s.buf = s.cell.Step(s.now, s.buf[:0])
	for _, d := range s.buf {
		if d.Op == OpStart {
			s.running = append(s.running, d.Task)
		}
	}
}

// cycle ends one task, submits one, and runs a step.
func (s *steadyCell) cycle() {
	s.now += time.Millisecond
	i := s.rng.IntN(len(s.running))
	s.cell.Finish(s.running[i], s.now)
	s.running[i] = s.running[len(s.running)-1]
	s.running = s.running[:len(s.running)-1]
	t := s.task()
	if t.Call {
		s.cell.RecordCallArrival(t.Demand, s.now)
	}
	s.cell.Submit(t, s.now)
	s.step()
}

// BenchmarkDecision times one cycle of a cell in steady state: a task ends, one is submitted,
// and the cell decides.
func BenchmarkDecision(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			s := newSteadyCell(n)
			for range 20000 {
				s.cycle()
			}
			h := hdrhistogram.New(1, int64(time.Second), 3)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				began := time.Now()
				s.cycle()
				_ = h.RecordValue(int64(time.Since(began)))
			}
			b.StopTimer()
			b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50-ns")
			b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-ns")
			b.ReportMetric(float64(h.Max()), "max-ns")
			b.ReportMetric(float64(s.cell.Running()), "running")
		})
	}
}

// BenchmarkBurst submits 5,000 calls at once and decides on all of them.
func BenchmarkBurst(b *testing.B) {
	const burst = 5000
	for _, n := range []int{375, 6000} {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			for range b.N {
				b.StopTimer()
				s := newSteadyCell(n)
				b.StartTimer()
				for range burst {
					t := s.mix[0]
					t.Team = TeamID(s.rng.IntN(88))
					s.cell.Submit(t, s.now)
				}
				s.step()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*burst), "ns/task")
		})
	}
}

// comparedPolicies are the policies that are measured side by side.
var comparedPolicies = []struct {
	name string
	make func(workers int, capacity Vec) policy
}{
	{"dewpass", func(n int, c Vec) policy { return newCell(n, c) }},
	{"first-come-first-fit", withRule(fcfs)},
	{"random-of-two", withRule(randomTwo)},
	{"strict-priority", withRule(strictPriority)},
	{"best-fit-decreasing", withRule(decreasing)},
}

func withRule(r rule) func(int, Vec) policy {
	return func(n int, capacity Vec) policy {
		p := newBaseline(r)
		for range n {
			p.addWorker(capacity)
		}
		return p
	}
}

// BenchmarkPolicy runs the workload mixes of both users through every policy for a minute of
// virtual time, and reports waits, packing and missed deadlines. The lower bound, which an
// omniscient policy would reach, is a wait of zero.
func BenchmarkPolicy(b *testing.B) {
	mixes := []struct {
		name     string
		sources  []source
		capacity Vec
	}{{"comhar", comhar, comharWorker}, {"kartvela", kartvela, kartvelaWorker}}
	for _, m := range mixes {
		for _, c := range comparedPolicies {
			b.Run(m.name+"/"+c.name, func(b *testing.B) {
				var o *outcome
				for range b.N {
					o = drive(c.make(48, m.capacity), m.sources, time.Minute, 1)
				}
				for _, s := range m.sources {
					w := o.waits[s.name]
					b.ReportMetric(float64(w.ValueAtQuantile(50))/1000, s.name+"-p50-ms")
					b.ReportMetric(float64(w.ValueAtQuantile(99))/1000, s.name+"-p99-ms")
					if s.deadline > 0 {
						b.ReportMetric(float64(o.missed[s.name]+o.refused[s.name]), s.name+"-missed")
					}
				}
				b.ReportMetric(100*o.busy, "packed-%")
				b.ReportMetric(float64(o.preemptions), "yields")
			})
		}
	}
}
