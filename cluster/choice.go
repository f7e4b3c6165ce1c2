// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"time"

	"dewpass.org/capacity"
)

const (
	// loadWindow is the time within which queued work should find room; it weighs queued work when
	// the loads of cells are compared.
	loadWindow = 2 * time.Second
	// localityBonus is by how much the load of a cell counts as less for a job whose data is there.
	localityBonus = 0.5
	// unusableLoad is the load of a cell without workers, above any other.
	unusableLoad = 1e9
)

// candidate is a cell that may take a job.
type candidate struct {
	cell string
	// name is that of the owner, empty if it is this instance.
	name string
	load float64
	// fit is how well the cell's workers suit the job.
	fit capacity.Fit
	// local says that the cell contains a rack with the job's data.
	local bool
}

// relativeLoad returns how full a cell is: the fraction of its room in use, plus the queued work
// (waiting, in ms of one processor) relative to what the cell processes in loadWindow. room and
// free are in thousandths of a processor.
func relativeLoad(room, free, waiting int64) float64 {
	if room <= 0 {
		return unusableLoad
	}
	used := float64(room-free) / float64(room)
	return used + float64(waiting)/(float64(room)/1000*float64(loadWindow.Milliseconds()))
}

// drawCandidate chooses a cell for a job among candidates that are sorted, those that suit the job best
// first and of these the least loaded: the better of two that are drawn by the job's id.
//
// The reports of owners are a fraction of a second old, and the same at all instances. If each
// instance chose the least loaded cell, all jobs of that time would go there, and the more instances
// there are, the more jobs wait for a cell that was empty a moment ago while others have room. With
// two cells drawn for each job, a cell gets at most about twice its share, and one that is among the
// fullest gets almost nothing.
//
// A job with data in a rack goes where its data is, and cells without workers get no job as long as
// others have some.
func drawCandidate(sorted []candidate, id string) candidate {
	if sorted[0].local {
		return sorted[0]
	}
	usable := 0
	for usable < len(sorted) && sorted[usable].load < unusableLoad && sorted[usable].fit == sorted[0].fit {
		usable++
	}
	if usable < 3 {
		return sorted[0]
	}
	first := int(hash32(id+"/first") % uint32(usable))
	// The second is another one than the first.
	second := (first + 1 + int(hash32(id+"/second")%uint32(usable-1))) % usable
	return sorted[min(first, second)]
}
