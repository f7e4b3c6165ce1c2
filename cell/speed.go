// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"math"
	"time"

	"dewpass.org/flow"
	"dewpass.org/speed"
)

// The speeds of workers order the workers that have room for a task: a step that is short of slack
// prefers fast ones and leaves slow ones to steps with much slack. A worker is never left idle
// because of its speed, and on equal workers nothing changes.

const (
	// speedRefreshInterval is the time between refreshes of the medians and of all classes.
	speedRefreshInterval = time.Second
	// speedBonus is the bonus of a worker for a speed that differs by maxSpeedLog in the logarithm,
	// the largest difference that counts. It is less than hallBonus: the halls of a job are recorded
	// in the store, and a job should depend on few of them.
	speedBonus  = 1.5
	maxSpeedLog = 1.0
	// A step prefers fast workers if its slack is less than its remaining chain divided by
	// shortSlackDivisor, and slow ones if its slack is at least its remaining chain: on a worker of
	// half the speed it takes as much longer.
	shortSlackDivisor = 2
)

// speeds holds what is learned of the speeds of workers. Its zero value learns nothing.
type speeds struct {
	on bool
	// queues holds the corrections of the estimates, by queue.
	queues map[string]*speed.Queue
	// medians holds the median of the logarithms of the known speeds, by pool.
	medians     map[string]float64
	refreshedAt time.Time
	// differ means that some worker is not of normal speed.
	differ  bool
	changes []SpeedChange
}

// workerSpeed is what is known of the speed of one incarnation of a worker.
type workerSpeed struct {
	estimate speed.Worker
	class    speed.Class
	// factor is the speed relative to the pool's median, used only unless class is Normal. bonus is
	// its part in a score, 0 for a worker of normal speed.
	factor, bonus float64
}

// SpeedChange is a change of the class of a worker.
type SpeedChange struct {
	Worker string
	Class  speed.Class
	// Speed is the estimated speed relative to the median of the pool, and Deviation the standard
	// deviation of its logarithm. Runs is the number of runs in support, and Weight their weight, 1
	// for a run that has just ended.
	Speed, Deviation float64
	Runs             int
	Weight           float64
}

// UseSpeeds sets whether the speeds of workers are learned and used.
func (c *Cell) UseSpeeds(on bool) {
	c.speeds = speeds{on: on, queues: make(map[string]*speed.Queue), medians: make(map[string]float64)}
}

// SpeedChanges returns the changes of workers' classes since the last call.
func (c *Cell) SpeedChanges() []SpeedChange {
	changes := c.speeds.changes
	c.speeds.changes = nil
	return changes
}

// SpeedClasses returns the number of workers that count as slow and as fast.
func (c *Cell) SpeedClasses() (slow, fast int) {
	for _, w := range c.sortedWorkers {
		switch w.speed.class {
		case speed.Slow:
			slow++
		case speed.Fast:
			fast++
		}
	}
	return slow, fast
}

// learnSpeed takes the end of a run into account. A member of a gang lasts as long as the slowest
// one, and a task that fills idle processor time as long as others leave it little: both say nothing
// about their worker.
func (c *Cell) learnSpeed(r *run, how flow.End, now time.Time) {
	s := r.stage
	if !c.speeds.on || how != flow.EndDone || !r.timed || r.stopping || !r.worker.attached || s.unknown {
		return
	}
	if s.def.Gang || s.def.LongRunning || s.def.IdleCPUOnly {
		return
	}
	name := s.job.spec.Queue
	q := c.speeds.queues[name]
	if q == nil {
		q = new(speed.Queue)
		c.speeds.queues[name] = q
	}
	estimate := time.Duration(s.def.EstimateMS) * time.Millisecond
	s.speeds.Ended(&r.worker.speed.estimate, q, estimate, now.Sub(r.confirmedAt), now)
	c.classify(r.worker, now)
}

// classify updates the class of w by its present estimate.
func (c *Cell) classify(w *worker, now time.Time) {
	e := w.speed.estimate.Estimate(now)
	class, log := e.Relative(c.speeds.medians[w.Pool])
	if class != w.speed.class {
		c.speeds.changes = append(c.speeds.changes, SpeedChange{
			Worker: w.ID, Class: class, Speed: math.Exp(e.Log - c.speeds.medians[w.Pool]), Deviation: e.Deviation, Runs: e.Runs, Weight: e.Weight,
		})
	}
	w.speed.class, w.speed.factor = class, math.Exp(log)
	w.speed.bonus = speedBonus * min(max(log/maxSpeedLog, -1), 1)
	c.speeds.differ = c.speeds.differ || class != speed.Normal
}

// refreshSpeeds updates the medians of the pools and the classes of all workers, at intervals: a
// class ends with the support for it, even if the worker runs nothing.
func (c *Cell) refreshSpeeds(now time.Time) {
	if !c.speeds.on || now.Sub(c.speeds.refreshedAt) < speedRefreshInterval {
		return
	}
	c.speeds.refreshedAt, c.speeds.differ = now, false
	known := make(map[string][]float64)
	for _, w := range c.sortedWorkers {
		if e := w.speed.estimate.Estimate(now); e.Supported() {
			known[w.Pool] = append(known[w.Pool], e.Log)
		}
	}
	clear(c.speeds.medians)
	for pool, logs := range known {
		c.speeds.medians[pool] = speed.Median(logs)
	}
	for _, w := range c.sortedWorkers {
		c.classify(w, now)
	}
}

// speedWeight returns by what factor the bonus for speed counts for the tasks of a placement: 1 if
// fast workers are preferred, -1 if slow ones are, 0 if speed does not matter.
func (p *placement) speedWeight() float64 {
	s := p.step
	if !p.cell.speeds.differ || s.def.LongRunning || s.def.IdleCPUOnly {
		return 0
	}
	urgent := s.rank.priority == p.cell.mostUrgent() || s.rank.slack < s.chain/shortSlackDivisor
	patient := !urgent && s.rank.slack >= s.chain
	switch {
	case s.def.Gang:
		return p.gangSpeedWeight(patient)
	case urgent:
		return 1
	case patient:
		return -1
	}
	return 0
}

// gangSpeedWeight is speedWeight for a gang. Its members all last as long as the slowest one, so
// that they should be of like speed. If slow members cannot be avoided, fast workers would be held
// for as long as the slow ones take, and are left to others.
func (p *placement) gangSpeedWeight(patient bool) float64 {
	tasks := len(p.step.tasks)
	if (patient && p.holdWhere(tasks, true)) || !p.holdWhere(tasks, false) {
		return -1
	}
	return 1
}

// holdWhere reports whether the candidates that are slow, or those that are not, have room for a
// number of tasks.
func (p *placement) holdWhere(tasks int, slow bool) bool {
	part := *p
	part.candidates = nil
	for _, k := range p.candidates {
		if (k.worker.speed.class == speed.Slow) == slow {
			part.candidates = append(part.candidates, k)
		}
	}
	return part.holds(tasks)
}

// expected returns how long r is expected to take on its worker.
func (r *run) expected() time.Duration {
	d := r.stage.def.Estimate()
	if r.worker.speed.class == speed.Normal {
		return d
	}
	return time.Duration(float64(d) / r.worker.speed.factor)
}
