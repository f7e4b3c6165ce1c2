// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"sync"

	"dewpass.org/driver"
)

// jobCells is a bounded cache of the cells that run a job, its home cell first, and of who may use
// it. When current is full it becomes previous, and the previous half is dropped.
type jobCells struct {
	mu       sync.Mutex
	current  map[string]knownJob
	previous map[string]knownJob
}

// knownJob is what is remembered of a job.
type knownJob struct {
	// cells is nil if they are not known.
	cells  []string
	access driver.Access
	// rowRead says that the job's home row has been read, which does not name the account if access
	// is not known.
	rowRead bool
}

const maxJobCells = 20_000

func (h *jobCells) set(id string, cells []string) {
	h.update(id, func(j *knownJob) { j.cells = cells })
}

// setAccess records who may use a job.
func (h *jobCells) setAccess(id string, a driver.Access) {
	h.update(id, func(j *knownJob) { j.access = a })
}

// setRow records the content of a job's home row. A row that does not name the account does not
// replace what is known of it.
func (h *jobCells) setRow(id string, cells []string, a driver.Access) {
	h.update(id, func(j *knownJob) {
		j.cells, j.rowRead = cells, true
		if a.Known() {
			j.access = a
		}
	})
}

// setStored records a job that was just stored.
func (h *jobCells) setStored(id string, k storedJob) {
	if !k.access.Known() {
		h.set(id, k.cells)
		return
	}
	h.setRow(id, k.cells, k.access)
}

func (h *jobCells) update(id string, change func(*knownJob)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	j := h.lookup(id)
	change(&j)
	if h.current == nil || len(h.current) >= maxJobCells {
		h.current, h.previous = make(map[string]knownJob), h.current
	}
	h.current[id] = j
}

func (h *jobCells) drop(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.current, id)
	delete(h.previous, id)
}

// lookup returns what is remembered of a job. The caller must hold h.mu.
func (h *jobCells) lookup(id string) knownJob {
	if j, ok := h.current[id]; ok {
		return j
	}
	return h.previous[id]
}

// get returns the cells of a job, nil if they are not known.
func (h *jobCells) get(id string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lookup(id).cells
}

// access returns who may use a job, and whether the job's home row has been read.
func (h *jobCells) access(id string) (a driver.Access, rowRead bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	j := h.lookup(id)
	return j.access, j.rowRead
}
