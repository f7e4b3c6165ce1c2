// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"context"
	"time"

	"dewpass.org/internal/clock"
	"dewpass.org/kind"
	"dewpass.org/lease"
	"dewpass.org/ports"
	"dewpass.org/sched"
	"dewpass.org/wire"
)

// Adopt implements hall.Racks.
func (o *Owner) Adopt(name string, epoch lease.Epoch, row uint64, workers []ports.Instance) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.racks[name]
	if r != nil && r.rowVersion == 0 && row != 0 {
		o.setTableEpoch(r, epoch, row)
		return
	}
	if r != nil {
		return
	}
	ctx, cancel := context.WithCancel(o.instanceCtx)
	r = &rack{
		name: name, id: sched.RackID(o.ids.idFor("rack/" + name)),
		epoch: epoch, rowVersion: row, ownedSince: clock.Now(),
		workers: make(map[string]*worker), ctx: ctx, cancel: cancel,
	}
	o.racks[name] = r
	for _, in := range workers {
		o.addWorker(r, in)
	}
	if row != 0 {
		go o.loadJobs(r)
	}
	o.updateQuotas()
}

// setTableEpoch sets the epoch from the table for a rack that was taken over without the table.
func (o *Owner) setTableEpoch(r *rack, epoch lease.Epoch, row uint64) {
	r.epoch, r.rowVersion = epoch, row
	for _, w := range r.workers {
		o.reattach(w)
	}
	for _, js := range o.jobs {
		if js.rack == r && js.dirty {
			o.persist(js)
		}
	}
	go o.loadJobs(r)
}

// Drop implements hall.Racks. Calls in progress continue to their answers; jobs are left to the
// next owner.
func (o *Owner) Drop(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.racks[name]
	if r == nil {
		return
	}
	delete(o.racks, name)
	r.cancel()
	for _, t := range o.tasksByRef {
		if t.rack == r || (t.worker != nil && t.worker.rack == r) {
			o.abandonTask(t)
		}
	}
	for id, js := range o.jobs {
		if js.rack == r {
			js.finish(kind.New(kind.Fenced, "the rack has another owner"))
			delete(o.jobs, id)
		}
	}
	for _, w := range r.workers {
		o.removeWorker(w)
	}
	o.updateQuotas()
}

// abandonTask removes a task of a rack that is no longer owned.
func (o *Owner) abandonTask(t *task) {
	if t.worker == nil && t.pending != nil {
		t.pending.fail(kind.New(kind.Fenced, "the rack has another owner"))
	}
	o.removeTask(t)
}

// Owned implements hall.Racks.
func (o *Owner) Owned() map[string]lease.Epoch {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make(map[string]lease.Epoch, len(o.racks))
	for name, r := range o.racks {
		out[name] = r.epoch
	}
	return out
}

// SetWorkers implements hall.Racks.
func (o *Owner) SetWorkers(list []ports.Instance) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.listedWorkers = 0
	listed := make(map[string]bool)
	for _, in := range list {
		if in.Role != ports.RoleWorker {
			continue
		}
		o.listedWorkers++
		listed[in.ID] = true
		r := o.racks[in.Rack]
		if r == nil || in.Hall != o.Hall {
			continue
		}
		o.updateWorker(r, in)
	}
	for _, r := range o.racks {
		for name, w := range r.workers {
			w.unlisted = !listed[name]
		}
	}
	o.updateQuotas()
	o.schedule()
}

// updateWorker applies an entry of the platform's list to a worker of an owned rack.
func (o *Owner) updateWorker(r *rack, in ports.Instance) {
	w := r.workers[in.ID]
	if w == nil {
		o.addWorker(r, in)
		w = r.workers[in.ID]
	}
	if w.addr != in.Addr {
		w.addr = in.Addr
		w.api = o.Connect(in.Addr)
		o.reattach(w)
	}
	w.reportedLeaving = in.Leaving
	o.updateAvailability(w)
}

// MarkLeaving marks workers that a peer has seen leaving.
func (o *Owner) MarkLeaving(names []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, name := range names {
		for _, r := range o.racks {
			if w := r.workers[name]; w != nil && !w.leaving {
				w.reportedLeaving = true
				o.updateAvailability(w)
			}
		}
	}
}

// updateQuotas sets each team's quota in the cell to this owner's part of it, which is the
// owner's part of all listed workers.
func (o *Owner) updateQuotas() {
	own := 0
	for _, r := range o.racks {
		own += len(r.workers)
	}
	o.workerShare = 1
	if o.listedWorkers > 0 {
		o.workerShare = float64(own) / float64(o.listedWorkers)
	}
	c := o.Tree.Current()
	o.cell.SetReserveFloor(c.Reserve)
	for path, t := range c.Teams {
		quota := t.Quota
		for d := range quota {
			quota[d] = int64(float64(quota[d]) * o.workerShare)
		}
		o.cell.SetTeam(sched.TeamID(o.ids.idFor("team/"+path)), quota, t.Borrow)
	}
}

// Summary returns the state of the racks as sent to peers.
func (o *Owner) Summary() []*wire.Rack {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]*wire.Rack, 0, len(o.racks))
	for _, r := range o.racks {
		out = append(out, o.summary(r))
	}
	return out
}

// waitRounding is the unit to which the predicted wait is rounded, so that small changes are
// not sent to peers.
const waitRounding = 500 * time.Millisecond

func (o *Owner) summary(r *rack) *wire.Rack {
	free, hole := o.cell.RackRoom(r.id)
	s := &wire.Rack{
		Rack: r.name, EpochTable: r.epoch.Table, EpochLocal: r.epoch.Local,
		Free: free[:], Hole: hole[:], Workers: uint32(len(r.workers)),
		Queued: uint32(o.cell.Queued()),
		WaitMs: uint32(o.cell.PredictedWait(sched.Bulk, o.now()).Round(waitRounding).Milliseconds()),
	}
	var capacity sched.Vec
	for _, w := range r.workers {
		if w.attached {
			s.Attached++
			capacity = capacity.Add(o.cell.Capacity(w.id))
			s.Running += uint32(o.cell.RunningOn(w.id))
		}
	}
	s.Capacity = capacity[:]
	s.Ready = s.Attached > 0 && !r.closing && !o.draining
	return s
}

// LeavingWorkers returns the workers that are leaving, by their own report or by that of the
// platform or a peer.
func (o *Owner) LeavingWorkers() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []string
	for _, r := range o.racks {
		for name, w := range r.workers {
			if w.leaving || w.reportedLeaving {
				out = append(out, name)
			}
		}
	}
	return out
}

// Ready reports whether every owned rack that has workers has an attached one.
func (o *Owner) Ready() bool {
	for _, s := range o.Summary() {
		if s.Attached == 0 && s.Workers > 0 {
			return false
		}
	}
	return true
}
