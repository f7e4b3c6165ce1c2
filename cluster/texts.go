// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"slices"
	"sync"
	"time"
)

const (
	// textsMost is how many texts of jobs an instance keeps that sends orders for owners: of
	// 4 KB each at the most, 1 MB.
	textsMost = 256
	// givenFor is for how long an owner takes it that an instance has a text it was given.
	givenFor = 20 * time.Second
)

// texts keeps the texts of the jobs for which orders were sent last. Its zero value is empty.
type texts struct {
	mu    sync.Mutex
	texts map[string]string
	// order holds the jobs, the one used last at the end.
	order []string
}

// get returns the text of a job, "" if it is not here.
func (t *texts) get(job string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.texts[job]
}

// set keeps the text of a job that is used.
func (t *texts) set(job, text string) {
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
	for len(t.order) > textsMost {
		delete(t.texts, t.order[0])
		t.order = slices.Delete(t.order, 0, 1)
	}
}

// given says which instances an owner has given the text of a job. Its zero value is empty.
type given struct {
	mu   sync.Mutex
	jobs map[string]*givenText
}

type givenText struct {
	to   []string
	last time.Time
}

// add notes that an instance has the text of a job.
func (g *given) add(job, name string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.jobs == nil {
		g.jobs = make(map[string]*givenText)
	}
	t := g.jobs[job]
	if t == nil {
		g.forget(now)
		t = &givenText{}
		g.jobs[job] = t
	}
	t.last = now
	if !slices.Contains(t.to, name) {
		t.to = append(t.to, name)
	}
}

// forget removes the jobs for which nothing was sent in a while. The lock is held.
func (g *given) forget(now time.Time) {
	for job, t := range g.jobs {
		if now.Sub(t.last) > givenFor {
			delete(g.jobs, job)
		}
	}
}

// holders returns the instances that have the text of a job.
func (g *given) holders(job string, now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t := g.jobs[job]; t != nil && now.Sub(t.last) <= givenFor {
		return slices.Clone(t.to)
	}
	return nil
}
