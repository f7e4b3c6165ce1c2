// SPDX-License-Identifier: Apache-2.0

package outage

import "time"

// MinFailedWorkers is how many workers of a hall must not have answered, with no answer of the hall
// since, for the hall to be suspect. One worker that fails says nothing of the others, and two may share
// what broke.
const MinFailedWorkers = 3

// Detector is what an owner observes of the halls of its workers. The zero value has observed
// nothing.
type Detector struct {
	halls map[string]*observation
	// answeredAt is when a worker of any hall last answered.
	answeredAt time.Time
}

// observation is what was observed of one hall.
type observation struct {
	// failed are the workers that did not answer since one of the hall last did, and since is when
	// that was found for the first of them.
	failed map[string]bool
	since  time.Time
}

// Answered records that a worker of a hall answered.
func (d *Detector) Answered(hall string, now time.Time) {
	delete(d.halls, hall)
	d.answeredAt = now
}

// Failed records that a worker of a hall did not answer, or refused the connection.
func (d *Detector) Failed(hall, worker string, now time.Time) {
	o := d.halls[hall]
	if o == nil {
		o = &observation{failed: make(map[string]bool), since: now}
		if d.halls == nil {
			d.halls = make(map[string]*observation)
		}
		d.halls[hall] = o
	}
	o.failed[worker] = true
}

// Suspect reports whether a hall may be cut off: several of its workers have failed and none has
// answered since, while workers of other halls have. Without those, it is this instance that is cut
// off or did not run, which says nothing of the hall.
func (d *Detector) Suspect(hall string) bool {
	o := d.halls[hall]
	return o != nil && len(o.failed) >= MinFailedWorkers && d.answeredAt.After(o.since)
}
