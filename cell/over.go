// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"slices"
	"strings"
	"time"

	"dewpass.org/flow"
)

// Over is a job that is over, without its tasks.
type Over struct {
	ID    string
	State flow.State
	// Foreign says that another cell has the job, and writes its end.
	Foreign bool
}

// retiredJob is what is remembered of a job that is retiredJob.
type retiredJob struct {
	state flow.State
	// since is when the job was retired, after its end could be shown.
	since   time.Time
	foreign bool
	// account alone may use the job, "" if all may.
	account string
}

// Ended returns the jobs that have ended since the last call. The caller archives
// their ends, those that did not succeed once State shows them.
func (c *Cell) Ended() []Over {
	var out []Over
	for _, j := range c.finished {
		out = append(out, Over{ID: j.spec.ID, State: j.state, Foreign: j.share.Foreign()})
	}
	c.finished = c.finished[:0]
	return out
}

// Archived says that the store has the end of a job apart from its record. That a
// job has succeeded is a fact whoever wrote it, and is shown from then on.
func (c *Cell) Archived(id string) {
	if j := c.jobs[id]; j != nil {
		j.archived = true
		if j.state == flow.Succeeded {
			j.storedState = flow.Succeeded
		}
	}
}

// Retire forgets the tasks of jobs that are over, and archived, for longer than
// after. It returns these jobs; their state is remembered until Expire.
func (c *Cell) Retire(after time.Duration, now time.Time) []Over {
	var out []Over
	for id, j := range c.jobs {
		if j.archived && j.storedState == j.state && !j.dirty && now.Sub(j.ended) > after {
			out = append(out, Over{ID: id, State: j.state, Foreign: j.share.Foreign()})
			// Clients can learn of the end only once it is archived: what an
			// operator lets them ask for counts from then, whenever it ended.
			c.retired[id] = retiredJob{state: j.state, since: now, foreign: j.share.Foreign(), account: c.exclusiveAccount(j)}
			delete(c.jobs, id)
		}
	}
	slices.SortFunc(out, func(a, b Over) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Expired is a job that Expire forgot, and for how long it was remembered.
type Expired struct {
	ID      string
	Age     time.Duration
	Foreign bool
}

// Cells returns the cells that run tasks of a job, its own first, nil if it is not known or over.
func (c *Cell) Cells(id string) []string {
	if j := c.jobs[id]; j != nil {
		return j.spec.Cells()
	}
	return nil
}

// Foreign returns the jobs that another cell has and of which this one runs a part, or did so
// until it heard of their end.
func (c *Cell) Foreign() []string {
	var out []string
	for id, j := range c.jobs {
		if j.share.Foreign() && j.stored && !j.archived {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Expire forgets the jobs that are over for longer than keep and returns them.
func (c *Cell) Expire(keep time.Duration, now time.Time) []Expired {
	var out []Expired
	for id, o := range c.retired {
		if age := now.Sub(o.since); age > keep {
			out = append(out, Expired{ID: id, Age: age, Foreign: o.foreign})
			delete(c.retired, id)
		}
	}
	slices.SortFunc(out, func(a, b Expired) int { return strings.Compare(a.ID, b.ID) })
	return out
}
