// SPDX-License-Identifier: Apache-2.0

package sched

import "math"

// WorkerID identifies a worker within one Pool. IDs are reused after Remove.
type WorkerID int32

// NoWorker means that there is no worker.
const NoWorker WorkerID = -1

// RackID identifies a rack within one Pool. The caller assigns the IDs.
type RackID int32

// AnyRack lets a task run on any rack of the pool.
const AnyRack RackID = -1

const (
	blockSize = 32
	// maxCandidates is the number of eligible workers after which a search ends. More would
	// pack a little better and take longer; see docs/MEASUREMENTS.md.
	maxCandidates = 64
)

// Strategy selects among the workers that have room.
type Strategy uint8

const (
	// Pack takes the worker that is left with the least, and the least unbalanced, free
	// capacity.
	Pack Strategy = iota
	// Spread takes the worker with the most free capacity.
	Spread
)

// Pool tracks the free capacity of each worker. Its zero value is empty.
type Pool struct {
	capacity        []Vec
	free            []Vec
	inverseCapacity [][NumDims]float32
	rack            []RackID
	closed          []bool
	slow            []bool
	// heldFor is the waiting task for which a worker is held; no other task is placed there.
	heldFor []Handle
	groups  []map[int32]int32
	// blockMax holds, for each block of blockSize workers, the largest free amounts on a single
	// open worker.
	blockMax []Vec
	freeIDs  []WorkerID
	totalCap Vec
	// totalFree counts open workers only.
	totalFree   Vec
	searchStart int
	openCount   int
	// callUnit is the demand of one call, freeUnits how many times it fits on each open worker,
	// and totalFreeUnits the sum of freeUnits.
	callUnit       Vec
	freeUnits      []int64
	totalFreeUnits int64
}

// Add adds a worker and returns its ID.
func (p *Pool) Add(rack RackID, capacity Vec) WorkerID {
	w := p.newID()
	p.capacity[w] = capacity
	p.free[w] = capacity
	p.rack[w] = rack
	p.closed[w] = false
	p.heldFor[w] = Handle{}
	p.groups[w] = nil
	for d, c := range capacity {
		p.inverseCapacity[w][d] = 0
		if c > 0 {
			p.inverseCapacity[w][d] = 1 / float32(c)
		}
	}
	p.totalCap = p.totalCap.Add(capacity)
	p.totalFree = p.totalFree.Add(capacity)
	p.openCount++
	p.refreshBlock(w)
	return w
}

func (p *Pool) newID() WorkerID {
	if n := len(p.freeIDs); n > 0 {
		w := p.freeIDs[n-1]
		p.freeIDs = p.freeIDs[:n-1]
		return w
	}
	p.capacity = append(p.capacity, Vec{})
	p.free = append(p.free, Vec{})
	p.inverseCapacity = append(p.inverseCapacity, [NumDims]float32{})
	p.rack = append(p.rack, 0)
	p.closed = append(p.closed, true)
	p.slow = append(p.slow, false)
	p.heldFor = append(p.heldFor, Handle{})
	p.groups = append(p.groups, nil)
	p.freeUnits = append(p.freeUnits, 0)
	if len(p.free) > len(p.blockMax)*blockSize {
		p.blockMax = append(p.blockMax, Vec{})
	}
	return WorkerID(len(p.free) - 1)
}

// Remove removes a worker. The caller must have finished or moved its tasks.
func (p *Pool) Remove(w WorkerID) {
	p.Close(w)
	p.totalCap = p.totalCap.Sub(p.capacity[w])
	p.capacity[w] = Vec{}
	p.free[w] = Vec{}
	p.rack[w] = AnyRack
	p.freeIDs = append(p.freeIDs, w)
	p.refreshBlock(w)
}

// Close stops placing new tasks on w. Running tasks are not affected.
func (p *Pool) Close(w WorkerID) {
	if p.closed[w] {
		return
	}
	p.closed[w] = true
	p.openCount--
	p.totalFree = p.totalFree.Sub(p.free[w])
	p.refreshBlock(w)
}

// Open allows new tasks on w again.
func (p *Pool) Open(w WorkerID) {
	if !p.closed[w] {
		return
	}
	p.closed[w] = false
	p.openCount++
	p.totalFree = p.totalFree.Add(p.free[w])
	p.refreshBlock(w)
}

// Allocate subtracts d from the free capacity of w.
func (p *Pool) Allocate(w WorkerID, d Vec) {
	p.free[w] = p.free[w].Sub(d)
	if !p.closed[w] {
		p.totalFree = p.totalFree.Sub(d)
	}
	p.refreshBlock(w)
}

// Release adds d to the free capacity of w.
func (p *Pool) Release(w WorkerID, d Vec) {
	p.Allocate(w, Vec{}.Sub(d))
}

// Free returns the free capacity of w.
func (p *Pool) Free(w WorkerID) Vec { return p.free[w] }

// Capacity returns the capacity of w.
func (p *Pool) Capacity(w WorkerID) Vec { return p.capacity[w] }

// Rack returns the rack of w.
func (p *Pool) Rack(w WorkerID) RackID { return p.rack[w] }

// Closed reports whether w takes no new tasks.
func (p *Pool) Closed(w WorkerID) bool { return p.closed[w] }

// Total returns the capacity of all workers and the free capacity of the open ones.
func (p *Pool) Total() (capacity, free Vec) { return p.totalCap, p.totalFree }

// RackRoom returns the free capacity of the open workers of a rack: the sum over the workers,
// and in each dimension the largest amount on a single worker.
func (p *Pool) RackRoom(rack RackID) (free, largest Vec) {
	for w := range p.free {
		if p.closed[w] || p.rack[w] != rack {
			continue
		}
		free = free.Add(p.free[w])
		largest = largest.Max(p.free[w])
	}
	return free, largest
}

// setCallUnit changes the demand of one call.
func (p *Pool) setCallUnit(unit Vec) {
	p.callUnit = unit
	p.totalFreeUnits = 0
	for w := range p.free {
		p.freeUnits[w] = 0
		p.countUnits(WorkerID(w))
	}
}

// countUnits recomputes how many call units fit on w.
func (p *Pool) countUnits(w WorkerID) {
	n := int64(0)
	if !p.closed[w] && !p.callUnit.IsZero() {
		n = p.free[w].fits(p.callUnit)
	}
	p.totalFreeUnits += n - p.freeUnits[w]
	p.freeUnits[w] = n
}

// refreshBlock recomputes the largest free amounts in the block of w.
func (p *Pool) refreshBlock(w WorkerID) {
	p.countUnits(w)
	b := int(w) / blockSize
	first := b * blockSize
	last := min(first+blockSize, len(p.free))
	var largest Vec
	for i := first; i < last; i++ {
		if !p.closed[i] {
			largest = largest.Max(p.free[i])
		}
	}
	p.blockMax[b] = largest
}

// query is a search for a worker.
type query struct {
	demand    Vec
	rack      RackID
	strategy  Strategy
	group     int32
	requester Handle
	call      bool
	// With keepReserve, a worker is only eligible if the demand costs it at most maxUnitsLost
	// call units.
	keepReserve  bool
	maxUnitsLost int64
}

// find returns the best worker for q, or NoWorker. It skips blocks of workers in which nothing
// is large enough, and looks at no further block once it has found maxCandidates workers.
func (p *Pool) find(q *query) WorkerID {
	best := NoWorker
	bestScore := float32(math.MaxFloat32)
	candidates := 0
	n := len(p.blockMax)
	for i := 0; i < n && candidates < maxCandidates; i++ {
		b := p.searchStart + i
		if b >= n {
			b -= n
		}
		if !p.blockMax[b].Covers(&q.demand) {
			continue
		}
		first := b * blockSize
		last := min(first+blockSize, len(p.free))
		for w := first; w < last; w++ {
			if !p.eligible(w, q) {
				continue
			}
			candidates++
			if s := p.score(w, q); s < bestScore {
				best, bestScore = WorkerID(w), s
			}
		}
	}
	if q.strategy == Spread && best != NoWorker {
		p.advanceSearch()
	}
	return best
}

// advanceSearch moves the start of the next search by one block, so that spread work does not
// all go to the first blocks of a large pool.
func (p *Pool) advanceSearch() {
	p.searchStart++
	if p.searchStart >= len(p.blockMax) {
		p.searchStart = 0
	}
}

func (p *Pool) eligible(w int, q *query) bool {
	if p.closed[w] || !p.free[w].Covers(&q.demand) {
		return false
	}
	if q.rack != AnyRack && p.rack[w] != q.rack {
		return false
	}
	if p.heldFor[w] != (Handle{}) && p.heldFor[w] != q.requester {
		return false
	}
	if q.call && p.slow[w] {
		return false
	}
	return !q.keepReserve || p.unitsLost(w, &q.demand) <= q.maxUnitsLost
}

// unitsLost returns how many call units fewer would fit on w after an allocation of d.
func (p *Pool) unitsLost(w int, d *Vec) int64 {
	return p.freeUnits[w] - p.free[w].Sub(*d).fits(p.callUnit)
}

// groupPenalty outweighs any amount of free capacity: replicas of one service share a worker
// only when there is no other.
const groupPenalty = 100

// score rates w for q; the lowest score wins.
func (p *Pool) score(w int, q *query) float32 {
	var sum, most float32
	least := float32(1)
	for d := range q.demand {
		inv := p.inverseCapacity[w][d]
		if inv == 0 {
			continue
		}
		left := float32(p.free[w][d]-q.demand[d]) * inv
		sum += left
		most = max(most, left)
		least = min(least, left)
	}
	if q.strategy == Spread {
		return -sum + groupPenalty*float32(p.groupMembers(w, q.group))
	}
	// Capacity that is left in one dimension but not in the others is hard to use.
	return sum + (most - least)
}

func (p *Pool) groupMembers(w int, group int32) int32 {
	if group == 0 || p.groups[w] == nil {
		return 0
	}
	return p.groups[w][group]
}

// addGroupMembers adds delta to the number of tasks of a spread group on w.
func (p *Pool) addGroupMembers(w WorkerID, group, delta int32) {
	if group == 0 {
		return
	}
	if p.groups[w] == nil {
		p.groups[w] = make(map[int32]int32)
	}
	p.groups[w][group] += delta
	if p.groups[w][group] == 0 {
		delete(p.groups[w], group)
	}
}
