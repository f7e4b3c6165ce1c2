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

// Event is one line of the workers' own book.
type Event struct {
	At      time.Time `json:"at"`
	Worker  string    `json:"worker"`
	What    string    `json:"what"`
	ID      string    `json:"id,omitempty"`
	Attempt uint32    `json:"attempt,omitempty"`
	Tag     string    `json:"tag,omitempty"`
}

// Summary is what the record says of the promises.
type Summary struct {
	Starts   int `json:"starts"`
	Finishes int `json:"finishes"`
	// Over lists moments at which a worker was given more than it had.
	Over []string `json:"over"`
	// Doubled lists tasks that ran in two places at once.
	Doubled []string `json:"doubled"`
	// Repeated lists work that must start at most once and started again.
	Repeated []string `json:"repeated"`
	// AfterLeaving lists starts at a worker that had been leaving for more
	// than three seconds.
	AfterLeaving []string `json:"after_leaving"`
	// Cut lists calls that were ended before they were done.
	Cut []string `json:"cut"`
	// PeakShare is the largest share of the scarcest resource in use at once.
	PeakShare float64 `json:"peak_share"`
	// MeanShare is its average over time since the first start.
	MeanShare float64 `json:"mean_share"`
}

// OK reports whether no promise was broken.
func (s *Summary) OK() bool {
	return len(s.Over)+len(s.Doubled)+len(s.Repeated)+len(s.AfterLeaving) == 0
}

// leavingGrace is how long after its notice a leaving worker may still get
// work.
const leavingGrace = 3 * time.Second

const maxEvents = 200000

// Record is the workers' common book.
type Record struct {
	mu      sync.Mutex
	events  []Event
	summary Summary
	// running holds where each task runs, by its id.
	running map[string]string
	// tags counts starts by the caller's own tag.
	tags     map[string]int
	capacity sched.Vec
	used     sched.Vec
	area     float64
	first    time.Time
	last     time.Time
}

func (r *Record) addCapacity(v sched.Vec) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.capacity = r.capacity.Add(v)
}

// start writes down a start. tag is the caller's own name for the request.
func (r *Record) start(worker string, t *ports.Task, tag string, over bool, leavingSince time.Time) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	r.note(Event{At: now, Worker: worker, What: "start", ID: t.ID, Attempt: t.Attempt, Tag: tag})
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
	r.use(now, t.Demand)
}

func (r *Record) countTag(t *ports.Task, tag, line string) {
	if tag == "" {
		return
	}
	r.tags[tag]++
	if t.Repeat == ports.RepeatNever && r.tags[tag] > 1 {
		r.summary.Repeated = append(r.summary.Repeated, tag+" "+line)
	}
}

// end writes down that a task no longer runs.
func (r *Record) end(worker, what string, t *ports.Task, held sched.Vec) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	r.note(Event{At: now, Worker: worker, What: what, ID: t.ID, Attempt: t.Attempt})
	if what == string(ports.TaskFinished) {
		r.summary.Finishes++
	} else if t.Call {
		r.summary.Cut = append(r.summary.Cut, fmt.Sprintf("%s at %s %s", t.ID, worker, what))
	}
	if r.running[t.ID] == worker {
		delete(r.running, t.ID)
	}
	r.use(now, sched.Vec{}.Sub(held))
}

// adjust writes down that a running task holds more or less than before.
func (r *Record) adjust(delta sched.Vec) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.use(time.Now(), delta)
}

func (r *Record) init() {
	if r.running == nil {
		r.running = make(map[string]string)
		r.tags = make(map[string]int)
	}
}

func (r *Record) note(e Event) {
	if len(r.events) < maxEvents {
		r.events = append(r.events, e)
	}
}

func (r *Record) use(now time.Time, delta sched.Vec) {
	share := r.used.Share(r.capacity)
	if r.first.IsZero() {
		r.first = now
	} else {
		r.area += share * now.Sub(r.last).Seconds()
	}
	r.last = now
	r.used = r.used.Add(delta)
	r.summary.PeakShare = max(r.summary.PeakShare, r.used.Share(r.capacity))
}

// Summary returns what the record says so far.
func (r *Record) Summary() Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.summary
	if d := r.last.Sub(r.first).Seconds(); d > 0 {
		s.MeanShare = r.area / d
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

// over writes down that a resumed task took a worker past what it has.
func (r *Record) over(worker string, t *ports.Task) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.summary.Over = append(r.summary.Over, fmt.Sprintf("%s#%d resumed at %s", t.ID, t.Attempt, worker))
}
