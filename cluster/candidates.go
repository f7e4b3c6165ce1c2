// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"dewpass.org/capacity"
	"dewpass.org/flow"
	"dewpass.org/internal/clock"
	"dewpass.org/sched"
)

// localityBonus is by how much the load of a cell counts as less for a job whose data is there.
const localityBonus = 0.5

// candidates returns the cells that may take a job, the best first.
func (n *Instance) candidates(job capacity.Job) []capacity.Candidate {
	var out []capacity.Candidate
	known := n.knownWorkers(clock.Now())
	add := func(cell, owner string, load float64) {
		gain := n.localityGain(job.Spec, cell)
		out = append(out, capacity.Candidate{Cell: cell, Owner: owner, Load: load - gain, Local: gain > 0, Fit: n.fit(job, cell, known)})
	}
	own := n.ownCells()
	for name, c := range own {
		if !c.driver.Ready() {
			continue
		}
		l := c.driver.Load()
		add(name, "", capacity.Load(l.Room[sched.MilliCPU], l.Free[sched.MilliCPU], l.Waiting))
	}
	for _, o := range n.members.cells(clock.Now()) {
		if !o.cell.Ready || own[o.cell.Name] != nil {
			continue
		}
		add(o.cell.Name, o.name, capacity.Load(o.cell.Room, o.cell.Free, o.cell.Waiting+o.sentWork))
	}
	capacity.Sort(out)
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

// drawCandidate chooses a cell for a job among sorted candidates.
func drawCandidate(sorted []capacity.Candidate, id string) capacity.Candidate {
	return capacity.Draw(sorted, hash32(id+"/first"), hash32(id+"/second"))
}
