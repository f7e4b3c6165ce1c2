// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dewpass.org/flow"
)

// crashSim simulates a cell whose workers are crashed by their tasks and by faults of their own.
// Time advances in steps.
type crashSim struct {
	*rig
	random *rand.Rand
	// crashAfter returns how long after its start a task crashes its worker, 0 if it does not.
	crashAfter func(flow.TaskID) time.Duration
	// length is how long a task runs.
	length time.Duration
	// downFor is how long a crashed worker is away.
	downFor time.Duration

	hosts   []*simHost
	starts  map[flow.TaskID]int
	crashes map[flow.TaskID]int
	// lateStarts counts the starts of each task after it had crashed three workers.
	lateStarts map[flow.TaskID]int
}

// simHost is an address and the incarnations of the worker there.
type simHost struct {
	id          string
	incarnation int
	rack        string
	runs        []simRun
	ends        int
	// downUntil is when the next incarnation begins, zero while a worker is there.
	downUntil time.Time
}

type simRun struct {
	Start
	begun time.Time
}

const (
	simStep = 10 * time.Millisecond
	// endless is the length of tasks that run until they are stopped.
	endless = time.Hour
)

func newCrashSim(seed uint64, racks, perRack int) *crashSim {
	s := &crashSim{
		rig: newRig(0), random: rand.New(rand.NewPCG(seed, 1)), length: 800 * time.Millisecond, downFor: time.Second,
		crashAfter: func(flow.TaskID) time.Duration { return 0 },
		starts:     make(map[flow.TaskID]int), crashes: make(map[flow.TaskID]int), lateStarts: make(map[flow.TaskID]int),
	}
	for r := range racks {
		for w := range perRack {
			p := &simHost{id: fmt.Sprintf("w%d-%d", r, w), rack: fmt.Sprintf("r%d", r)}
			s.hosts = append(s.hosts, p)
			s.attachHost(p)
		}
	}
	return s
}

func (p *simHost) name() string { return fmt.Sprintf("%s/%d", p.id, p.incarnation) }

// attachHost makes the present incarnation on a host known and attaches it.
func (s *crashSim) attachHost(p *simHost) {
	s.heard(p.name(), func(w *Worker) { w.Addr, w.Rack = p.id, p.rack })
	s.Attached(p.name(), Lists{}, s.now)
}

// crash ends the incarnation on a host.
func (s *crashSim) crash(p *simHost) {
	if s.now.Before(p.downUntil) {
		return
	}
	s.Detached(p.name(), s.now)
	s.HungUp(p.name(), true)
	p.runs, p.downUntil = nil, s.now.Add(s.downFor)
}

// step advances the simulation by simStep.
func (s *crashSim) step() {
	s.now = s.now.Add(simStep)
	for _, p := range s.hosts {
		s.advance(p)
	}
	s.save()
	a := s.Place(s.now, s.now, 0)
	s.save()
	for _, st := range a.Starts {
		s.started(st)
	}
	for _, st := range a.Stops {
		s.stopped(st)
	}
}

func (s *crashSim) advance(p *simHost) {
	if !p.downUntil.IsZero() {
		if s.now.Before(p.downUntil) {
			return
		}
		s.Forget(p.name(), LossReborn, s.now)
		p.downUntil, p.ends = time.Time{}, 0
		p.incarnation++
		s.attachHost(p)
	}
	for _, r := range slices.Clone(p.runs) {
		if after := s.crashAfter(r.Task); after > 0 && s.now.Sub(r.begun) >= after {
			s.crashes[r.Task]++
			s.crash(p)
			return
		}
		if s.now.Sub(r.begun) >= s.length {
			s.ended(p, r, flow.EndDone)
		}
	}
	s.list(p)
}

// list lists the runs on a host.
func (s *crashSim) list(p *simHost) {
	var rows []Running
	for _, r := range p.runs {
		percent := 100
		if s.length < endless {
			percent = int(min(99, 100*s.now.Sub(r.begun)/s.length))
		}
		rows = append(rows, Running{Task: r.Task, Run: r.Run, Percent: percent})
	}
	s.Listed(p.name(), Lists{Running: rows}, s.now, s.now)
}

func (s *crashSim) ended(p *simHost, r simRun, how flow.End) {
	p.runs = slices.DeleteFunc(p.runs, func(o simRun) bool { return o.Task == r.Task })
	p.ends++
	s.EndsListed(p.name(), Lists{Finished: []Finished{{Number: p.ends, Task: r.Task, Run: r.Run, How: how}}}, s.now)
}

func (s *crashSim) hostOf(worker string) *simHost {
	return s.hosts[slices.IndexFunc(s.hosts, func(p *simHost) bool { return p.name() == worker })]
}

func (s *crashSim) started(st Start) {
	s.starts[st.Task]++
	if s.crashes[st.Task] >= 3 {
		s.lateStarts[st.Task]++
	}
	p := s.hostOf(st.Worker)
	p.runs = append(p.runs, simRun{st, s.now})
	s.Started(st.Worker, st.Task, st.Run, Accepted, s.now)
}

func (s *crashSim) stopped(st Stop) {
	p := s.hostOf(st.Worker)
	for _, r := range p.runs {
		if r.Task == st.Task && r.Run == st.Run {
			s.ended(p, r, flow.EndStopped)
			return
		}
	}
}

// run advances the simulation until all jobs have ended, for at most so long, and reports whether
// they have. Without jobs it runs for the whole time.
func (s *crashSim) run(most time.Duration, jobs ...string) bool {
	for end := s.now.Add(most); s.now.Before(end); {
		s.step()
		if len(jobs) > 0 && !slices.ContainsFunc(jobs, func(id string) bool { st, _ := s.State(id); return !st.Final() }) {
			return true
		}
	}
	return false
}

// crashTotals returns how many workers all tasks have crashed, and the most that one task has.
func (s *crashSim) crashTotals() (sum, most int) {
	for _, n := range s.crashes {
		sum += n
		most = max(most, n)
	}
	return sum, most
}

// maxLateStarts returns the most starts of any task after it had crashed three workers.
func (s *crashSim) maxLateStarts() int {
	most := 0
	for _, n := range s.lateStarts {
		most = max(most, n)
	}
	return most
}
