// SPDX-License-Identifier: Apache-2.0

package sched

import "time"

// entry is a waiting task in a heap, with what orders it.
type entry struct {
	handle Handle
	key    time.Duration
	seq    uint64
}

func (e *entry) before(o *entry) bool {
	if e.key != o.key {
		return e.key < o.key
	}
	return e.seq < o.seq
}

// heap is a binary heap of entries, the earliest first. Entries of tasks that
// no longer wait are dropped when they reach the top.
type heap []entry

func (h *heap) push(e entry) {
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

func (h *heap) pop() entry {
	s := *h
	top := s[0]
	last := len(s) - 1
	s[0] = s[last]
	*h = s[:last]
	h.sink(0)
	return top
}

func (h *heap) sink(i int) {
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
	heap heap
	live int
}

// classQueue holds the waiting tasks of one class.
type classQueue struct {
	teams []teamQueue
	// active lists the teams with entries, in no order.
	active []TeamID
	live   int
}

func (q *classQueue) push(team TeamID, e entry) {
	for int(team) >= len(q.teams) {
		q.teams = append(q.teams, teamQueue{})
	}
	t := &q.teams[team]
	if len(t.heap) == 0 {
		q.active = append(q.active, team)
	}
	t.heap.push(e)
	t.live++
	q.live++
}

// gone counts a task out that stopped waiting; its entry stays until it
// reaches the top.
func (q *classQueue) gone(team TeamID) {
	q.teams[team].live--
	q.live--
}

// drop takes the team at position i off the active list.
func (q *classQueue) drop(i int) {
	last := len(q.active) - 1
	q.active[i] = q.active[last]
	q.active = q.active[:last]
}
