// SPDX-License-Identifier: Apache-2.0

package cell

import "time"

// placeTasks starts as many of the waiting tasks of s as find room.
func (c *Cell) placeTasks(s *stage, q *Queue, a *Actions, now time.Time) {
	p := c.newPlacement(s, q, now)
	if len(p.candidates) == 0 {
		return
	}
	c.chooseHall(s, q, now)
	p.scoreAll()
	if s.def.LongRunning {
		// Other systems depend on a task that was already running, so it restarts first.
		c.placeWhere(&p, a, func(t *task) bool { return t.state == taskWaiting && t.lastRun > 0 })
	}
	c.placeWhere(&p, a, func(t *task) bool { return t.state == taskWaiting })
}

// placeWhere starts as many of the matching tasks of a step as find room.
func (c *Cell) placeWhere(p *placement, a *Actions, which func(*task) bool) {
	s := p.step
	for i := range s.tasks {
		t := &s.tasks[i]
		if !which(t) || !c.mayTry(s, i, p.now) {
			continue
		}
		if c.sendBudgetLeft <= 0 || s.accountAtLimit() {
			return
		}
		at := p.best(t)
		if at < 0 || !c.mayStartIn(s, p.candidates[at].worker.Hall) {
			return
		}
		t.lastRun++
		c.startRun(a, s, i, p.candidates[at].permit, t.lastRun, t.startNeedsRecord(), p.now)
		p.taken(at)
	}
}

// placeGang starts all tasks of s or none. A failed attempt leaves no trace and uses up no run
// number: a gang may wait for long, and an owner has few run numbers.
func (c *Cell) placeGang(s *stage, q *Queue, a *Actions, now time.Time) {
	if s.waiting < len(s.tasks) || !c.mayTryGang(s, now) {
		return
	}
	picks, ok := c.pickGang(s, q, now)
	if !ok {
		return
	}
	n, checkpoint := s.gangLastRun, ""
	for i := range s.tasks {
		n = max(n, s.tasks[i].lastRun)
		if s.tasks[i].checkpoint != "" {
			checkpoint = s.tasks[i].checkpoint
		}
	}
	n++
	record := s.gangStartNeedsRecord()
	for i, p := range picks {
		t := &s.tasks[i]
		t.checkpoint, t.lastRun = checkpoint, n
		c.startRun(a, s, i, p, n, record, now)
	}
	s.gangLastRun = n
}

// pickGang chooses the workers for all tasks of s. It reports whether there is one for each task on
// which it may start.
func (c *Cell) pickGang(s *stage, q *Queue, now time.Time) ([]permit, bool) {
	p := c.newPlacement(s, q, now)
	if !p.holds(len(s.tasks)) {
		return nil, false
	}
	c.chooseHall(s, q, now)
	p.scoreAll()
	picks := make([]permit, 0, len(s.tasks))
	defer func() {
		for _, k := range picks {
			k.worker.free = k.worker.free.Add(p.room)
			c.updateUnits(k.worker)
			s.countRunOn(k.worker, -1)
		}
	}()
	for i := range s.tasks {
		at := p.best(&s.tasks[i])
		if at < 0 || !c.mayStartIn(s, p.candidates[at].worker.Hall) {
			return nil, false
		}
		k := p.candidates[at].permit
		k.worker.free = k.worker.free.Sub(p.room)
		c.updateUnits(k.worker)
		s.countRunOn(k.worker, 1)
		picks = append(picks, k)
		p.taken(at)
	}
	return picks, true
}

// holds reports whether the candidates have room for a number of tasks together, so that the search
// for a gang's workers ends early where it cannot succeed.
func (p *placement) holds(tasks int) bool {
	for i := range p.candidates {
		w := p.candidates[i].worker
		most := tasks
		if limit := p.step.def.MaxPerWorker; limit > 0 {
			most = min(most, limit-p.step.runsByWorker[w])
		}
		for free := w.free.Sub(w.reserved); most > 0 && free.Covers(&p.room); most-- {
			free = free.Sub(p.room)
			tasks--
		}
		if tasks <= 0 {
			return true
		}
	}
	return tasks <= 0
}

// startRun adds a new run of a task on the chosen worker. The order to start it is sent now or, if
// record is set, once the store has it.
func (c *Cell) startRun(a *Actions, s *stage, index int, p permit, n int, record bool, now time.Time) {
	t := &s.tasks[index]
	s.setWaiting(t, false)
	t.state, t.accounted = taskActive, true
	r := &run{stage: s, index: index, number: n + c.runBaseOf(s.job), worker: p.worker, decidedAt: now, room: s.def.Reservation(), checkpoint: t.checkpoint}
	t.runs = append(t.runs, r)
	p.worker.addRun(r)
	c.updateUnits(p.worker)
	s.countRunOn(p.worker, 1)
	c.startTrialIfNeeded(r, now)
	if record {
		c.recordStart(r)
		return
	}
	a.Starts = append(a.Starts, c.order(r, p.ticket, now))
}

// order returns the order to start r.
func (c *Cell) order(r *run, ticket string, now time.Time) Start {
	s, w := r.stage, r.worker
	s.advice.started++
	c.noteCopy(r, now)
	if s.job.history.Runs == 0 {
		s.job.history.Began = now.Sub(s.job.arrived)
	}
	s.job.history.Runs++
	c.counts.Started++
	c.noteChange(r, RunOrdered)
	start := Start{
		Worker: w.ID, Addr: w.Addr, Task: r.task(), Run: r.number,
		Text: s.job.spec.Text, Checkpoint: r.checkpoint, Ticket: ticket, Recorded: r.recorded, Waited: now.Sub(r.decidedAt),
	}
	c.sendBudgetLeft -= c.sendSize(&start)
	return start
}
