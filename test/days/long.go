// SPDX-License-Identifier: Apache-2.0

package main

import "fmt"

// longDay is a scenario written by hand, for a fault that takes more time, or more
// occurrences of one disruption, than the usual days of a few tens of seconds have.
type longDay struct {
	name      string
	seed      uint64
	durationS float64
	entries   []entry
}

const (
	// longRestartsDurationS is the duration of the day long-restarts, in seconds. The status of
	// a job is kept for two minutes after its end, and clients query all jobs again until 15 s
	// after the day. A job that was accepted before the last outage and ended during it is thus
	// queried more than two minutes after its acceptance, but less than two after its end.
	longRestartsDurationS = 122.0
	// outageS is the duration of an outage of a part of the store, in seconds.
	outageS = 6.0
	// During an outage, killsInTurn kills start after killsAfterS, when jobs have ended. Each
	// kills the instances that were killed the least so far, and the next one follows after
	// killsEveryS, which is the time of a restart. On the smallest deployments they reach
	// every instance, and so the owner, before the store is available again.
	killsInTurn, killsAfterS, killsEveryS = 8, 1.7, 0.55
)

const (
	// lateRestartsDurationS is the duration of the day late-restarts, in seconds: jobs are
	// queried up to 15 s after it, some seconds before the retention time of 120 s ends for
	// those that finished in the first seconds.
	lateRestartsDurationS = 109.0
	// rollStartS is when the restarts begin, early enough to end within the day.
	rollStartS = 88.0
)

const (
	// growingConfigDurationS is the duration of the day growing-config, in seconds.
	growingConfigDurationS = 80.0
	// growthRoutes is the number of routes that each growth adds to the configuration.
	growthRoutes = 1400
	// followUpDelayS is the delay between a large change of the configuration and the small
	// change that follows it. The operator sends the second only after the first is
	// acknowledged, when some instances are still reading the large version.
	followUpDelayS = 0.3
)

// outageStarts are the times at which parts of the store fail in the day long-restarts, in
// seconds.
var outageStarts = []float64{2, 17}

// growthStarts are the times at which the configuration grows, in seconds.
var growthStarts = []float64{8, 36, 64}

// longRestarts returns a day in which owners are lost between the two writes at the end of a
// job: the write of its record, to the part of the store that holds its cell, and the write
// that archives the end, to the part that holds its id. While some parts of the store are
// unavailable for seconds, the first write may succeed and the second fail. Without an outage
// the two are only some tens of milliseconds apart, and planned restarts rarely fall between.
// The next owner finds a record of a finished job, but no archived end. The job must still be
// known for the whole retention time after its end, whenever it was accepted. The last owner
// is not disturbed for the rest of the day, as only the owner that found the record may drop
// the job too early.
func longRestarts() longDay {
	outage := disruption{kind: "platform_down", params: fmt.Sprintf(`share = 0.2, for_s = %.1f, how = "busy"`, outageS)}
	roll := disruption{kind: "roll_term", params: `share = 1.0, x = 1.0, gap_s = 0.6, how = "busy"`, planned: true}
	kill := disruption{kind: "node_kill", params: `share = 0.14, how = "turn"`}
	burst := disruption{kind: "burst", params: `x = 2.0, for_s = 8.0`}
	day := longDay{name: "long-restarts", seed: 4711, durationS: longRestartsDurationS}
	day.entries = append(day.entries, entry{roll, 0.5}, entry{burst, 11})
	for _, at := range outageStarts {
		day.entries = append(day.entries, entry{outage, at})
		for i := range killsInTurn {
			day.entries = append(day.entries, entry{kill, at + killsAfterS + float64(i)*killsEveryS})
		}
	}
	return day
}

// growingConfig returns a day in which the configuration grows by many routes three times,
// each time followed at once by a small change. An instance whose link takes seconds to
// transfer the whole document must still apply the newest version within the time that a
// change may take.
func growingConfig() longDay {
	grow := disruption{kind: "big_config", params: fmt.Sprintf("count = %d", growthRoutes), planned: true}
	change := disruption{kind: "config_change", params: `how = "idle"`, planned: true}
	day := longDay{name: "growing-config", seed: 4711, durationS: growingConfigDurationS}
	for _, at := range growthStarts {
		day.entries = append(day.entries, entry{grow, at}, entry{change, at + followUpDelayS})
	}
	return day
}

// lateRestarts returns a day in which the cell changes its owner late. Jobs that were accepted
// before the traffic have by then been finished for longer than their new owner has owned the
// cell, and are queried two minutes after their acceptance.
func lateRestarts() longDay {
	roll := disruption{kind: "roll_term", params: `share = 1.0, x = 1.0, gap_s = 1.0`, planned: true}
	return longDay{name: "late-restarts", seed: 4711, durationS: lateRestartsDurationS, entries: []entry{{roll, rollStartS}}}
}

// longDays returns the days written by hand.
func longDays() []longDay { return []longDay{longRestarts(), lateRestarts(), growingConfig()} }

// render returns the name of the day and the text of its file.
func (d longDay) render() (string, string) {
	return d.name, formatDay(d.name, d.seed, d.durationS, d.entries)
}
