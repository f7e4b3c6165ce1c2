// SPDX-License-Identifier: Apache-2.0

package cluster

// drawCandidate chooses a cell for a job among candidates that are sorted by load, the least loaded
// first: the better of two that are drawn by the job's id.
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
	for usable < len(sorted) && sorted[usable].load < unusableLoad {
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
