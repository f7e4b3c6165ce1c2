// SPDX-License-Identifier: Apache-2.0

package speed_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dewpass.org/speed"
)

// pool simulates the runs of a queue on workers of given speeds, in virtual time.
type pool struct {
	rng     *rand.Rand
	now     time.Time
	queue   speed.Queue
	speeds  []float64
	workers []speed.Worker
	ends    []end
}

// end is the end of a run that is still to come.
type end struct {
	at                  time.Time
	step                *speed.Step
	worker              int
	estimated, measured time.Duration
}

func newPool(speeds []float64) *pool {
	return &pool{rng: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1_000_000, 0), speeds: speeds, workers: make([]speed.Worker, len(speeds))}
}

// load is a kind of steps: the workers that run a step, its tasks on each, by how much its estimate
// may be off, and the spread of its tasks. 3 of 100 tasks take seven times as long.
type load struct {
	workers, each  int
	errors, spread float64
}

// begin begins a step with tasks of 2 s.
func (p *pool) begin(l load) {
	const work = 2 * time.Second
	s := new(speed.Step)
	estimated := time.Duration(float64(work) * (1 - l.errors + 2*l.errors*p.rng.Float64()))
	for _, w := range p.rng.Perm(len(p.workers))[:l.workers] {
		for range l.each {
			length := math.Exp(l.spread*p.rng.NormFloat64()) / p.speeds[w]
			if p.rng.Float64() < 0.03 {
				length *= 7
			}
			measured := time.Duration(length * float64(work))
			p.ends = append(p.ends, end{p.now.Add(measured), s, w, estimated, measured})
		}
	}
}

// play begins steps at a rate for each worker and second, and calls look after each second.
func (p *pool) play(seconds int, rate float64, l load, look func()) {
	for range seconds {
		for range int(rate * float64(len(p.workers)) / float64(l.workers)) {
			p.begin(l)
		}
		p.now = p.now.Add(time.Second)
		slices.SortFunc(p.ends, func(a, b end) int { return a.at.Compare(b.at) })
		for len(p.ends) > 0 && !p.ends[0].at.After(p.now) {
			e := p.ends[0]
			p.ends = p.ends[1:]
			e.step.Ended(&p.workers[e.worker], &p.queue, e.estimated, e.measured, e.at)
		}
		look()
	}
}

// classes returns the number of workers of each class among those with a speed.
func (p *pool) classes(of float64) map[speed.Class]int {
	var known []float64
	for i := range p.workers {
		if e := p.workers[i].Estimate(p.now); e.Supported() {
			known = append(known, e.Log)
		}
	}
	median, count := speed.Median(known), make(map[speed.Class]int)
	for i := range p.workers {
		if class, _ := p.workers[i].Estimate(p.now).Relative(median); p.speeds[i] == of {
			count[class]++
		}
	}
	return count
}

// Guards against calling a worker slow or fast for the noise of its runs: a few durations against
// estimates that are off by up to 0.9, or one task that takes seven times as long.
func TestEqualWorkersAreNormal(t *testing.T) {
	for _, l := range []load{
		{1, 1, 0.9, 0.1}, {1, 3, 0.9, 0.1}, {4, 1, 0.9, 0.1}, {4, 6, 0.9, 0}, {4, 6, 0.9, 0.3}, {12, 1, 0.2, 0.3},
	} {
		t.Run(fmt.Sprintf("%+v", l), func(t *testing.T) {
			p, most := newPool(slices.Repeat([]float64{1}, 350)), 0
			p.play(40, 0.5, l, func() { most = max(most, 350-p.classes(1)[speed.Normal]) })
			t.Logf("at most %d of 350 are not normal", most)
			NewWithT(t).Expect(most).To(BeNumerically("<", 7))
		})
	}
}

// Guards against speeds that are found late, or of too few workers, because estimates are off.
func TestSlowWorkersAreFound(t *testing.T) {
	for _, c := range []struct {
		load
		seconds int
		found   float64
	}{
		{load{4, 6, 0.9, 0.1}, 10, 0.9}, {load{4, 6, 0.5, 0.3}, 10, 0.9}, {load{12, 1, 0.9, 0.1}, 20, 0.9},
		// Single tasks can only be compared with their estimates.
		{load{1, 1, 0.5, 0.1}, 30, 0.5},
	} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			g := NewWithT(t)
			p := newPool(slices.Repeat([]float64{0.55, 1.2, 1.2, 1.2}, 87))
			p.play(c.seconds, 0.5, c.load, func() {})
			slow, others := p.classes(0.55), p.classes(1.2)
			t.Logf("slow ones %v, others %v", slow, others)
			g.Expect(float64(slow[speed.Slow]) / 87).To(BeNumerically(">=", c.found))
			g.Expect(float64(others[speed.Slow]) / 261).To(BeNumerically("<", 0.03))
		})
	}
}

// Guards against a worker that stays slow in the books after it was slow for a moment, whether it
// gets further runs or, because it is called slow, none.
func TestRecoveredWorkersAreForgotten(t *testing.T) {
	for rate, seconds := range map[float64]int{0.5: 15, 0: 60} {
		t.Run(fmt.Sprintf("rate %v", rate), func(t *testing.T) {
			g := NewWithT(t)
			p := newPool(slices.Repeat([]float64{0.5, 1, 1, 1}, 87))
			l := load{4, 6, 0.9, 0.1}
			p.play(5, 0.5, l, func() {})
			p.speeds = slices.Repeat([]float64{1}, 348)
			p.play(3, rate, l, func() {})
			g.Expect(p.classes(1)[speed.Slow]).To(BeNumerically(">=", 40))
			var left []int
			p.play(seconds, rate, l, func() { left = append(left, p.classes(1)[speed.Slow]) })
			t.Logf("slow, by second: %v", left)
			g.Expect(left[len(left)-1]).To(BeZero())
		})
	}
}

// Guards against a queue whose estimates are all off by the same factor.
func TestEstimatesAreCorrected(t *testing.T) {
	g := NewWithT(t)
	var q speed.Queue
	g.Expect(q.Correction()).To(Equal(1.0))
	now := time.Unix(1_000_000, 0)
	for i := range 100 {
		measured := 3 * time.Second
		if i%20 == 0 {
			measured *= 7
		}
		new(speed.Step).Ended(new(speed.Worker), &q, time.Second, measured, now)
		now = now.Add(100 * time.Millisecond)
	}
	g.Expect(q.Correction()).To(BeNumerically("~", 3, 0.3))
}

// Guards against a speed that is used with too few runs, too little difference or too little
// certainty.
func TestEvidence(t *testing.T) {
	for _, c := range []struct {
		name     string
		estimate speed.Estimate
		class    speed.Class
	}{
		{"clearly slow", speed.Estimate{Log: -0.5, Deviation: 0.1, Runs: 3, Weight: 2}, speed.Slow},
		{"clearly fast", speed.Estimate{Log: 0.7, Deviation: 0.1, Runs: 3, Weight: 2}, speed.Fast},
		{"two runs", speed.Estimate{Log: -0.5, Deviation: 0.1, Runs: 2, Weight: 2}, speed.Normal},
		{"old runs", speed.Estimate{Log: -0.5, Deviation: 0.1, Runs: 9, Weight: 1}, speed.Normal},
		{"less than 15%", speed.Estimate{Log: -0.02, Deviation: 0.01, Runs: 9, Weight: 9}, speed.Normal},
		{"large spread", speed.Estimate{Log: -0.5, Deviation: 0.3, Runs: 9, Weight: 9}, speed.Normal},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			class, log := c.estimate.Relative(0.1)
			g.Expect(class).To(Equal(c.class))
			if c.class == speed.Normal {
				g.Expect(log).To(BeZero())
			} else {
				g.Expect(log).To(BeNumerically("~", c.estimate.Log-0.1))
			}
		})
	}
}

// BenchmarkEnded measures the end of a run of a step on as many workers as are compared.
func BenchmarkEnded(b *testing.B) {
	var q speed.Queue
	workers, now := make([]speed.Worker, 16), time.Unix(1_000_000, 0)
	var s speed.Step
	for i := range b.N {
		now = now.Add(time.Millisecond)
		s.Ended(&workers[i%len(workers)], &q, time.Second, time.Second, now)
	}
}
