// SPDX-License-Identifier: Apache-2.0

package main

import "fmt"

// longDay is a day written by hand, for a fault that needs more time, or more of
// one disruption, than the days of a few tens of seconds have.
type longDay struct {
	name    string
	seed    uint64
	lengthS float64
	entries []entry
}

const (
	// restartsS is how long the day of restarts lasts. A job can be asked for until
	// two minutes after its end, and clients ask for all jobs once more until 15 s
	// after the day: what was accepted before the last outage, and ended in it, is
	// asked for after more than two minutes from its acceptance and less from its
	// end.
	restartsS = 122.0
	// outageS is how long parts of the store fail.
	outageS = 6.0
	// In an outage, killsInTurn kills, each of the instances that were killed the
	// least, begin after killsAfterS, when jobs have ended, and are as far apart as
	// a restart takes: on the smallest deployments they meet every instance, and so
	// the owner, before the store is back.
	killsInTurn, killsAfterS, killsEveryS = 8, 1.7, 0.55
)

const (
	// lateS is how long the day of late restarts lasts: jobs are asked for up to 15 s
	// after it, some seconds less than the 120 s for which they are kept after the
	// first seconds of the day.
	lateS = 109.0
	// rollAtS is when the restarts begin, so that all are over with the day.
	rollAtS = 88.0
)

const (
	// growthS is how long the day of a growing configuration lasts.
	growthS = 80.0
	// growthRoutes is by how many routes the configuration grows at each step.
	growthRoutes = 1400
	// followS is the pause between a large version of the configuration and the
	// small change that follows it. The operator holds the second back until the
	// first is acknowledged; some instances are still reading the large one then.
	followS = 0.3
)

// outagesAt are when parts of the store fail in the day of restarts, in seconds.
var outagesAt = []float64{2, 17}

// growthAt are when the configuration grows, in seconds.
var growthAt = []float64{8, 36, 64}

// longRestarts returns a day in which owners are lost between the two writes that
// a job's end takes: that of its record, into the part of its cell, and that which
// archives the end, into the part of its id. Where some parts of the store fail for
// seconds, the first goes through and the second does not; without, they are some
// tens of milliseconds apart, and planned restarts in turn meet them now and then.
// The next owner finds a record that says that the job is over and no archived end.
// The job must still be known for the whole retention after its end, whatever the
// time of its acceptance. The last owner is left alone for the rest of the day, as
// only the owner that found the record may forget the job too early.
func longRestarts() longDay {
	outage := disruption{kind: "platform_down", with: fmt.Sprintf(`share = 0.2, for_s = %.1f, how = "busy"`, outageS)}
	roll := disruption{kind: "roll_term", with: `share = 1.0, x = 1.0, gap_s = 0.6, how = "busy"`, planned: true}
	kill := disruption{kind: "node_kill", with: `share = 0.14, how = "turn"`}
	burst := disruption{kind: "burst", with: `x = 2.0, for_s = 8.0`}
	day := longDay{name: "long-restarts", seed: 4711, lengthS: restartsS}
	day.entries = append(day.entries, entry{roll, 0.5}, entry{burst, 11})
	for _, at := range outagesAt {
		day.entries = append(day.entries, entry{outage, at})
		for i := range killsInTurn {
			day.entries = append(day.entries, entry{kill, at + killsAfterS + float64(i)*killsEveryS})
		}
	}
	return day
}

// growingConfig returns a day in which the configuration grows by many routes
// three times, and a small change follows each time at once. An instance whose
// link takes seconds for the whole document must still act on the newest version
// within the time that a change may take.
func growingConfig() longDay {
	grow := disruption{kind: "big_config", with: fmt.Sprintf("count = %d", growthRoutes), planned: true}
	change := disruption{kind: "config_change", with: `how = "idle"`, planned: true}
	day := longDay{name: "growing-config", seed: 4711, lengthS: growthS}
	for _, at := range growthAt {
		day.entries = append(day.entries, entry{grow, at}, entry{change, at + followS})
	}
	return day
}

// lateRestarts returns a day in which the cell changes hands late: jobs that were
// accepted before the traffic have then been over for longer than their owner is one,
// and are asked for two minutes after their acceptance.
func lateRestarts() longDay {
	roll := disruption{kind: "roll_term", with: `share = 1.0, x = 1.0, gap_s = 1.0`, planned: true}
	return longDay{name: "late-restarts", seed: 4711, lengthS: lateS, entries: []entry{{roll, rollAtS}}}
}

// longDays returns the days that are written by hand.
func longDays() []longDay { return []longDay{longRestarts(), lateRestarts(), growingConfig()} }

// text returns the name and the text of the day.
func (d longDay) text() (string, string) {
	return d.name, day(d.name, d.seed, d.lengthS, d.entries)
}
