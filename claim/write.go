// SPDX-License-Identifier: Apache-2.0

package claim

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"dewpass.org/internal/clock"
	"dewpass.org/kind"
	"dewpass.org/rows"
)

const (
	// outcomePollInterval is how often the lease is read, while a write has no response, to find
	// out whether the write took effect.
	outcomePollInterval = 150 * time.Millisecond
	// retryDelay is the delay between attempts of a write that failed.
	retryDelay = 40 * time.Millisecond
	// A write without a response that has not taken effect is sent again after resendFactor times
	// the average response time, within the bounds below: its response may be lost, and the write
	// may take effect seconds later or never.
	resendFactor   = 4
	minResendDelay = 200 * time.Millisecond
	maxResendDelay = 1500 * time.Millisecond
)

// write writes t together with the lease, naming owner as its holder.
func (c *Claim) write(ctx context.Context, owner string, t rows.Tx) (rows.Result, error) {
	c.writeCount++
	valid := min(max(writesPerValidity*c.lastWriteTook, MinValidity), MaxValidity)
	// However often the write is sent, the first attempt may be the one that takes effect, and
	// other instances may count the validity from then.
	begun := clock.Now()
	lease := Lease{
		Owner: owner, Boot: c.Boot, Addr: c.Addr, Epoch: c.epoch,
		Mark: c.newMark(), ValidMS: valid.Milliseconds(), WrittenMS: c.clock.upperBoundMS(begun),
	}
	if c.Absent != nil {
		lease.Absent = c.Absent()
	}
	raw, err := json.Marshal(lease)
	if err != nil {
		return rows.Result{}, kind.Wrap(kind.Internal, err, "cell lease")
	}
	t.Expect = append([]rows.Check{{Key: c.key(), Ver: c.ver}}, t.Expect...)
	t.Put = append([]rows.Row{{Key: c.key(), Value: raw}}, t.Put...)
	for {
		t.Expect[0].Ver = c.ver
		res, err := c.sendOnce(ctx, t, lease.Mark)
		if err == nil {
			c.lastWriteTook = clock.Since(begun)
			c.lastWrite.Store(&Write{Begun: begun, Ver: c.ver, Valid: valid, Absent: lease.Absent})
		}
		if err == nil || kind.Is(err, kind.Fenced) || kind.Is(err, kind.Conflict) || kind.Is(err, kind.BadRequest) {
			return res, err
		}
		if err := sleep(ctx, retryDelay); err != nil {
			return res, err
		}
	}
}

// newMark returns an identifier for the next write. It differs from those of another Claim of this
// instance, which may try to take the same epoch.
func (c *Claim) newMark() string {
	return c.markPrefix + strconv.FormatUint(c.writeCount, 10)
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return kind.Wrap(kind.Lost, ctx.Err(), "write to the store")
	}
}

// sendOnce sends the write once. While there is no response it polls the lease.
func (c *Claim) sendOnce(ctx context.Context, t rows.Tx, mark string) (rows.Result, error) {
	begun := clock.Now()
	send := rows.WriteAttempt{
		Store: c.Store, Tx: t, Interval: outcomePollInterval,
		Timeout: min(max(resendFactor*c.avgResponse, minResendDelay), maxResendDelay),
		Lookup:  func(ctx context.Context) (rows.Result, bool, error) { return c.readOutcome(ctx, mark) },
	}
	res, answered, err := send.Send(ctx)
	if !answered {
		return res, err
	}
	if err == nil {
		c.clock = storeClock{ms: res.ClockMS, requestedAt: begun}
		c.avgResponse += (clock.Since(begun) - c.avgResponse) / responseWeight
	}
	return c.resolve(ctx, res, err, mark)
}

// responseWeight is the divisor of the moving average of response times.
const responseWeight = 4

// resolve determines the outcome of a write from the response to it.
func (c *Claim) resolve(ctx context.Context, res rows.Result, err error, mark string) (rows.Result, error) {
	switch {
	case err != nil && kind.Is(err, kind.Lost):
		if seen, known, err := c.readOutcome(ctx, mark); known {
			return seen, err
		}
		return res, err
	case err != nil:
		return res, err
	case !res.Refused:
		c.ver = res.Ver
		return res, nil
	}
	for _, row := range res.Rows {
		if row.Key != c.key() || row.Ver == c.ver {
			continue
		}
		return c.outcomeFrom(row, mark)
	}
	return res, kind.New(kind.Conflict, "a row does not have the expected version")
}

// readOutcome reads the lease and reports whether it shows the outcome of the write.
func (c *Claim) readOutcome(ctx context.Context, mark string) (rows.Result, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, 4*outcomePollInterval)
	defer cancel()
	page, err := c.Store.Get(ctx, Range(c.Cell))
	if err != nil {
		return rows.Result{}, false, err
	}
	row := page.First()
	if row.Ver <= c.ver {
		// The row has not changed yet, or the response is stale.
		return rows.Result{}, false, nil
	}
	res, err := c.outcomeFrom(row, mark)
	return res, true, err
}

// outcomeFrom determines the outcome from a lease row that has changed, either by this write or by
// another owner.
func (c *Claim) outcomeFrom(row rows.Row, mark string) (rows.Result, error) {
	lease := decodeLease(row)
	switch {
	case lease.Mark == mark:
		c.ver = row.Ver
		return rows.Result{Ver: row.Ver}, nil
	case lease.Owner == c.Owner && strings.HasPrefix(lease.Mark, c.markPrefix):
		// An earlier write of this Claim, whose response it no longer waits for, took effect after
		// all. This write has to be sent again with the new version.
		c.ver = row.Ver
		return rows.Result{}, kind.New(kind.Lost, "an earlier write of this instance took effect first")
	}
	return rows.Result{}, kind.New(kind.Fenced, "another instance holds the cell's lease")
}
