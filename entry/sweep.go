// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/expiry"
	"dewpass.org/internal/clock"
)

const (
	sweepRole  = "sweep"
	sweepEvery = 10 * time.Second
	// sweepInstancesEvery is rare: a hall's instances leave some hundred rows
	// a day.
	sweepInstancesEvery = 10 * time.Minute
)

// sweep removes what is due from the table until ctx ends. One instance of
// each hall does it.
func (e *Entry) sweep(ctx context.Context) {
	s := &expiry.Sweeper{Hall: e.settings.Hall, Table: e.platform, Objects: e.platform, Journal: e.journal}
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	var instances time.Time
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		now := clock.Now()
		if !e.ready() || e.cutOff() || !e.leads(sweepRole, now) {
			continue
		}
		e.sweepOnce(ctx, clock.Wall(), "jobs", s.SweepJobs)
		if now.Sub(instances) > sweepInstancesEvery {
			instances = now
			e.sweepOnce(ctx, clock.Wall(), "instances", s.SweepInstances)
		}
	}
}

// sweepOnce makes one pass over rows of one sort.
func (e *Entry) sweepOnce(ctx context.Context, now time.Time, what string, pass func(context.Context, time.Time) (int, error)) {
	n, err := pass(ctx, now)
	if err != nil {
		level.Warn(e.kit.Log).Log("msg", "table not swept to the end", "of", what, "removed", n, "err", err)
		return
	}
	if n > 0 {
		level.Info(e.kit.Log).Log("msg", "table swept", "of", what, "removed", n)
	}
}
