// SPDX-License-Identifier: Apache-2.0

package headroom

import "dewpass.org/sched"

const (
	// maxKeptDivisor limits what is kept: at most the pool's capacity divided by maxKeptDivisor.
	maxKeptDivisor = 4
	// Whole is the permitted fraction, in thousandths, if urgent tasks may run on every worker.
	Whole = 1000
	// unitParts is the number of parts of a unit, the precision to which incomplete units are
	// counted.
	unitParts = 8
	// maxParts limits the parts counted on one worker, which are unbounded for a zero unit.
	maxParts = 1 << 20
)

// Need is the input of a decision.
type Need struct {
	// Unit is the demand of one urgent task.
	Unit sched.Vec
	// Units is how many units urgent work needs, including the Running ones that it uses now.
	Units, Running int64
	// Permitted is the fraction of the workers, in thousandths, that may run an urgent task.
	Permitted int64
}

// Rest returns the units that have to be free now, before the limit by the size of the pool.
func (n *Need) Rest() int64 {
	if n.Unit.IsZero() || n.Units <= n.Running {
		return 0
	}
	permitted := min(max(n.Permitted, 1), Whole)
	return ((n.Units-n.Running)*Whole + permitted - 1) / permitted
}

// Room is the room of a pool during one decision. New makes one.
type Room struct {
	need Need
	// capacity counts the units of the empty workers, and free those that are free now.
	capacity, free int64
	// incomplete counts the workers by the parts that they have free beyond their whole units.
	incomplete [unitParts]int64
	// mostLeft is, for each dimension, at least the largest amount that any worker has free beyond
	// its whole units.
	mostLeft sched.Vec
	// lastSize and lastUnits are the size of the last worker added and its units. Workers have few
	// sizes, and the divisions make up most of the cost of a pass.
	lastSize  sched.Vec
	lastUnits int64
}

// Parts is the free room of a worker in parts of a unit.
type Parts int64

func (p Parts) units() int64 { return int64(p / unitParts) }

// New returns a Room without workers.
func New(need Need) Room { return Room{need: need} }

// AddWorker adds a worker by its size and its free room, and returns its free parts.
func (r *Room) AddWorker(size, free *sched.Vec) Parts {
	if *size != r.lastSize {
		r.lastSize, r.lastUnits = *size, r.parts(size).units()
	}
	r.capacity += r.lastUnits
	r.incomplete[0]++
	return r.Update(0, free)
}

// Update replaces the free parts of a worker after its free room has changed, and returns the new
// number.
func (r *Room) Update(before Parts, free *sched.Vec) Parts {
	parts := r.parts(free)
	units := parts.units()
	r.free += units - before.units()
	r.incomplete[before%unitParts]--
	r.incomplete[parts%unitParts]++
	for d := range free {
		r.mostLeft[d] = max(r.mostLeft[d], free[d]-units*r.need.Unit[d])
	}
	return parts
}

// UrgentStarted records that an urgent task has been given room in this decision.
func (r *Room) UrgentStarted() { r.need.Running++ }

// Kept returns the number of units that have to stay free.
func (r *Room) Kept() int64 { return min(r.need.Rest(), r.capacity/maxKeptDivisor) }

// Free returns the number of free units.
func (r *Room) Free() int64 { return r.free }

// Spare returns how many free units other tasks may take. It is negative while fewer units are free
// than have to be.
func (r *Room) Spare() int64 { return r.free - r.Kept() }

// Cost returns how many free units are lost when room is taken on a worker.
func (r *Room) Cost(free, room *sched.Vec) int64 {
	left := free.Sub(*room)
	return r.parts(free).units() - r.parts(&left).units()
}

// MayTake reports whether a task of another queue may take room on a worker with free room: there
// are units to spare, or it costs none. While units are missing, it may not take incomplete ones
// that are needed to complete as many.
func (r *Room) MayTake(free, room *sched.Vec) bool {
	spare := r.Spare()
	if cost := r.Cost(free, room); cost > 0 || spare >= 0 {
		return cost <= spare
	}
	part := r.parts(free) % unitParts
	return part == 0 || r.atLeast(part) > -spare
}

// Take takes room on a worker with free room if MayTake permits it, and reports whether it did.
func (r *Room) Take(free, room *sched.Vec) bool {
	if !r.MayTake(free, room) {
		return false
	}
	left := free.Sub(*room)
	r.Update(r.parts(free), &left)
	return true
}

// atLeast counts the workers whose incomplete unit has at least part of its parts.
func (r *Room) atLeast(part Parts) int64 {
	var n int64
	for _, workers := range r.incomplete[part:] {
		n += workers
	}
	return n
}

// MayTakeAnywhere reports whether there may be a worker on which a task of another queue may take
// room. If not, the workers need not be examined one by one.
func (r *Room) MayTakeAnywhere(room *sched.Vec) bool {
	spare, parts := r.Spare(), r.parts(room)
	if max(parts.units(), 1) <= spare {
		return true
	}
	return r.mostLeft.Covers(room) && (spare >= 0 || parts == 0 || r.atLeast(1) > -spare)
}

// parts returns how many parts of a unit fit into v. A product is compared before a quotient is
// computed, as a division takes several times as long.
func (r *Room) parts(v *sched.Vec) Parts {
	n := int64(maxParts)
	for d := range v {
		if size := r.need.Unit[d]; size > 0 && unitParts*v[d] < n*size {
			if unitParts*v[d] < size {
				return 0
			}
			n = unitParts * v[d] / size
		}
	}
	return Parts(n)
}
