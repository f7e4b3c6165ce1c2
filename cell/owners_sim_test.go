// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dewpass.org/flow"
)

// ownersSim simulates owners of a cell that replace each other, a store that takes time for each
// write, and workers that are crashed by their tasks and by faults of their own. What an owner has
// not written is lost with it. Time advances in steps of simStep.
type ownersSim struct {
	now    time.Time
	random *rand.Rand
	// crashAfter returns how long after its start a task crashes its worker, 0 if it does not.
	crashAfter func(flow.TaskID) time.Duration
	// length is how long a task runs, and downFor how long a crashed worker is away.
	length, downFor time.Duration
	// seesCrashes means that owners see the moment at which a worker's process ends. Otherwise the
	// first that they see of it is a refused connection.
	seesCrashes bool

	// cell is that of the present owner, nil while there is none. nextOwner is when the next one
	// takes over.
	cell      *Cell
	epoch     int
	nextOwner time.Time
	hosts     []*ownedHost

	specs   []*flow.Spec
	records map[string][]byte
	// listed are the workers in the stored worker list.
	listed []string
	// lost are the workers, by hall, that the store has as lost while the owner changed.
	lost   map[string][]string
	commit *simCommit
	// storeDownUntil is until when no write is taken.
	storeDownUntil time.Time

	starts, crashes, lateStarts map[flow.TaskID]int
	// crashedRuns are the runs of each task that crashed their workers. maxUnknown is the largest
	// number of them, of one task, that a next owner did not find in the store.
	crashedRuns map[flow.TaskID][]int
	maxUnknown  int
	// lastCrashed is the worker that a task crashed last.
	lastCrashed string
}

// ownedHost is an address and the incarnations of the worker there.
type ownedHost struct {
	id, rack    string
	incarnation int
	runs        []simRun
	ends        []Finished
	endCount    int
	downUntil   time.Time
}

// simCommit is a write in progress.
type simCommit struct {
	saves []Save
	// workers is the worker list, nil if it is not written.
	workers []string
	lost    map[string][]string
	done    time.Time
}

const (
	simWriteTime = 20 * time.Millisecond
	// simTakeover is how long a cell is without an owner after one was killed.
	simTakeover = time.Second
)

func newOwnersSim(seed uint64, racks, perRack int) *ownersSim {
	s := &ownersSim{
		now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(seed, 2)), length: 800 * time.Millisecond, downFor: 3 * time.Second,
		crashAfter: func(flow.TaskID) time.Duration { return 0 },
		records:    make(map[string][]byte),
		starts:     make(map[flow.TaskID]int), crashes: make(map[flow.TaskID]int), lateStarts: make(map[flow.TaskID]int),
		crashedRuns: make(map[flow.TaskID][]int),
	}
	for r := range racks {
		for w := range perRack {
			s.hosts = append(s.hosts, &ownedHost{id: fmt.Sprintf("w%d-%d", r, w), rack: fmt.Sprintf("r%d", r)})
		}
	}
	s.takeOver()
	return s
}

func (h *ownedHost) name() string { return fmt.Sprintf("%s/%d", h.id, h.incarnation) }

func (h *ownedHost) up() bool { return h.downUntil.IsZero() }

// lists returns what the worker lists.
func (h *ownedHost) lists(now time.Time, length time.Duration) Lists {
	l := Lists{Finished: slices.Clone(h.ends)}
	for _, r := range h.runs {
		l.Running = append(l.Running, Running{Task: r.Task, Run: r.Run, Percent: int(min(99, 100*now.Sub(r.begun)/length))})
	}
	return l
}

// submit hands in a job, which is stored at once.
func (s *ownersSim) submit(id string, steps ...flow.Step) {
	spec := &flow.Spec{ID: id, Queue: "q", Hall: "h", Steps: steps}
	s.specs = append(s.specs, spec)
	if s.cell != nil {
		s.cell.Submit(spec, s.now, s.now)
		s.cell.JobStored(id)
	}
}

// stored returns the record that the store has of a job, nil if it has none.
func (s *ownersSim) stored(id string) *flow.Record {
	raw, ok := s.records[id]
	if !ok {
		return nil
	}
	rec, err := flow.DecodeRecord(raw)
	if err != nil {
		panic(err)
	}
	return rec
}

// final returns the state in which the store has a job's end, "" if the job has not ended.
func (s *ownersSim) final(id string) flow.State {
	if rec := s.stored(id); rec != nil && rec.State.Final() {
		return rec.State
	}
	return ""
}

// takeOver makes a new owner that knows only what the store has.
func (s *ownersSim) takeOver() {
	s.epoch++
	for task, runs := range s.crashedRuns {
		s.maxUnknown = max(s.maxUnknown, s.unknownRuns(task, runs))
	}
	s.cell = New(s.epoch << 12)
	s.cell.Configure([]Queue{{Name: "q", Pool: "p", MaxAttempts: 3, Stretch: 1.5, Target: time.Second}})
	for _, name := range s.listed {
		s.cell.Heard(Worker{ID: name, Hall: "h", Gone: true}, s.now)
	}
	for hall, ids := range s.lost {
		s.cell.InheritLost(hall, ids)
	}
	for _, spec := range s.specs {
		if s.final(spec.ID) == "" {
			s.cell.Restore(spec, s.stored(spec.ID), s.now, s.now)
		}
	}
	for _, h := range s.hosts {
		if h.up() {
			s.attach(h)
		}
	}
}

// unknownRuns counts the runs of a task that the job's stored record does not name.
func (s *ownersSim) unknownRuns(task flow.TaskID, runs []int) int {
	rec := s.stored(task.Job)
	if rec != nil && rec.State.Final() {
		return 0
	}
	n := 0
	for _, run := range runs {
		named := false
		if rec != nil {
			st := &rec.Stages[task.Step]
			named = slices.ContainsFunc(st.Crashes[task.Index], func(c flow.Crash) bool { return c.Run == run }) ||
				slices.ContainsFunc(st.Starts[task.Index], func(o flow.RunStart) bool { return o.Run == run })
		}
		if !named {
			n++
		}
	}
	return n
}

// kill ends the owner. A write in progress takes effect or not.
func (s *ownersSim) kill() {
	if s.cell == nil {
		return
	}
	if s.commit != nil && s.now.After(s.storeDownUntil) && s.random.IntN(2) == 0 {
		s.apply(s.commit)
	}
	s.cell, s.commit = nil, nil
	s.nextOwner = s.now.Add(simTakeover)
}

// attach attaches the worker on a host, which shows that earlier ones there have ended.
func (s *ownersSim) attach(h *ownedHost) {
	for i := range h.incarnation {
		s.cell.Forget(fmt.Sprintf("%s/%d", h.id, i), LossReborn, s.now)
	}
	s.cell.Heard(Worker{ID: h.name(), Addr: h.id, Pool: "p", Hall: "h", Rack: h.rack, Room: vec(4000, 8000)}, s.now)
	s.cell.SetListed(h.name(), slices.Contains(s.listed, h.name()))
	s.cell.Attached(h.name(), h.lists(s.now, s.length), s.now)
}

func (s *ownersSim) hostOf(worker string) *ownedHost {
	for _, h := range s.hosts {
		for i := range h.incarnation + 1 {
			if worker == fmt.Sprintf("%s/%d", h.id, i) {
				return h
			}
		}
	}
	panic("no host of " + worker)
}

// crash ends the worker's process on a host.
func (s *ownersSim) crash(h *ownedHost) {
	if !h.up() {
		return
	}
	lost := h.runs
	h.runs, h.ends, h.endCount = nil, nil, 0
	for _, r := range lost {
		s.breakGang(r)
	}
	h.downUntil = s.now.Add(s.downFor)
	if s.cell != nil {
		s.cell.Detached(h.name(), s.now)
		s.cell.HungUp(h.name(), s.seesCrashes)
	}
}

// breakGang ends the other members of the gang of a run that was lost.
func (s *ownersSim) breakGang(lost simRun) {
	at := slices.IndexFunc(s.specs, func(j *flow.Spec) bool { return j.ID == lost.Task.Job })
	if !s.specs[at].Steps[lost.Task.Step].Gang {
		return
	}
	for _, h := range s.hosts {
		for _, r := range slices.Clone(h.runs) {
			if r.Task.Job == lost.Task.Job && r.Task.Step == lost.Task.Step && r.Run == lost.Run {
				h.end(r.Start, flow.EndGangBroken)
			}
		}
	}
}

// crashRack ends all workers of a rack.
func (s *ownersSim) crashRack(rack string) {
	for _, h := range s.hosts {
		if h.rack == rack {
			s.crash(h)
		}
	}
}

// step advances the simulation by simStep.
func (s *ownersSim) step() {
	s.now = s.now.Add(simStep)
	if s.cell == nil && !s.now.Before(s.nextOwner) {
		s.takeOver()
	}
	for _, h := range s.hosts {
		s.advance(h)
	}
	if s.cell == nil {
		return
	}
	s.write()
	a := s.cell.Place(s.now, s.now, 0)
	for _, st := range a.Starts {
		s.start(st)
	}
	for _, st := range a.Stops {
		s.stop(st)
	}
}

// advance advances the worker on a host.
func (s *ownersSim) advance(h *ownedHost) {
	if !h.up() {
		if s.now.Before(h.downUntil) {
			return
		}
		h.downUntil = time.Time{}
		h.incarnation++
		if s.cell != nil {
			s.attach(h)
		}
		return
	}
	for _, r := range slices.Clone(h.runs) {
		if after := s.crashAfter(r.Task); after > 0 && s.now.Sub(r.begun) >= after {
			s.crashes[r.Task]++
			s.crashedRuns[r.Task] = append(s.crashedRuns[r.Task], r.Run)
			s.lastCrashed = h.name()
			s.crash(h)
			return
		}
		if s.now.Sub(r.begun) >= s.length {
			h.end(r.Start, flow.EndDone)
		}
	}
	if s.cell != nil {
		s.cell.Listed(h.name(), h.lists(s.now, s.length), s.now, s.now)
		observed := s.cell.Observed(h.name())
		h.ends = slices.DeleteFunc(h.ends, func(f Finished) bool { return f.Number <= observed })
	}
}

func (h *ownedHost) end(st Start, how flow.End) {
	h.runs = slices.DeleteFunc(h.runs, func(o simRun) bool { return o.Task == st.Task && o.Run == st.Run })
	h.endCount++
	h.ends = append(h.ends, Finished{Number: h.endCount, Task: st.Task, Run: st.Run, How: how})
}

// write completes the write in progress, or begins one.
func (s *ownersSim) write() {
	if s.commit == nil {
		c := &simCommit{saves: s.cell.Saves(64), done: s.now.Add(simWriteTime)}
		if !s.cell.Dirty() {
			c.workers, c.lost = s.workers(), s.cell.InheritedLost()
		}
		s.commit = c
	}
	if !s.now.Before(s.commit.done) && !s.now.Before(s.storeDownUntil) {
		s.finishWrite()
	}
}

// finishWrite has the write in progress, if any, take effect now.
func (s *ownersSim) finishWrite() {
	if s.commit == nil {
		return
	}
	s.apply(s.commit)
	s.cell.Saved(s.commit.saves, true)
	for _, name := range s.commit.workers {
		s.cell.SetListed(name, true)
	}
	s.commit = nil
}

// workers returns the workers that may have runs.
func (s *ownersSim) workers() []string {
	names := []string{}
	for _, w := range s.cell.sortedWorkers {
		names = append(names, w.ID)
	}
	return names
}

func (s *ownersSim) apply(c *simCommit) {
	for _, save := range c.saves {
		s.records[save.ID] = flow.Encode(save.Record)
	}
	if c.workers != nil {
		s.listed, s.lost = c.workers, c.lost
	}
}

// start carries out an order to start a run. An order to a worker that has just ended is lost, as
// is the answer of one in three.
func (s *ownersSim) start(st Start) {
	h := s.hostOf(st.Worker)
	if !h.up() || h.name() != st.Worker {
		s.cell.Detached(st.Worker, s.now)
		s.cell.HungUp(st.Worker, false)
		return
	}
	s.starts[st.Task]++
	if s.crashes[st.Task] >= 3 {
		s.lateStarts[st.Task]++
	}
	h.runs = append(h.runs, simRun{st, s.now})
	if s.random.IntN(3) > 0 {
		s.cell.Started(st.Worker, st.Task, st.Run, Accepted, s.now)
	}
}

func (s *ownersSim) stop(st Stop) {
	h := s.hostOf(st.Worker)
	for _, r := range h.runs {
		if r.Task == st.Task && r.Run == st.Run {
			h.end(r.Start, flow.EndStopped)
			return
		}
	}
}

// run advances the simulation until all jobs have ended in the store, for at most so long, and
// reports whether they have.
func (s *ownersSim) run(most time.Duration) bool {
	for end := s.now.Add(most); s.now.Before(end); {
		s.step()
		if !slices.ContainsFunc(s.specs, func(j *flow.Spec) bool { return s.final(j.ID) == "" }) {
			return true
		}
	}
	return false
}

// runFor advances the simulation.
func (s *ownersSim) runFor(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.step()
	}
}

// runUntil advances the simulation until a condition holds, for 20 s at the most.
func (s *ownersSim) runUntil(holds func() bool) {
	for end := s.now.Add(20 * time.Second); s.now.Before(end) && !holds(); {
		s.step()
	}
}

func (s *ownersSim) maxLateStarts() int {
	most := 0
	for _, n := range s.lateStarts {
		most = max(most, n)
	}
	return most
}
