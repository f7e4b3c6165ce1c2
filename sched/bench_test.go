// SPDX-License-Identifier: Apache-2.0

package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// benchSizes are the workers of one owner: today's cell, a hall at the design
// size, and the whole of it.
var benchSizes = []int{48, 375, 6000}

// tasksPerWorker is 38,000 running tasks on 6,000 workers.
const tasksPerWorker = 6

// steady is a cell in which as many tasks run as end.
type steady struct {
	cell    Cell
	rng     *rand.Rand
	running []Handle
	now     time.Duration
	buf     []Decision
	mix     []Task
}

func newSteady(workers int) *steady {
	s := &steady{rng: rand.New(rand.NewPCG(1, 1))}
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

// task draws a task: half calls, half batch, of any of 88 teams.
func (s *steady) task() Task {
	t := s.mix[0]
	if s.rng.IntN(2) == 0 {
		t = s.mix[2]
	}
	t.Team = TeamID(s.rng.IntN(88))
	return t
}

func (s *steady) step() {
	s.buf = s.cell.Step(s.now, s.buf[:0])
	for _, d := range s.buf {
		if d.Op == OpStart {
			s.running = append(s.running, d.Task)
		}
	}
}

// turn ends one task, takes in one, and decides.
func (s *steady) turn() {
	s.now += time.Millisecond
	i := s.rng.IntN(len(s.running))
	s.cell.Finish(s.running[i], s.now)
	s.running[i] = s.running[len(s.running)-1]
	s.running = s.running[:len(s.running)-1]
	t := s.task()
	if t.Call {
		s.cell.CallArrived(t.Demand, s.now)
	}
	s.cell.Submit(t, s.now)
	s.step()
}

// BenchmarkDecision times one turn of a cell in its steady state: a task ends,
// one comes in, and the cell decides.
func BenchmarkDecision(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			s := newSteady(n)
			for range 20000 {
				s.turn()
			}
			h := hdrhistogram.New(1, int64(time.Second), 3)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				began := time.Now()
				s.turn()
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

// BenchmarkBurst takes in 5,000 calls at once and decides on all of them.
func BenchmarkBurst(b *testing.B) {
	const burst = 5000
	for _, n := range []int{375, 6000} {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			for range b.N {
				b.StopTimer()
				s := newSteady(n)
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

// contenders are the policies that are measured side by side.
var contenders = []struct {
	name string
	make func(workers int, capacity Vec) policy
}{
	{"dewpass", func(n int, c Vec) policy { return newCell(n, c) }},
	{"first-come-first-fit", withRule(fcfs)},
	{"random-of-two", withRule(twoRules)},
	{"strict-priority", withRule(strict)},
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

// BenchmarkPolicy drives both users' mixes through every policy for a minute
// of virtual time, and reports waits, packing and missed deadlines. The bound
// of an omniscient policy is a wait of nothing.
func BenchmarkPolicy(b *testing.B) {
	mixes := []struct {
		name     string
		sources  []source
		capacity Vec
	}{{"comhar", comhar, comharWorker}, {"kartvela", kartvela, kartvelaWorker}}
	for _, m := range mixes {
		for _, c := range contenders {
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
				b.ReportMetric(float64(o.yields), "yields")
			})
		}
	}
}
