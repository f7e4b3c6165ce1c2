// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"time"

	"dewpass.org/internal/clock"
	"dewpass.org/lease"
	"dewpass.org/ports"
	"dewpass.org/sched"
)

// rescanEvery is how often the index of a rack is read for jobs that were moved
// to it without this owner hearing of it.
const rescanEvery = 30 * time.Second

// sweep settles the tasks of workers whose leases are surely over, and moves
// tasks off workers that leave. The lock is held.
func (o *Owner) sweep() {
	now := clock.Now()
	for _, r := range o.racks {
		o.witness(r, now)
		o.lookAgain(r, now)
		for _, w := range r.workers {
			o.sweepWorker(w, now)
			o.retire(w)
		}
	}
}

// lookAgain releases jobs whose limbo ends by the passage of time, and reads the
// index of the rack for jobs that were moved to it.
func (o *Owner) lookAgain(r *rack, now time.Time) {
	if now.Sub(r.looked) < time.Second {
		return
	}
	r.looked = now
	o.releaseAll(r)
	o.overflow(r)
	if r.loaded && r.row != 0 && now.Sub(r.scanned) > rescanEvery {
		r.scanned = now
		go o.load(r)
	}
}

func (o *Owner) sweepWorker(w *worker, now time.Time) {
	if w.attached && (w.leaving || w.listedLeaving) {
		o.vacate(w)
	}
	if w.attached || w.over || now.Before(lease.SurelyOver(w.renewed, o.TaskLease)) {
		return
	}
	w.over = true
	for _, t := range o.tasksOn(w) {
		o.lose(t, "the worker cannot be reached")
	}
	o.releaseAll(w.rack)
}

// retire forgets a worker that the platform lists no more, once it does not
// answer and its leases are surely over. The list alone is only a hint.
func (o *Owner) retire(w *worker) {
	if !w.unlisted || w.attached || !w.over {
		return
	}
	o.removeWorker(w)
	delete(w.rack.workers, w.name)
}

// vacate asks the jobs on a worker that leaves to save themselves and stop;
// calls finish there.
func (o *Owner) vacate(w *worker) {
	for _, t := range o.tasksOn(w) {
		if t.spec.Call || t.job == nil || t.stopped || t.spec.Repeat == ports.RepeatNever {
			continue
		}
		if t.workload.Ladder == 0 && t.workload.Kind != "service" {
			continue
		}
		t.stopped = true
		go o.act(t, w, o.exitAction(t))
	}
}

func (o *Owner) exitAction(t *task) ports.Action {
	if t.workload.Ladder&sched.MayCheckpoint != 0 {
		return ports.ActCheckpoint
	}
	return ports.ActStop
}
