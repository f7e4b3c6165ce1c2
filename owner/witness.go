// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"time"

	"dewpass.org/internal/clock"
	"dewpass.org/lease"
	"dewpass.org/platform"
	"dewpass.org/sched"
)

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

// witness holds the workers of a rack to be witnesses of who owns it. An owner
// that the table does not see goes on only while more than half of the workers
// take its commands; otherwise another owner may have them, and this one stops
// renewing leases with the rest. An owner that has had more than half of them
// for long enough may therefore believe that the rest have stopped. The lock is
// held.
func (o *Owner) witness(r *rack, now time.Time) {
	attached := 0
	for _, w := range r.workers {
		if w.attached {
			attached++
		}
	}
	most := 2*attached > len(r.workers)
	if !most {
		r.mostSince = time.Time{}
	} else if r.mostSince.IsZero() {
		r.mostSince = now
	}
	idle := o.away && !most && len(r.workers) > 1
	for _, w := range r.workers {
		rest := idle && now.Sub(r.since) > o.TaskLease
		if rest == w.idle {
			continue
		}
		w.idle = rest
		o.gate(w)
		if rest && w.again != nil {
			w.again()
		}
	}
}

// othersStopped reports whether the workers of a rack that are not attached
// have surely stopped what a former owner gave them.
func (o *Owner) othersStopped(r *rack, now time.Time) bool {
	if r.mostSince.IsZero() {
		return false
	}
	// A former owner believes in a worker for as long as a watch may take.
	noticed := r.mostSince.Add(o.hold() + commandTime + pauseLimit)
	return now.After(lease.SurelyOver(noticed, o.TaskLease))
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
		if t.spec.Call || t.job == nil || t.stopped || t.spec.Repeat == platform.RepeatNever {
			continue
		}
		if t.workload.Ladder == 0 && t.workload.Kind != "service" {
			continue
		}
		t.stopped = true
		go o.act(t, w, o.exitAction(t))
	}
}

func (o *Owner) exitAction(t *task) platform.Action {
	if t.workload.Ladder&sched.MayCheckpoint != 0 {
		return platform.ActCheckpoint
	}
	return platform.ActStop
}
