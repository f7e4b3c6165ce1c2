// SPDX-License-Identifier: Apache-2.0

package sched

import "time"

// queueEntry is a waiting task in a heap, with its sort key. Entries with equal keys are
// ordered by seq.
type queueEntry struct {
	handle Handle
	key    time.Duration
	seq    uint64
}

func (e *queueEntry) before(o *queueEntry) bool {
	if e.key != o.key {
		return e.key < o.key
	}
	return e.seq < o.seq
}

// heap is a binary min-heap of entries. Entries of tasks that no longer wait are dropped when
// they reach the top.
type heap []queueEntry

func (h *heap) push(e queueEntry) {
	*h = append(*h, e)
	s := *h
	i := len(s) - 1
	for i > 0 {
		up := (i - 1) / 2
		if !s[i].before(&s[up]) {
			return
		}
		s[i], s[up] = s[up], s[i]
		i = up
	}
}

func (h *heap) pop() queueEntry {
	s := *h
	top := s[0]
	last := len(s) - 1
	s[0] = s[last]
	*h = s[:last]
	h.siftDown(0)
	return top
}

func (h *heap) siftDown(i int) {
	s := *h
	for {
		least := i
		for _, child := range [2]int{2*i + 1, 2*i + 2} {
			if child < len(s) && s[child].before(&s[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		s[i], s[least] = s[least], s[i]
		i = least
	}
}

// teamQueue holds the waiting tasks of one team in one class.
type teamQueue struct {
	heap      heap
	liveCount int
}

// classQueue holds the waiting tasks of one class.
type classQueue struct {
	teams []teamQueue
	// active lists the teams with entries, in no particular order.
	active    []TeamID
	liveCount int
}

func (q *classQueue) push(team TeamID, e queueEntry) {
	for int(team) >= len(q.teams) {
		q.teams = append(q.teams, teamQueue{})
	}
	t := &q.teams[team]
	if len(t.heap) == 0 {
		q.active = append(q.active, team)
	}
	t.heap.push(e)
	t.liveCount++
	q.liveCount++
}

// removeLive takes a task that no longer waits out of the counts. Its entry stays in the heap until
// it reaches the top.
func (q *classQueue) removeLive(team TeamID) {
	q.teams[team].liveCount--
	q.liveCount--
}

// deactivate removes the team at index i from the active list.
func (q *classQueue) deactivate(i int) {
	last := len(q.active) - 1
	q.active[i] = q.active[last]
	q.active = q.active[:last]
}
