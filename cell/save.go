// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"slices"
	"time"

	"dewpass.org/flow"
)

// Save is a job record for the store to write.
type Save struct {
	ID     string
	Record *flow.Record
	// Row is the encoded record.
	Row     []byte
	History JobHistory
	// Foreign means that the job belongs to another cell.
	Foreign bool
	// named is the number of tasks of which the record names starts or losses.
	named int
}

const (
	// maxNamedTasks limits the tasks of which a record names starts or losses, apart from those that
	// were blamed: each takes about 130 bytes.
	maxNamedTasks = 300
	// maxNamedPerSave limits them over all records that are saved together.
	maxNamedPerSave = 3000
	// maxSaveBytes is the size from which no further record is saved together with others. A
	// transaction takes 1 MB as base64 text, and has to hold the worker list as well.
	maxSaveBytes = 256 << 10
)

// detail is how much of a job its record says. A record that is longer than the store takes is
// written with less detail.
type detail uint8

const (
	// allDetails is what every record says that is short enough.
	allDetails detail = iota
	// commonHalls names the halls of all steps together: the next owner waits for the workers of more
	// halls than it has to.
	commonHalls
	// noCheckpoints leaves out the checkpoints: tasks that are lost start from the beginning.
	noCheckpoints
	// fewNames also limits the blamed tasks that are named: the next owner counts the losses of the
	// others anew.
	fewNames
)

// JobHistory is what this owner has seen of a job, for finding out why it was late.
type JobHistory struct {
	// Began is the time from the job's acceptance until its first task was started here.
	Began time.Duration
	// Took is the time from the job's acceptance until its end.
	Took time.Duration
	// Runs counts the starts, Failed the failed runs, and Lost those that ended with a lease or a
	// worker.
	Runs, Failed, Lost int
	// Yields counts how often tasks of the job were stopped for more urgent ones.
	Yields int
}

// Saves returns the records that have changed since the last call, at most limit. The caller
// reports the result with Saved; only one save may be in progress.
func (c *Cell) Saves(limit int) []Save {
	var saves []Save
	named, size := 0, 0
	for _, j := range c.dirty[:min(limit, len(c.dirty))] {
		if named >= maxNamedPerSave || size >= maxSaveBytes {
			break
		}
		j.dirty = false
		s := j.save()
		named += s.named
		size += len(s.Row)
		saves = append(saves, s)
	}
	c.dirty = append(c.dirty[:0], c.dirty[len(saves):]...)
	if len(c.dirty) == 0 {
		c.setSavingEnds()
	}
	return saves
}

// save returns the record of j for the store, with as much detail as the store takes.
func (j *job) save() Save {
	s := Save{ID: j.spec.ID, History: j.history, Foreign: j.share.OwnedElsewhere()}
	for d := allDetails; d <= fewNames; d++ {
		s.Record, s.named = j.record(d)
		s.Row = flow.EncodeRecord(s.Record)
		if len(s.Row) <= flow.MaxRecordBytes {
			break
		}
	}
	return s
}

// Dirty reports whether there is something to save.
func (c *Cell) Dirty() bool { return len(c.dirty) > 0 }

// Saved reports to the cell whether the store has written the records. If it has not they are saved
// again.
func (c *Cell) Saved(saves []Save, ok bool) {
	for _, s := range saves {
		j := c.jobs[s.ID]
		if j == nil {
			continue
		}
		if !ok {
			c.markDirty(j)
			continue
		}
		if !j.storedState.Final() {
			j.storedState = s.Record.State
		}
		j.applyStored(s.Record)
	}
	for _, w := range c.sortedWorkers {
		if ok {
			w.observedEnd = max(w.observedEnd, w.savingEnd)
		}
		w.savingEnd = w.observedEnd
	}
}

// applyStored updates what the store is known to have: the halls of each stage, the starts of its
// tasks and the losses counted against them.
func (j *job) applyStored(rec *flow.Record) {
	for at, s := range j.stages {
		if at < len(rec.Stages) {
			s.setStored(&rec.Stages[at])
			s.storedHalls = rec.HallsOf(at)
			s.backoff = backoff{}
			s.hallsToStore = slices.DeleteFunc(s.hallsToStore, func(h string) bool { return slices.Contains(s.storedHalls, h) })
		}
	}
}

// setStored notes which tasks and runs of s the stored record names.
func (s *stage) setStored(rec *flow.StageRecord) {
	for i := range s.tasks {
		t := &s.tasks[i]
		t.inStore = rec.Names(i)
		for _, r := range t.runs {
			r.stored = slices.ContainsFunc(rec.Starts[i], func(o flow.RunStart) bool { return o.Run == r.number })
		}
	}
}

// record returns the record of j and the number of tasks of which it names starts or losses.
func (j *job) record(d detail) (*flow.Record, int) {
	r := &flow.Record{State: j.stateNow(), Canceled: j.cancelled, Moves: j.spec.Moves}
	if j.movingTo != "" {
		r.State, r.Was, r.To = flow.Moving, r.State, j.movingTo
	}
	if j.state.Final() {
		return r, 0
	}
	if d >= commonHalls {
		r.Halls = j.commonHalls()
	}
	named := 0
	r.Stages = make([]flow.StageRecord, len(j.stages))
	for at, s := range j.stages {
		out := &r.Stages[at]
		if d < commonHalls {
			out.Halls = slices.Concat(s.storedHalls, s.hallsToStore)
		}
		for i := range s.tasks {
			t := &s.tasks[i]
			if t.state == taskDone {
				out.Done.Set(i)
				continue
			}
			if len(t.failedRuns) > 0 && !s.def.LongRunning {
				if out.FailedRuns == nil {
					out.FailedRuns = make(map[int][]int)
				}
				out.FailedRuns[i] = t.failedRuns
			}
			if named < maxNamedTasks || (t.suspect() && d < fewNames) {
				named += t.nameIn(out, i)
			} else {
				t.leaveOut()
			}
			if (t.state == taskWaiting || len(out.Starts[i]) > 0) && t.checkpoint != "" && d < noCheckpoints {
				if out.Checkpoints == nil {
					out.Checkpoints = make(map[int]string)
				}
				out.Checkpoints[i] = t.checkpoint
			}
		}
	}
	return r, named
}

// commonHalls returns the halls of all steps that are not done.
func (j *job) commonHalls() []string {
	var halls []string
	for _, s := range j.stages {
		if s.tasksLeft == 0 {
			continue
		}
		for _, h := range slices.Concat(s.storedHalls, s.hallsToStore) {
			if !slices.Contains(halls, h) {
				halls = append(halls, h)
			}
		}
	}
	return halls
}
