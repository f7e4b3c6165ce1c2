// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"slices"
	"time"

	"dewpass.org/flow"
)

// Save is a record that the store has to keep.
type Save struct {
	ID     string
	Record *flow.Record
	Story  Story
	// Foreign says that another cell has the job.
	Foreign bool
}

// Story is what this owner has seen of a job, for those who ask why it was late.
type Story struct {
	// Began is how long after its acceptance the first task was started here.
	Began time.Duration
	// Took is how long after its acceptance the job ended.
	Took time.Duration
	// Runs counts the starts, Failed the failed ones, and Lost those that ended
	// with a lease or a worker.
	Runs, Failed, Lost int
	// Yields counts how often its tasks were stopped for more urgent ones.
	Yields int
}

// Saves returns what has changed since the last call, at most limit records.
// The caller says what became of it with Saved; there is one save at a time.
func (c *Cell) Saves(limit int) []Save {
	n := min(limit, len(c.dirty))
	saves := make([]Save, 0, n)
	for _, j := range c.dirty[:n] {
		j.marked = false
		saves = append(saves, Save{ID: j.spec.ID, Record: j.record(), Story: j.story, Foreign: j.share.Foreign()})
	}
	c.dirty = append(c.dirty[:0], c.dirty[n:]...)
	if len(c.dirty) == 0 {
		c.mayForget()
	}
	return saves
}

// Dirty reports whether there is something to save.
func (c *Cell) Dirty() bool { return len(c.dirty) > 0 }

// Saved says that the store keeps the records, or that it does not and they
// have to be saved again.
func (c *Cell) Saved(saves []Save, ok bool) {
	for _, s := range saves {
		j := c.jobs[s.ID]
		if j == nil {
			continue
		}
		if !ok {
			c.mark(j)
			continue
		}
		if !j.shown.Final() {
			j.shown = s.Record.State
		}
		j.openedBy(s.Record)
	}
	for _, w := range c.order {
		if ok {
			w.observed = max(w.observed, w.saving)
		}
		w.saving = w.observed
	}
}

// openedBy takes in which halls the store knows to be open to each stage.
func (j *job) openedBy(rec *flow.Record) {
	for at, s := range j.stages {
		if at < len(rec.Stages) {
			s.crashesKept(rec.Stages[at].Crashes)
			s.halls = rec.Stages[at].Halls
			s.opening = slices.DeleteFunc(s.opening, func(h string) bool { return slices.Contains(s.halls, h) })
		}
	}
}

// crashesKept takes in what the store has of the losses held against tasks.
func (s *stage) crashesKept(kept map[int][]flow.Crash) {
	for i := range s.tasks {
		t := &s.tasks[i]
		t.crashesKept = 0
		for _, c := range t.crashes {
			if slices.ContainsFunc(kept[i], func(o flow.Crash) bool { return o.Run == c.Run }) {
				t.crashesKept++
			}
		}
	}
}

func (j *job) record() *flow.Record {
	r := &flow.Record{State: j.state, Cancelled: j.cancelled}
	if !j.state.Final() && j.began {
		r.State = flow.Running
	}
	if j.state.Final() {
		return r
	}
	r.Stages = make([]flow.StageRecord, len(j.stages))
	for at, s := range j.stages {
		out := &r.Stages[at]
		out.Halls = slices.Concat(s.halls, s.opening)
		for i := range s.tasks {
			t := &s.tasks[i]
			if t.state == taskDone {
				out.Done.Set(i)
				continue
			}
			if len(t.fails) > 0 && !s.def.Lasting {
				if out.Fails == nil {
					out.Fails = make(map[int][]int)
				}
				out.Fails[i] = t.fails
			}
			if t.toKeep() {
				if out.Crashes == nil {
					out.Crashes = make(map[int][]flow.Crash)
				}
				out.Crashes[i] = slices.Clone(t.crashes)
			}
			if t.state == taskWaiting && t.saved != "" {
				if out.Saved == nil {
					out.Saved = make(map[int]string)
				}
				out.Saved[i] = t.saved
			}
		}
	}
	return r
}
