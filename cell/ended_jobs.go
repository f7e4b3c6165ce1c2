// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"slices"
	"strings"
	"time"

	"dewpass.org/flow"
)

// EndedJob is a job that has ended, without its tasks.
type EndedJob struct {
	ID    string
	State flow.State
	// Foreign means that the job belongs to another cell, which writes its end.
	Foreign bool
}

// retiredJob is what is kept of a job after its tasks have been forgotten.
type retiredJob struct {
	state flow.State
	// since is when the job was retired, after its end was visible to clients.
	since   time.Time
	foreign bool
	// account is the only account that may use the job, "" if all may.
	account string
}

// Ended returns the jobs that have ended since the last call. The caller archives their ends once State
// shows them.
func (c *Cell) Ended() []EndedJob {
	var out []EndedJob
	for _, j := range c.finished {
		out = append(out, EndedJob{ID: j.spec.ID, State: j.state, Foreign: j.share.OwnedElsewhere()})
	}
	c.finished = c.finished[:0]
	return out
}

// Archived reports to the cell that the store has the end of a job apart from its record, which says
// the same.
func (c *Cell) Archived(id string) {
	if j := c.jobs[id]; j != nil {
		j.archived = true
	}
}

// Retire forgets the tasks of jobs that are archived and ended longer than after ago. It returns
// these jobs; their state is kept until Expire.
func (c *Cell) Retire(after time.Duration, now time.Time) []EndedJob {
	var out []EndedJob
	for id, j := range c.jobs {
		if j.archived && j.storedState == j.state && !j.dirty && now.Sub(j.ended) > after {
			out = append(out, EndedJob{ID: id, State: j.state, Foreign: j.share.OwnedElsewhere()})
			// Clients can see the end only once it is archived, so the time for which an operator
			// lets them query it counts from now, whenever the job ended.
			c.retired[id] = retiredJob{state: j.state, since: now, foreign: j.share.OwnedElsewhere(), account: c.exclusiveAccount(j)}
			delete(c.jobs, id)
		}
	}
	slices.SortFunc(out, func(a, b EndedJob) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Expired is a job that Expire forgot, with the time since it was retired.
type Expired struct {
	ID      string
	Age     time.Duration
	Foreign bool
}

// Cells returns the cells that run tasks of a job, its own first; nil if the job is not known or
// retired.
func (c *Cell) Cells(id string) []string {
	if j := c.jobs[id]; j != nil {
		return j.spec.Cells()
	}
	return nil
}

// EndsElsewhere reports whether another cell decides how a job ends: this one only ends its part of it.
func (c *Cell) EndsElsewhere(id string) bool {
	if j := c.jobs[id]; j != nil {
		return j.share.OwnedElsewhere()
	}
	return c.retired[id].foreign
}

// Foreign returns the jobs of other cells of which this cell runs a part, and whose end is not
// archived yet.
func (c *Cell) Foreign() []string {
	var out []string
	for id, j := range c.jobs {
		if j.share.OwnedElsewhere() && j.stored && !j.archived {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Expire forgets the jobs that were retired longer than keep ago and returns them.
func (c *Cell) Expire(retention time.Duration, now time.Time) []Expired {
	var out []Expired
	for id, o := range c.retired {
		if age := now.Sub(o.since); age > retention {
			out = append(out, Expired{ID: id, Age: age, Foreign: o.foreign})
			delete(c.retired, id)
		}
	}
	slices.SortFunc(out, func(a, b Expired) int { return strings.Compare(a.ID, b.ID) })
	return out
}
