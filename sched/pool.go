// SPDX-License-Identifier: Apache-2.0

package sched

import "math"

// WorkerID names a worker within one Pool. Numbers are reused after Remove.
type WorkerID int32

// NoWorker is the absent worker.
const NoWorker WorkerID = -1

// RackID names a rack within one Pool; the caller hands out the numbers.
type RackID int32

// AnyRack lets a task run on every rack of the pool.
const AnyRack RackID = -1

const (
	blockSize = 32
	// maxCandidates bounds the workers that one search compares. More would
	// pack a little better and take longer; see docs/MEASUREMENTS.md.
	maxCandidates = 64
)

// Strategy says which of the workers with room is taken.
type Strategy uint8

const (
	// Pack takes the worker on which the least is left stranded.
	Pack Strategy = iota
	// Spread takes the worker with the most room.
	Spread
)

// Pool keeps what is free on each worker. Its zero value is empty.
type Pool struct {
	capacity []Vec
	free     []Vec
	inverse  [][NumDims]float32
	rack     []RackID
	closed   []bool
	slow     []bool
	held     []Handle
	groups   []map[int32]int32
	block    []Vec
	vacant   []WorkerID
	totalCap Vec
	// totalFree counts open workers only.
	totalFree Vec
	cursor    int
	open      int
	// unit is the room that one call needs; units counts how often it fits on
	// each open worker, and totalUnits on all of them.
	unit       Vec
	units      []int64
	totalUnits int64
}

// Add adds a worker and returns its number.
func (p *Pool) Add(rack RackID, capacity Vec) WorkerID {
	w := p.number()
	p.capacity[w] = capacity
	p.free[w] = capacity
	p.rack[w] = rack
	p.closed[w] = false
	p.held[w] = Handle{}
	p.groups[w] = nil
	for d, c := range capacity {
		p.inverse[w][d] = 0
		if c > 0 {
			p.inverse[w][d] = 1 / float32(c)
		}
	}
	p.totalCap = p.totalCap.Add(capacity)
	p.totalFree = p.totalFree.Add(capacity)
	p.open++
	p.refresh(w)
	return w
}

func (p *Pool) number() WorkerID {
	if n := len(p.vacant); n > 0 {
		w := p.vacant[n-1]
		p.vacant = p.vacant[:n-1]
		return w
	}
	p.capacity = append(p.capacity, Vec{})
	p.free = append(p.free, Vec{})
	p.inverse = append(p.inverse, [NumDims]float32{})
	p.rack = append(p.rack, 0)
	p.closed = append(p.closed, true)
	p.slow = append(p.slow, false)
	p.held = append(p.held, Handle{})
	p.groups = append(p.groups, nil)
	p.units = append(p.units, 0)
	if len(p.free) > len(p.block)*blockSize {
		p.block = append(p.block, Vec{})
	}
	return WorkerID(len(p.free) - 1)
}

// Remove takes a worker out. The caller has finished or moved its tasks.
func (p *Pool) Remove(w WorkerID) {
	p.Close(w)
	p.totalCap = p.totalCap.Sub(p.capacity[w])
	p.capacity[w] = Vec{}
	p.free[w] = Vec{}
	p.rack[w] = AnyRack
	p.vacant = append(p.vacant, w)
	p.refresh(w)
}

// Close stops new tasks on w; what runs there goes on.
func (p *Pool) Close(w WorkerID) {
	if p.closed[w] {
		return
	}
	p.closed[w] = true
	p.open--
	p.totalFree = p.totalFree.Sub(p.free[w])
	p.refresh(w)
}

// Open lets tasks start on w again.
func (p *Pool) Open(w WorkerID) {
	if !p.closed[w] {
		return
	}
	p.closed[w] = false
	p.open++
	p.totalFree = p.totalFree.Add(p.free[w])
	p.refresh(w)
}

// Take takes d from what is free on w.
func (p *Pool) Take(w WorkerID, d Vec) {
	p.free[w] = p.free[w].Sub(d)
	if !p.closed[w] {
		p.totalFree = p.totalFree.Sub(d)
	}
	p.refresh(w)
}

// Give gives d back to w.
func (p *Pool) Give(w WorkerID, d Vec) {
	p.Take(w, Vec{}.Sub(d))
}

// Free returns what is free on w.
func (p *Pool) Free(w WorkerID) Vec { return p.free[w] }

// Capacity returns what w has.
func (p *Pool) Capacity(w WorkerID) Vec { return p.capacity[w] }

// Rack returns the rack of w.
func (p *Pool) Rack(w WorkerID) RackID { return p.rack[w] }

// Closed reports whether w takes no new tasks.
func (p *Pool) Closed(w WorkerID) bool { return p.closed[w] }

// Total returns what all workers have, and what is free on the open ones.
func (p *Pool) Total() (capacity, free Vec) { return p.totalCap, p.totalFree }

// Hole returns, for a rack, what is free on its open workers and the largest
// free amount of a single one in each dimension.
func (p *Pool) Hole(rack RackID) (free, largest Vec) {
	for w := range p.free {
		if p.closed[w] || p.rack[w] != rack {
			continue
		}
		free = free.Add(p.free[w])
		largest = largest.Max(p.free[w])
	}
	return free, largest
}

// setUnit changes the room that one call needs.
func (p *Pool) setUnit(unit Vec) {
	p.unit = unit
	p.totalUnits = 0
	for w := range p.free {
		p.units[w] = 0
		p.count(WorkerID(w))
	}
}

// count counts the units that fit on w again.
func (p *Pool) count(w WorkerID) {
	n := int64(0)
	if !p.closed[w] && !p.unit.IsZero() {
		n = p.free[w].holds(p.unit)
	}
	p.totalUnits += n - p.units[w]
	p.units[w] = n
}

// refresh computes the largest free amounts of the block of w again.
func (p *Pool) refresh(w WorkerID) {
	p.count(w)
	b := int(w) / blockSize
	first := b * blockSize
	last := min(first+blockSize, len(p.free))
	var largest Vec
	for i := first; i < last; i++ {
		if !p.closed[i] {
			largest = largest.Max(p.free[i])
		}
	}
	p.block[b] = largest
}

// query is one search for a worker.
type query struct {
	demand   Vec
	rack     RackID
	strategy Strategy
	group    int32
	asker    Handle
	call     bool
	// sparing bounds the units that the task may take to spare; it counts
	// only if bounded is set.
	bounded bool
	sparing int64
}

// find returns the best worker for q, or NoWorker.
func (p *Pool) find(q *query) WorkerID {
	best := NoWorker
	bestScore := float32(math.MaxFloat32)
	seen := 0
	n := len(p.block)
	for i := 0; i < n && seen < maxCandidates; i++ {
		b := p.cursor + i
		if b >= n {
			b -= n
		}
		if !p.block[b].Covers(&q.demand) {
			continue
		}
		first := b * blockSize
		last := min(first+blockSize, len(p.free))
		for w := first; w < last; w++ {
			if !p.suits(w, q) {
				continue
			}
			seen++
			if s := p.score(w, q); s < bestScore {
				best, bestScore = WorkerID(w), s
			}
		}
	}
	if q.strategy == Spread && best != NoWorker {
		p.advance()
	}
	return best
}

// advance moves the start of the next search on, so that work that is spread
// does not fall on the first blocks of a large pool.
func (p *Pool) advance() {
	p.cursor++
	if p.cursor >= len(p.block) {
		p.cursor = 0
	}
}

func (p *Pool) suits(w int, q *query) bool {
	if p.closed[w] || !p.free[w].Covers(&q.demand) {
		return false
	}
	if q.rack != AnyRack && p.rack[w] != q.rack {
		return false
	}
	if p.held[w] != (Handle{}) && p.held[w] != q.asker {
		return false
	}
	if q.call && p.slow[w] {
		return false
	}
	return !q.bounded || p.loss(w, &q.demand) <= q.sparing
}

// loss returns the units that w would lose to a demand.
func (p *Pool) loss(w int, d *Vec) int64 {
	return p.units[w] - p.free[w].Sub(*d).holds(p.unit)
}

// groupPenalty outweighs any amount of free room: replicas of one service
// share a worker only when there is no other.
const groupPenalty = 100

// score is lower for better workers.
func (p *Pool) score(w int, q *query) float32 {
	var sum, most float32
	least := float32(1)
	for d := range q.demand {
		inv := p.inverse[w][d]
		if inv == 0 {
			continue
		}
		left := float32(p.free[w][d]-q.demand[d]) * inv
		sum += left
		most = max(most, left)
		least = min(least, left)
	}
	if q.strategy == Spread {
		return -sum + groupPenalty*float32(p.members(w, q.group))
	}
	// What is left in one dimension without the others is stranded.
	return sum + (most - least)
}

func (p *Pool) members(w int, group int32) int32 {
	if group == 0 || p.groups[w] == nil {
		return 0
	}
	return p.groups[w][group]
}

// join counts a member of a spread group in or out of w.
func (p *Pool) join(w WorkerID, group, delta int32) {
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
