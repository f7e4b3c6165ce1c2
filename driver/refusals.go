// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"github.com/go-kit/log/level"

	"dewpass.org/internal/clock"
	"dewpass.org/kind"
)

// The store refuses a transaction as a whole, and does not say because of which row. A group commit
// that is refused as invalid would be refused again, with the changes of all jobs in it, and the cell
// lease, which the same transactions renew, would expire. So the next groups are smaller, until the
// record that is the cause is alone.

// refusals finds out which record the store refuses. The zero value is ready to use.
type refusals struct {
	// suspects holds the jobs of the last group that was refused, without those of which the store has
	// accepted a record since.
	suspects map[string]bool
	// most limits the records of a group, and groupsLeft the groups, while there are suspects. A
	// suspect may be forgotten without another record.
	most, groupsLeft int
}

// maxSearchGroups is how many groups are limited for one refused record: each record of a full group
// alone, beside as many others.
const maxSearchGroups = 2 * maxSavesPerCommit

// searching reports whether groups are limited. They have records only then.
func (r *refusals) searching() bool { return len(r.suspects) > 0 && r.groupsLeft > 0 }

// limit returns how many records the next group may have.
func (r *refusals) limit() int {
	if r.searching() {
		return r.most
	}
	return maxSavesPerCommit
}

// refused notes that the store has refused a group with the records of some jobs.
func (r *refusals) refused(jobs []string) {
	r.suspects = make(map[string]bool, len(jobs))
	for _, id := range jobs {
		r.suspects[id] = true
	}
	r.most, r.groupsLeft = max(len(jobs)/2, 1), maxSearchGroups
}

// accepted notes that the store has accepted a group with the records of some jobs.
func (r *refusals) accepted(jobs []string) {
	r.groupsLeft--
	for _, id := range jobs {
		delete(r.suspects, id)
	}
}

// found ends the search.
func (r *refusals) found() { r.suspects = nil }

// jobs returns the jobs whose records are in g.
func (g *commitGroup) jobs() []string {
	out := make([]string, len(g.saves))
	for i := range g.saves {
		out[i] = g.saves[i].ID
	}
	return out
}

// isRecord reports whether g is a single record.
func (g *commitGroup) isRecord() bool {
	return len(g.saves) == 1 && len(g.stale) == 0 && !g.workerList
}

// confirmRefusal sends a record once more that was refused alone, so that no job is ended because of
// one wrong response. It returns the second result.
func (d *Driver) confirmRefusal(g *commitGroup, err error) error {
	if !kind.Is(err, kind.BadRequest) || !g.isRecord() {
		return err
	}
	_, err = d.Claim.Commit(d.ctx, g.tx)
	return err
}

// groupRefused handles a group that the store refuses as invalid. If it is a single record, the
// record's job is ended, as nothing that happens to it can be stored. The lock is held.
func (d *Driver) groupRefused(g *commitGroup) {
	size := 0
	for i := range g.saves {
		size += len(g.saves[i].Row)
	}
	d.Scope.Counter("commits_refused_total").Inc(1)
	level.Error(d.Log).Log("event", "commit_refused", "cell", d.Name, "epoch", d.Claim.Epoch(), "records", len(g.saves), "bytes", size, "worker_list", g.workerList)
	d.refusals.refused(g.jobs())
	if g.isRecord() {
		id := g.saves[0].ID
		d.Scope.Counter("records_refused_total").Inc(1)
		level.Error(d.Log).Log("event", "record_refused", "job", id, "cell", d.Name, "epoch", d.Claim.Epoch(), "bytes", size)
		d.cell.Fail(id, clock.Now())
		d.refusals.found()
	}
	notify(d.commitNow)
}
