// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dewpass.org/flow"
)

// crashSim is a cell whose workers are crashed by what runs on them, and by faults of their
// own. Time passes in steps.
type crashSim struct {
	*rig
	random *rand.Rand
	// crashAfter returns how long after its start a task ends its worker's process, 0 if it
	// does not.
	crashAfter func(flow.TaskID) time.Duration
	// length is how long a task works.
	length time.Duration
	// downFor is how long a worker that has crashed is away.
	downFor time.Duration

	places  []*simPlace
	starts  map[flow.TaskID]int
	crashes map[flow.TaskID]int
	// late counts the starts of a task after it had crashed three workers.
	late map[flow.TaskID]int
}

// simPlace is an address and what lives there.
type simPlace struct {
	id   string
	life int
	rack string
	runs []simRun
	ends int
	// down is until when nobody is there.
	down time.Time
}

type simRun struct {
	Start
	begun time.Time
}

const (
	simStep = 10 * time.Millisecond
	// lasts is the length of tasks that go on until they are stopped.
	lasts = time.Hour
)

func newCrashSim(seed uint64, racks, perRack int) *crashSim {
	s := &crashSim{
		rig: newRig(0), random: rand.New(rand.NewPCG(seed, 1)), length: 800 * time.Millisecond, downFor: time.Second,
		crashAfter: func(flow.TaskID) time.Duration { return 0 },
		starts:     make(map[flow.TaskID]int), crashes: make(map[flow.TaskID]int), late: make(map[flow.TaskID]int),
	}
	for r := range racks {
		for w := range perRack {
			p := &simPlace{id: fmt.Sprintf("w%d-%d", r, w), rack: fmt.Sprintf("r%d", r)}
			s.places = append(s.places, p)
			s.appear(p)
		}
	}
	return s
}

func (p *simPlace) name() string { return fmt.Sprintf("%s/%d", p.id, p.life) }

// appear lets the present life of a place be known and attached.
func (s *crashSim) appear(p *simPlace) {
	s.heard(p.name(), func(w *Worker) { w.Addr, w.Rack = p.id, p.rack })
	s.Attached(p.name(), Lists{}, s.now)
}

// crash ends the life at a place.
func (s *crashSim) crash(p *simPlace) {
	if s.now.Before(p.down) {
		return
	}
	s.Unsure(p.name(), s.now)
	s.HungUp(p.name(), true)
	p.runs, p.down = nil, s.now.Add(s.downFor)
}

// step lets a little time pass.
func (s *crashSim) step() {
	s.now = s.now.Add(simStep)
	for _, p := range s.places {
		s.pass(p)
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

func (s *crashSim) pass(p *simPlace) {
	if !p.down.IsZero() {
		if s.now.Before(p.down) {
			return
		}
		s.Forget(p.name(), LossReborn, s.now)
		p.down, p.ends = time.Time{}, 0
		p.life++
		s.appear(p)
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

// list has a place list what runs there.
func (s *crashSim) list(p *simPlace) {
	var rows []Running
	for _, r := range p.runs {
		percent := 100
		if s.length < lasts {
			percent = int(min(99, 100*s.now.Sub(r.begun)/s.length))
		}
		rows = append(rows, Running{Task: r.Task, Run: r.Run, Percent: percent})
	}
	s.Listed(p.name(), Lists{Running: rows}, s.now, s.now)
}

func (s *crashSim) ended(p *simPlace, r simRun, how flow.End) {
	p.runs = slices.DeleteFunc(p.runs, func(o simRun) bool { return o.Task == r.Task })
	p.ends++
	s.EndsListed(p.name(), Lists{Finished: []Finished{{Number: p.ends, Task: r.Task, Run: r.Run, How: how}}}, s.now)
}

func (s *crashSim) place(worker string) *simPlace {
	return s.places[slices.IndexFunc(s.places, func(p *simPlace) bool { return p.name() == worker })]
}

func (s *crashSim) started(st Start) {
	s.starts[st.Task]++
	if s.crashes[st.Task] >= 3 {
		s.late[st.Task]++
	}
	p := s.place(st.Worker)
	p.runs = append(p.runs, simRun{st, s.now})
	s.Started(st.Worker, st.Task, st.Run, Accepted, s.now)
}

func (s *crashSim) stopped(st Stop) {
	p := s.place(st.Worker)
	for _, r := range p.runs {
		if r.Task == st.Task && r.Run == st.Run {
			s.ended(p, r, flow.EndStopped)
			return
		}
	}
}

// run lets time pass until all jobs are over, for at most so long, and reports whether they are.
// Without jobs it lets all that time pass.
func (s *crashSim) run(most time.Duration, jobs ...string) bool {
	for end := s.now.Add(most); s.now.Before(end); {
		s.step()
		if len(jobs) > 0 && !slices.ContainsFunc(jobs, func(id string) bool { st, _ := s.State(id); return !st.Final() }) {
			return true
		}
	}
	return false
}

// all returns how many workers all tasks have crashed, and the most of any one.
func (s *crashSim) all() (sum, most int) {
	for _, n := range s.crashes {
		sum += n
		most = max(most, n)
	}
	return sum, most
}

// latest returns the most starts of any task after it had crashed three workers.
func (s *crashSim) latest() int {
	most := 0
	for _, n := range s.late {
		most = max(most, n)
	}
	return most
}
