// SPDX-License-Identifier: Apache-2.0

package capacity

import (
	"cmp"
	"slices"
	"time"
)

const (
	// loadWindow is the time within which queued work should find room; it weighs queued work when
	// the loads of cells are compared.
	loadWindow = 2 * time.Second
	// unusableLoad is the load of a cell without workers, above any other.
	unusableLoad = 1e9
)

// Candidate is a cell that may take a job.
type Candidate struct {
	Cell string
	// Owner names the instance that owns the cell, "" for the one that chooses.
	Owner string
	Load  float64
	// Fit is how well the cell's workers suit the job.
	Fit Fit
	// Local says that the cell contains a rack with the job's data.
	Local bool
}

// Load returns how full a cell is: the fraction of its room in use, plus the queued work (waiting, in ms
// of one processor) relative to what the cell processes in loadWindow. room and free are in thousandths
// of a processor.
func Load(room, free, waiting int64) float64 {
	if room <= 0 {
		return unusableLoad
	}
	used := float64(room-free) / float64(room)
	return used + float64(waiting)/(float64(room)/1000*float64(loadWindow.Milliseconds()))
}

// Sort sorts candidates, the best first: those that suit the job best and of these the least loaded.
func Sort(all []Candidate) {
	slices.SortStableFunc(all, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.Fit, a.Fit), cmp.Compare(a.Load, b.Load), cmp.Compare(a.Cell, b.Cell))
	})
}

// Draw chooses a cell for a job among sorted candidates, of which there has to be one: the better of two
// that are drawn by hashes of the job.
//
// The reports of owners are a fraction of a second old, and the same at all instances. If each
// instance chose the least loaded cell, all jobs of that time would go there, and the more instances
// there are, the more jobs wait for a cell that was empty a moment ago while others have room. With
// two cells drawn for each job, a cell gets at most about twice its share, and one that is among the
// fullest gets almost nothing.
//
// A job with data in a rack goes where its data is. Cells without workers, or that suit the job less
// than others, get it only if there are no others.
func Draw(sorted []Candidate, first, second uint32) Candidate {
	if sorted[0].Local {
		return sorted[0]
	}
	usable := 0
	for usable < len(sorted) && sorted[usable].Load < unusableLoad && sorted[usable].Fit == sorted[0].Fit {
		usable++
	}
	if usable < 3 {
		return sorted[0]
	}
	a := int(first % uint32(usable))
	// The second is another one than the first.
	b := (a + 1 + int(second%uint32(usable-1))) % usable
	return sorted[min(a, b)]
}
