// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"cmp"
	"slices"

	"dewpass.org/capacity"
	"dewpass.org/flow"
	"dewpass.org/internal/clock"
	"dewpass.org/sched"
)

// candidates returns the cells that may take a job, the best first: those that suit it best or, with
// several of these, the least loaded.
func (n *Instance) candidates(job capacity.Job) []candidate {
	var out []candidate
	known := n.knownWorkers(clock.Now())
	add := func(c candidate) {
		gain := n.localityGain(job.Spec, c.cell)
		c.load, c.local, c.fit = c.load-gain, gain > 0, n.fit(job, c.cell, known)
		out = append(out, c)
	}
	own := n.ownCells()
	for name, c := range own {
		if !c.driver.Ready() {
			continue
		}
		l := c.driver.Load()
		add(candidate{cell: name, load: relativeLoad(l.Room[sched.MilliCPU], l.Free[sched.MilliCPU], l.Waiting)})
	}
	for _, o := range n.members.cells(clock.Now()) {
		if !o.cell.Ready || own[o.cell.Name] != nil {
			continue
		}
		add(candidate{
			cell: o.cell.Name, name: o.name,
			load: relativeLoad(o.cell.Room, o.cell.Free, o.cell.Waiting+o.sentWork),
		})
	}
	slices.SortStableFunc(out, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.fit, a.fit), cmp.Compare(a.load, b.load), cmp.Compare(a.cell, b.cell))
	})
	return out
}

// localityGain returns the bonus for a cell that contains the racks with a job's data.
func (n *Instance) localityGain(spec *flow.Spec, cell string) float64 {
	gain := 0.0
	for i := range spec.Steps {
		if rack := spec.Steps[i].PreferredRack; rack != "" && n.division.hashCell(rack) == cell {
			gain += localityBonus / float64(len(spec.Steps))
		}
	}
	return gain
}
