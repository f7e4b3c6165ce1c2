// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"dewpass.org/settings"
)

// GC target percentages (GOGC). An idle instance has processor time to spare, so
// it keeps its heap small. At that target a busy instance would collect many
// times a second, and each collection delays the calls in progress.
// docs/MEASUREMENTS.md has latencies of lookups before and after.
const (
	idlePercent = 40
	busyPercent = 400
)

const (
	tuneInterval = time.Second
	// busyCycles is the number of collections per tuneInterval that makes an instance busy.
	busyCycles = 4
	// idleAfter is the number of consecutive intervals with at most one collection
	// after which a busy instance counts as idle again.
	idleAfter = 10
)

// configureMemory sets a memory limit only if the settings have one: a limit below
// the live heap would make the runtime collect continuously.
func configureMemory(s *settings.Settings) {
	debug.SetGCPercent(idlePercent)
	if s.MemoryLimitMiB > 0 {
		debug.SetMemoryLimit(s.MemoryLimitMiB << 20)
	}
}

// gcTuner chooses the GC target by the rate of collections. Its zero value is idle.
type gcTuner struct {
	busy          bool
	idleIntervals int
}

// gcPercent returns the target after an interval with a number of collections.
func (c *gcTuner) gcPercent(cycles uint64) int {
	switch {
	case cycles >= busyCycles:
		c.busy, c.idleIntervals = true, 0
	case cycles > 1:
		c.idleIntervals = 0
	default:
		c.idleIntervals++
	}
	if c.idleIntervals >= idleAfter {
		c.busy = false
	}
	if c.busy {
		return busyPercent
	}
	return idlePercent
}

const cyclesMetric = "/gc/cycles/total:gc-cycles"

// tuneGC adjusts the GC target to the rate of collections until ctx ends.
func tuneGC(ctx context.Context) {
	t := time.NewTicker(tuneInterval)
	defer t.Stop()
	sample := []metrics.Sample{{Name: cyclesMetric}}
	metrics.Read(sample)
	before, now := sample[0].Value.Uint64(), idlePercent
	var c gcTuner
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		metrics.Read(sample)
		cycles := sample[0].Value.Uint64()
		if want := c.gcPercent(cycles - before); want != now {
			debug.SetGCPercent(want)
			now = want
		}
		before = cycles
	}
}
