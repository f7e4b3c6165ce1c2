// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"time"

	"dewpass.org/internal/clock"
)

// departure is the end of a job, or its move to another rack.
type departure struct {
	// version is the version of the job's row that says so.
	version uint64
	at      time.Time
}

// departureRetention is longer than the answer to a read may take.
const departureRetention = time.Minute

// depart removes a job that has ended or was moved. Its row may have been read before, by a scan
// whose answer comes only now: started by that row, the job would run again. The lock is held.
func (o *Owner) depart(js *jobState, version uint64) {
	delete(o.jobs, js.row.ID)
	o.departed[js.row.ID] = departure{version: version, at: clock.Now()}
}

// hasDeparted reports whether a version of a job's row is from before its end or move. The lock is
// held.
func (o *Owner) hasDeparted(id string, version uint64) bool { return version < o.departed[id].version }

// forgetDepartures removes old departures. The lock is held.
func (o *Owner) forgetDepartures() {
	now := clock.Now()
	for id, d := range o.departed {
		if now.Sub(d.at) > departureRetention {
			delete(o.departed, id)
		}
	}
}
