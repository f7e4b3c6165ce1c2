// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"slices"
	"sync"
	"time"

	"dewpass.org/capacity"
	"dewpass.org/driver"
	"dewpass.org/flow"
	"dewpass.org/internal/clock"
	"dewpass.org/sched"
	"dewpass.org/wire"
)

// Owners report which classes of workers their cells have, so that jobs go to cells that can run them.
// Greetings are sent several times a second and classes seldom change: they are reported for a moment
// after a change, and from time to time for instances that have started since.
const (
	// workersReportInterval is the interval between reports, each of which is in all greetings of
	// workersReportTime, so that one of them reaches every instance.
	workersReportInterval = 5 * time.Second
	workersReportTime     = 2 * ownerGreetInterval
	// maxReportedClasses limits a report to a few KB. Cells with more classes report nothing and
	// count as able to run everything.
	maxReportedClasses = 32
)

// workerReport is what is known of the workers of a cell, from its owner of an epoch.
type workerReport struct {
	epoch   uint64
	workers capacity.Workers
}

// workerReports holds the classes of the workers of own cells when they last changed.
type workerReports struct {
	mu     sync.Mutex
	byCell map[string]*changedWorkers
}

type changedWorkers struct {
	workers capacity.Workers
	at      time.Time
}

// changedWithin records the workers of a cell, and reports whether their classes changed within a time.
func (r *workerReports) changedWithin(t time.Duration, cell string, w capacity.Workers, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.byCell[cell]
	if last == nil || !last.workers.SameClasses(w) {
		if r.byCell == nil {
			r.byCell = make(map[string]*changedWorkers)
		}
		last = &changedWorkers{workers: w, at: now}
		r.byCell[cell] = last
	}
	return now.Sub(last.at) < t
}

// workersToReport returns the workers of an own cell for a greeting, nil if they are not reported now.
func (n *Instance) workersToReport(cell string, d *driver.Driver, now time.Time) *wire.CellWorkers {
	if !n.division.several() {
		return nil
	}
	w, known := d.Capacity()
	if !known || len(w) > maxReportedClasses {
		return nil
	}
	if !n.reports.changedWithin(workersReportTime, cell, w, now) && now.Sub(n.startedAt)%workersReportInterval >= workersReportTime {
		return nil
	}
	out := &wire.CellWorkers{}
	for i := range w {
		out.Classes = append(out.Classes, &wire.WorkerClass{Pool: w[i].Pool, Labels: w[i].Labels, Room: w[i].Room[:], Workers: uint32(w[i].Workers)})
	}
	return out
}

// keepWorkers keeps what a greeting reports of the workers of cells. The caller must hold m.mu.
func (m *members) keepWorkers(cells []*wire.CellSummary) {
	for _, c := range cells {
		if c.Workers == nil || c.Epoch < m.workers[c.Name].epoch {
			continue
		}
		r := workerReport{epoch: c.Epoch}
		for _, k := range c.Workers.Classes {
			class := capacity.Class{Pool: k.Pool, Labels: k.Labels, Workers: int(k.Workers)}
			copy(class.Room[:min(len(k.Room), int(sched.NumDims))], k.Room)
			r.workers = append(r.workers, class)
		}
		m.workers[c.Name] = r
	}
}

// reportedWorkers returns the workers that the owner of a cell in an epoch has reported, and whether it
// has.
func (m *members) reportedWorkers(cell string, epoch uint64) (capacity.Workers, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.workers[cell]
	return r.workers, ok && r.epoch == epoch
}

// allMoveJobs reports whether all live instances know of jobs that move between cells. Those that do
// not could neither run such a job nor find its cell.
func (m *members) allMoveJobs(now time.Time) bool {
	return !m.anyLive(now, func(k *member) bool { return !k.movesJobs })
}

// knownWorkers returns the workers of the cells of which they are known, nil if there is only one cell.
func (n *Instance) knownWorkers(now time.Time) map[string]capacity.Workers {
	if !n.division.several() {
		return nil
	}
	out := make(map[string]capacity.Workers)
	for name, o := range n.members.cellsByName(now) {
		if w, ok := n.members.reportedWorkers(name, o.cell.Epoch); ok {
			out[name] = w
		}
	}
	for name, c := range n.ownCells() {
		delete(out, name)
		if w, ok := c.driver.Capacity(); ok {
			out[name] = w
		}
	}
	return out
}

// fit returns how well the workers of a cell suit a job. A label that no known worker has may name a
// rack, which tells the cell.
func (n *Instance) fit(job capacity.Job, cell string, known map[string]capacity.Workers) capacity.Fit {
	w, ok := known[cell]
	if !ok {
		return capacity.All
	}
	var racks []string
	for _, label := range job.Labels() {
		listed := false
		for _, other := range known {
			listed = listed || other.HasLabel(label)
		}
		if !listed && n.division.hashCell(label) == cell {
			racks = append(racks, label)
		}
	}
	return w.Fit(job, racks)
}

// capacityJob returns what the choice of a cell for a new job depends on.
func (n *Instance) capacityJob(spec *flow.Spec) capacity.Job {
	j := capacity.Job{Spec: spec}
	if conf := n.config.Load(); conf != nil {
		if q := findQueue(conf, spec.Queue); q != nil {
			j.Pool = q.Pool
		}
	}
	return j
}

// runnableIn returns those of some cells that can run a step of a job, as far as it is known.
func (n *Instance) runnableIn(cells []string, spec *flow.Spec) []string {
	if len(cells) == 0 {
		return cells
	}
	job, known := n.capacityJob(spec), n.knownWorkers(clock.Now())
	return slices.DeleteFunc(cells, func(name string) bool { return n.fit(job, name, known) == capacity.None })
}

// elsewhere implements driver.Elsewhere.
type elsewhere struct{ n *Instance }

// elsewhere returns what a driver has to know of other cells, nil if there are none.
func (n *Instance) elsewhere() driver.Elsewhere {
	if !n.division.several() {
		return nil
	}
	return elsewhere{n}
}

// Cell implements driver.Elsewhere. Cells whose workers are not known are left out.
func (e elsewhere) Cell(j capacity.Job) string {
	now := clock.Now()
	if !e.n.members.allMoveJobs(now) {
		return ""
	}
	known := e.n.knownWorkers(now)
	able := slices.DeleteFunc(e.n.candidates(j), func(c capacity.Candidate) bool {
		_, ok := known[c.Cell]
		return !ok || c.Fit == capacity.None || c.Cell == j.Spec.Cell || slices.Contains(j.Spec.RefusedIn, c.Cell)
	})
	if len(able) == 0 {
		return ""
	}
	return drawCandidate(able, j.Spec.ID).Cell
}

// Hall implements driver.Elsewhere.
func (e elsewhere) Hall(cell, id string) string { return e.n.startHall(cell, id) }

// Moved implements driver.Elsewhere.
func (e elsewhere) Moved(spec *flow.Spec, ver uint64) {
	e.n.jobCells.set(spec.ID, spec.Cells())
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
		defer cancel()
		e.n.notifyOwner(ctx, spec.Cell, ver, spec)
	}()
}
