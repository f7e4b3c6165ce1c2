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
	if r != nil && r.row == 0 && row != 0 {
		o.promote(r, epoch, row)
		return
	}
	if r != nil {
		return
	}
	ctx, cancel := context.WithCancel(o.base)
	r = &rack{
		name: name, id: sched.RackID(o.names.of("rack/" + name)),
		epoch: epoch, row: row, since: clock.Now(),
		workers: make(map[string]*worker), ctx: ctx, cancel: cancel,
	}
	o.racks[name] = r
	for _, in := range workers {
		o.addWorker(r, in)
	}
	if row != 0 {
		go o.load(r)
	}
	o.quotas()
}

// promote puts a rack that was taken without the table under its table epoch.
func (o *Owner) promote(r *rack, epoch lease.Epoch, row uint64) {
	r.epoch, r.row = epoch, row
	for _, w := range r.workers {
		o.suspect(w)
	}
	for _, js := range o.jobs {
		if js.rack == r && js.dirty {
			o.persist(js)
		}
	}
	go o.load(r)
}

// Drop implements hall.Racks. Calls in progress go on to their answers; jobs
// are the next owner's.
func (o *Owner) Drop(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.racks[name]
	if r == nil {
		return
	}
	delete(o.racks, name)
	r.cancel()
	for _, t := range o.byRef {
		if t.rack == r || (t.worker != nil && t.worker.rack == r) {
			o.abandon(t)
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
	o.quotas()
}

// abandon takes a task off the books of a rack that is no longer owned.
func (o *Owner) abandon(t *task) {
	if t.worker == nil && t.call != nil {
		t.call.fail(kind.New(kind.Fenced, "the rack has another owner"))
	}
	o.forget(t)
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

// Workers implements hall.Racks.
func (o *Owner) Workers(list []ports.Instance) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cellSize = 0
	listed := make(map[string]bool)
	for _, in := range list {
		if in.Role != ports.RoleWorker {
			continue
		}
		o.cellSize++
		listed[in.ID] = true
		r := o.racks[in.Rack]
		if r == nil || in.Hall != o.Hall {
			continue
		}
		o.meet(r, in)
	}
	for _, r := range o.racks {
		for name, w := range r.workers {
			w.unlisted = !listed[name]
		}
	}
	o.quotas()
	o.step()
}

// meet takes in what the list says of a worker of an owned rack.
func (o *Owner) meet(r *rack, in ports.Instance) {
	w := r.workers[in.ID]
	if w == nil {
		o.addWorker(r, in)
		w = r.workers[in.ID]
	}
	if w.addr != in.Addr {
		w.addr = in.Addr
		w.api = o.Connect(in.Addr)
		o.suspect(w)
	}
	w.listedLeaving = in.Leaving
	o.gate(w)
}

// Leaving tells of workers that a peer has seen leaving.
func (o *Owner) Leaving(names []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, name := range names {
		for _, r := range o.racks {
			if w := r.workers[name]; w != nil && !w.leaving {
				w.listedLeaving = true
				o.gate(w)
			}
		}
	}
}

// quotas gives the cell the part of each team's quota that falls to this
// owner: its part of all workers that are listed.
func (o *Owner) quotas() {
	own := 0
	for _, r := range o.racks {
		own += len(r.workers)
	}
	o.share = 1
	if o.cellSize > 0 {
		o.share = float64(own) / float64(o.cellSize)
	}
	c := o.Tree.Now()
	o.cell.SetReserveFloor(c.Reserve)
	for path, t := range c.Teams {
		quota := t.Quota
		for d := range quota {
			quota[d] = int64(float64(quota[d]) * o.share)
		}
		o.cell.SetTeam(sched.TeamID(o.names.of("team/"+path)), quota, t.Borrow)
	}
}

// Summary returns what peers are told of the racks.
func (o *Owner) Summary() []*wire.Rack {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]*wire.Rack, 0, len(o.racks))
	for _, r := range o.racks {
		out = append(out, o.summary(r))
	}
	return out
}

// waitStep keeps a wait that changes a little from being news to peers.
const waitStep = 500 * time.Millisecond

func (o *Owner) summary(r *rack) *wire.Rack {
	free, hole := o.cell.RackRoom(r.id)
	s := &wire.Rack{
		Rack: r.name, EpochTable: r.epoch.Table, EpochLocal: r.epoch.Local,
		Free: free[:], Hole: hole[:], Workers: uint32(len(r.workers)),
		Queued: uint32(o.cell.Queued()),
		WaitMs: uint32(o.cell.PredictedWait(sched.Bulk, o.now()).Round(waitStep).Milliseconds()),
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

// SeenLeaving returns the workers that have said themselves that they leave.
func (o *Owner) SeenLeaving() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []string
	for _, r := range o.racks {
		for name, w := range r.workers {
			if w.leaving || w.listedLeaving {
				out = append(out, name)
			}
		}
	}
	return out
}

// Ready reports whether every owned rack has an attached worker.
func (o *Owner) Ready() bool {
	for _, s := range o.Summary() {
		if s.Attached == 0 && s.Workers > 0 {
			return false
		}
	}
	return true
}
