// SPDX-License-Identifier: Apache-2.0

package cluster

import "sync"

// maxRecentJobs is how many jobs a recentJobs remembers at least, more than clients ask for at a time.
const maxRecentJobs = 1024

// recentJobs remembers the jobs that were noted last, so that a log line is written once for each and not
// for every request. The zero value is empty.
type recentJobs struct {
	mu sync.Mutex
	// previous is the former current, replaced when that is full.
	current, previous map[string]struct{}
}

// note reports whether a job was not remembered, and remembers it.
func (r *recentJobs) note(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.current[id]; ok {
		return false
	}
	_, known := r.previous[id]
	if r.current == nil || len(r.current) >= maxRecentJobs {
		r.current, r.previous = make(map[string]struct{}), r.current
	}
	r.current[id] = struct{}{}
	return !known
}
