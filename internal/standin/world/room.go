// SPDX-License-Identifier: Apache-2.0

package world

import "time"

// capacityGrace is how long after a worker's capacity has shrunk its owner may still plan with the
// old capacity: 3 s to contact the worker plus one heartbeat.
const capacityGrace = 3*time.Second + heartbeatInterval

// Resize changes the capacity of a running worker and writes its entry at once.
func (w *World) Resize(n *Worker, cpu, mem int64) {
	n.mu.Lock()
	most := n.maxCapacity(time.Now())
	n.prevCPU, n.prevMem = max(most.CPU, cpu), max(most.Mem, mem)
	n.prevUntil = time.Now().Add(capacityGrace)
	n.cpu, n.mem = cpu, mem
	n.mu.Unlock()
	w.heartbeat(n)
}

// maxCapacity returns what the runs of the worker may use together: for capacityGrace after Resize the
// larger of the old and the new capacity. The lock must be held.
func (w *Worker) maxCapacity(now time.Time) job {
	if now.Before(w.prevUntil) {
		return job{CPU: max(w.cpu, w.prevCPU), Mem: max(w.mem, w.prevMem)}
	}
	return job{CPU: w.cpu, Mem: w.mem}
}
