// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"dewpass.org/settings"
)

// The collector's target, in percent of what is live. An instance with little
// to do has plenty of processor time and is asked to be small. One that is busy
// would collect many times a second at that target, and each time hold up the
// calls of that moment. docs/MEASUREMENTS.md has lookups before and after.
const (
	idlePercent = 40
	busyPercent = 400
)

const (
	tuneEvery = time.Second
	// busyCycles is how many collections in a tuneEvery make an instance busy.
	busyCycles = 4
	// calmAfter is how many times in a row there must have been at most one
	// before a busy instance counts as idle again.
	calmAfter = 10
)

// limitMemory sets a limit only if the settings do: one below what is live
// would make the runtime collect without end.
func limitMemory(s *settings.Settings) {
	debug.SetGCPercent(idlePercent)
	if s.MemoryLimitMiB > 0 {
		debug.SetMemoryLimit(s.MemoryLimitMiB << 20)
	}
}

// collector follows how busy the collector is. Its zero value is idle.
type collector struct {
	busy bool
	calm int
}

// percent returns the target after a span with some collections.
func (c *collector) percent(cycles uint64) int {
	switch {
	case cycles >= busyCycles:
		c.busy, c.calm = true, 0
	case cycles > 1:
		c.calm = 0
	default:
		c.calm++
	}
	if c.calm >= calmAfter {
		c.busy = false
	}
	if c.busy {
		return busyPercent
	}
	return idlePercent
}

const cyclesMetric = "/gc/cycles/total:gc-cycles"

// tuneCollector sets the collector's target by what there is to do until ctx
// ends.
func tuneCollector(ctx context.Context) {
	t := time.NewTicker(tuneEvery)
	defer t.Stop()
	sample := []metrics.Sample{{Name: cyclesMetric}}
	metrics.Read(sample)
	before, now := sample[0].Value.Uint64(), idlePercent
	var c collector
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		metrics.Read(sample)
		cycles := sample[0].Value.Uint64()
		if want := c.percent(cycles - before); want != now {
			debug.SetGCPercent(want)
			now = want
		}
		before = cycles
	}
}
