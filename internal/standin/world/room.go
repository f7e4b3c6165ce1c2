// SPDX-License-Identifier: Apache-2.0

package world

import "time"

// roomCounts is how long after its room has shrunk what a worker is given beyond that counts
// against its owner: a contact of 3 s and a beat.
const roomCounts = 3*time.Second + beatEvery

// Resize changes the room of a worker while it runs, which its next entry shows.
func (w *World) Resize(n *Worker, cpu, mem int64) {
	n.mu.Lock()
	most := n.most(time.Now())
	n.hadCPU, n.hadMem = max(most.CPU, cpu), max(most.Mem, mem)
	n.hadUntil = time.Now().Add(roomCounts)
	n.cpu, n.mem = cpu, mem
	n.mu.Unlock()
	w.beat(n)
}

// most returns the most that the worker may carry. The lock is held.
func (w *Worker) most(now time.Time) job {
	if now.Before(w.hadUntil) {
		return job{CPU: max(w.cpu, w.hadCPU), Mem: max(w.mem, w.hadMem)}
	}
	return job{CPU: w.cpu, Mem: w.mem}
}
