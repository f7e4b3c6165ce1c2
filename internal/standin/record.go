// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"dewpass.org/ports"
	"dewpass.org/sched"
)

// Event is one entry of the Record.
type Event struct {
	At      time.Time `json:"at"`
	Worker  string    `json:"worker"`
	What    string    `json:"what"`
	ID      string    `json:"id,omitempty"`
	Attempt uint32    `json:"attempt,omitempty"`
	Tag     string    `json:"tag,omitempty"`
}

// Summary counts the events of the Record and lists the violations in them.
type Summary struct {
	Starts   int `json:"starts"`
	Finishes int `json:"finishes"`
	// Over lists the starts and resumptions that took a worker beyond its
	// capacity.
	Over []string `json:"over"`
	// Doubled lists tasks that ran on two workers at once.
	Doubled []string `json:"doubled"`
	// Repeated lists requests that must run at most once and started again.
	Repeated []string `json:"repeated"`
	// AfterLeaving lists starts on a worker that had been leaving for longer
	// than leavingGrace.
	AfterLeaving []string `json:"after_leaving"`
	// Cut lists calls that ended before they were finished.
	Cut []string `json:"cut"`
	// PeakShare is the largest share of the scarcest resource in use.
	PeakShare float64 `json:"peak_share"`
	// MeanShare is its average over time since the first start.
	MeanShare float64 `json:"mean_share"`
}

// OK reports whether there is no violation. A call that was cut is none.
func (s *Summary) OK() bool {
	return len(s.Over)+len(s.Doubled)+len(s.Repeated)+len(s.AfterLeaving) == 0
}

// leavingGrace is how long tasks may still start on a worker after it has
// announced that it is leaving.
const leavingGrace = 3 * time.Second

const maxEvents = 200000

// Record holds the events of all workers.
type Record struct {
	mu      sync.Mutex
	events  []Event
	summary Summary
	// running holds the worker on which each task runs, by the id of the task.
	running map[string]string
	// tags counts starts by the caller's own tag.
	tags     map[string]int
	capacity sched.Vec
	used     sched.Vec
	// shareSeconds is the integral of the used share over the seconds from firstUse to
	// lastUse.
	shareSeconds float64
	firstUse     time.Time
	lastUse      time.Time
}

func (r *Record) addCapacity(v sched.Vec) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.capacity = r.capacity.Add(v)
}

// start records a start. tag is the caller's own name for the request.
func (r *Record) start(worker string, t *ports.Task, tag string, over bool, leavingSince time.Time) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	r.addEvent(Event{At: now, Worker: worker, What: "start", ID: t.ID, Attempt: t.Attempt, Tag: tag})
	r.summary.Starts++
	line := fmt.Sprintf("%s#%d at %s", t.ID, t.Attempt, worker)
	if over {
		r.summary.Over = append(r.summary.Over, line)
	}
	if other := r.running[t.ID]; other != "" {
		r.summary.Doubled = append(r.summary.Doubled, line+" and "+other)
	}
	r.running[t.ID] = worker
	r.countTag(t, tag, line)
	if !leavingSince.IsZero() && now.Sub(leavingSince) > leavingGrace {
		r.summary.AfterLeaving = append(r.summary.AfterLeaving, line)
	}
	r.addUse(now, t.Demand)
}

// countTag counts a start of a request and records a violation if it must not run twice.
func (r *Record) countTag(t *ports.Task, tag, line string) {
	if tag == "" {
		return
	}
	r.tags[tag]++
	if t.Repeat == ports.RepeatNever && r.tags[tag] > 1 {
		r.summary.Repeated = append(r.summary.Repeated, tag+" "+line)
	}
}

// end records that a task no longer runs and no longer holds its resources.
func (r *Record) end(worker, what string, t *ports.Task, held sched.Vec) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	r.addEvent(Event{At: now, Worker: worker, What: what, ID: t.ID, Attempt: t.Attempt})
	if what == string(ports.TaskFinished) {
		r.summary.Finishes++
	} else if t.Call {
		r.summary.Cut = append(r.summary.Cut, fmt.Sprintf("%s at %s %s", t.ID, worker, what))
	}
	if r.running[t.ID] == worker {
		delete(r.running, t.ID)
	}
	r.addUse(now, sched.Vec{}.Sub(held))
}

// adjust records that a running task holds more or fewer resources than before.
func (r *Record) adjust(delta sched.Vec) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addUse(time.Now(), delta)
}

func (r *Record) init() {
	if r.running == nil {
		r.running = make(map[string]string)
		r.tags = make(map[string]int)
	}
}

func (r *Record) addEvent(e Event) {
	if len(r.events) < maxEvents {
		r.events = append(r.events, e)
	}
}

// addUse integrates the used share up to now and then changes the used resources.
func (r *Record) addUse(now time.Time, delta sched.Vec) {
	share := r.used.Share(r.capacity)
	if r.firstUse.IsZero() {
		r.firstUse = now
	} else {
		r.shareSeconds += share * now.Sub(r.lastUse).Seconds()
	}
	r.lastUse = now
	r.used = r.used.Add(delta)
	r.summary.PeakShare = max(r.summary.PeakShare, r.used.Share(r.capacity))
}

// Summary returns the summary of all events so far.
func (r *Record) Summary() Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.summary
	if d := r.lastUse.Sub(r.firstUse).Seconds(); d > 0 {
		s.MeanShare = r.shareSeconds / d
	}
	return s
}

func (r *Record) tagsHandler(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	tags := make(map[string]int, len(r.tags))
	for tag, n := range r.tags {
		tags[tag] = n
	}
	r.mu.Unlock()
	writeJSON(w, tags)
}

func (r *Record) summaryHandler(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, r.Summary())
}

func (r *Record) eventsHandler(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	events := r.events[:len(r.events):len(r.events)]
	r.mu.Unlock()
	writeJSON(w, events)
}

// resumedBeyondCapacity records that a resumed task took a worker beyond its capacity.
func (r *Record) resumedBeyondCapacity(worker string, t *ports.Task) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.summary.Over = append(r.summary.Over, fmt.Sprintf("%s#%d resumed at %s", t.ID, t.Attempt, worker))
}
