// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"time"

	"dewpass.org/internal/clock"
	"dewpass.org/lease"
	"dewpass.org/ports"
	"dewpass.org/sched"
)

// rescanInterval is how often the index of a rack is read again for jobs that were moved there
// while the notification of this owner was lost.
const rescanInterval = 30 * time.Second

// sweep requeues or ends the tasks of workers whose leases have certainly expired, and moves
// tasks off workers that leave. The lock is held.
func (o *Owner) sweep() {
	now := clock.Now()
	for _, r := range o.racks {
		o.checkMajority(r, now)
		o.checkRack(r, now)
		for _, w := range r.workers {
			o.sweepWorker(w, now)
			o.removeUnlisted(w)
		}
	}
}

// checkRack does the periodic work for a rack: it resolves doubts that end with time, moves
// waiting jobs to racks with room, and reads the index again.
func (o *Owner) checkRack(r *rack, now time.Time) {
	if now.Sub(r.checkedAt) < time.Second {
		return
	}
	r.checkedAt = now
	o.resolveDoubts(r)
	o.overflow(r)
	if r.loaded && r.rowVersion != 0 && now.Sub(r.scannedAt) > rescanInterval {
		r.scannedAt = now
		go o.loadJobs(r)
	}
}

func (o *Owner) sweepWorker(w *worker, now time.Time) {
	if w.attached && (w.leaving || w.reportedLeaving) {
		o.evacuate(w)
	}
	if w.attached || w.leasesExpired || now.Before(lease.CertainExpiry(w.renewedAt, o.TaskLease)) {
		return
	}
	w.leasesExpired = true
	for _, t := range o.tasksOn(w) {
		o.handleLostTask(t, "the worker cannot be reached")
	}
	o.resolveDoubts(w.rack)
}

// removeUnlisted removes a worker that the platform no longer lists, once the worker is not
// attached and its leases have certainly expired. The list alone is only a hint.
func (o *Owner) removeUnlisted(w *worker) {
	if !w.unlisted || w.attached || !w.leasesExpired {
		return
	}
	o.removeWorker(w)
	delete(w.rack.workers, w.name)
}

// evacuate asks a leaving worker to checkpoint or stop its services and the jobs that may be
// preempted. Everything else finishes there.
func (o *Owner) evacuate(w *worker) {
	for _, t := range o.tasksOn(w) {
		if t.spec.Call || t.job == nil || t.stopped || t.spec.Repeat == ports.RepeatNever {
			continue
		}
		if t.workload.Ladder == 0 && t.workload.Kind != "service" {
			continue
		}
		t.stopped = true
		go o.sendAction(t, w, o.stopAction(t))
	}
}

func (o *Owner) stopAction(t *task) ports.Action {
	if t.workload.Ladder&sched.MayCheckpoint != 0 {
		return ports.ActCheckpoint
	}
	return ports.ActStop
}
