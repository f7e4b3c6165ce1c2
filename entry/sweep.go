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
	sweepRole     = "sweep"
	sweepInterval = 10 * time.Second
	// instanceSweepInterval is long since a hall leaves only some hundred rows of
	// stopped instances a day.
	instanceSweepInterval = 10 * time.Minute
)

// sweep removes expired rows from the table until ctx ends. One instance of each
// hall does it.
func (e *Entry) sweep(ctx context.Context) {
	s := &expiry.Sweeper{Hall: e.settings.Hall, Table: e.platform, Objects: e.platform, Journal: e.journal}
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	var instances time.Time
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		now := clock.Now()
		if !e.ready() || e.cutOff() || !e.isLeader(sweepRole, now) {
			continue
		}
		e.sweepOnce(ctx, clock.Wall(), "jobs", s.SweepJobs)
		if now.Sub(instances) > instanceSweepInterval {
			instances = now
			e.sweepOnce(ctx, clock.Wall(), "instances", s.SweepInstances)
		}
	}
}

// sweepOnce runs one pass over the expired rows of one kind.
func (e *Entry) sweepOnce(ctx context.Context, now time.Time, what string, pass func(context.Context, time.Time) (int, error)) {
	n, err := pass(ctx, now)
	if err != nil {
		level.Warn(e.kit.Log).Log("msg", "sweep of expired rows failed", "of", what, "removed", n, "err", err)
		return
	}
	if n > 0 {
		level.Info(e.kit.Log).Log("msg", "expired rows removed", "of", what, "removed", n)
	}
}
