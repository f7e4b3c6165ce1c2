// SPDX-License-Identifier: Apache-2.0

package telemetry

import (
	"time"

	"github.com/uber-go/tally/v4"

	"dewpass.org/kind"
)

// Latency returns the bounds of the histograms of waits: from a millisecond up to
// eight seconds, each twice the one before.
func Latency() tally.DurationBuckets {
	return tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, latencyBounds)
}

const latencyBounds = 14

// okOutcome is the outcome of a call without an error; those with one have its kind.
const okOutcome = "ok"

// Calls counts the calls to one service: NAME_calls_total by operation and outcome,
// and NAME_call_seconds by operation.
type Calls struct {
	name  string
	scope tally.Scope
	bound tally.DurationBuckets
}

// NewCalls returns the counts of a service.
func NewCalls(scope tally.Scope, name string) *Calls {
	return &Calls{name: name, scope: scope, bound: Latency()}
}

// Done counts a call that was begun at begun and has ended with err.
func (c *Calls) Done(op string, begun time.Time, err error) {
	outcome := okOutcome
	if err != nil {
		outcome = kind.Of(err).Kind.String()
	}
	byOp := c.scope.Tagged(map[string]string{"op": op})
	byOp.Histogram(c.name+"_call_seconds", c.bound).RecordDuration(time.Since(begun))
	c.scope.Tagged(map[string]string{"op": op, "outcome": outcome}).Counter(c.name + "_calls_total").Inc(1)
}
