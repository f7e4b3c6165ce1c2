// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxJobTexts is how many texts of jobs an instance caches for relaying orders: at most 4 KB
	// each, 1 MB in total.
	maxJobTexts = 256
	// holderTTL is how long an owner assumes that an instance still has a text that it was sent.
	holderTTL = 20 * time.Second
)

// jobTexts caches the texts of the jobs whose orders were relayed last. The zero value is empty.
type jobTexts struct {
	mu    sync.Mutex
	texts map[string]string
	// order holds the jobs, the least recently used first.
	order []string
}

// get returns the text of a job, "" if it is not cached.
func (t *jobTexts) get(job string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.texts[job]
}

// set caches the text of a job as the most recently used one.
func (t *jobTexts) set(job, text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.texts == nil {
		t.texts = make(map[string]string)
	}
	if at := slices.Index(t.order, job); at >= 0 {
		t.order = slices.Delete(t.order, at, at+1)
	}
	t.texts[job] = text
	t.order = append(t.order, job)
	for len(t.order) > maxJobTexts {
		delete(t.texts, t.order[0])
		t.order = slices.Delete(t.order, 0, 1)
	}
}

// textHolders records to which instances an owner has sent the text of a job. The zero value is
// empty.
type textHolders struct {
	mu   sync.Mutex
	jobs map[string]*holderList
}

type holderList struct {
	instances []string
	lastSent  time.Time
}

// add records that an instance has the text of a job.
func (g *textHolders) add(job, name string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.jobs == nil {
		g.jobs = make(map[string]*holderList)
	}
	t := g.jobs[job]
	if t == nil {
		g.forget(now)
		t = &holderList{}
		g.jobs[job] = t
	}
	t.lastSent = now
	if !slices.Contains(t.instances, name) {
		t.instances = append(t.instances, name)
	}
}

// forget removes the jobs for which nothing was sent for holderTTL. The caller must hold g.mu.
func (g *textHolders) forget(now time.Time) {
	for job, t := range g.jobs {
		if now.Sub(t.lastSent) > holderTTL {
			delete(g.jobs, job)
		}
	}
}

// holders returns the instances that have the text of a job.
func (g *textHolders) holders(job string, now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t := g.jobs[job]; t != nil && now.Sub(t.lastSent) <= holderTTL {
		return slices.Clone(t.instances)
	}
	return nil
}
