// SPDX-License-Identifier: Apache-2.0

package telemetry

import (
	"time"

	"github.com/uber-go/tally/v4"

	"dewpass.org/kind"
)

// LatencyBuckets returns the buckets of latency histograms. Their bounds double from
// one millisecond to about eight seconds.
func LatencyBuckets() tally.DurationBuckets {
	return tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, latencyBucketCount)
}

const latencyBucketCount = 14

// okOutcome is the outcome label of calls without an error. The label of failed calls
// is the name of the error's kind.
const okOutcome = "ok"

// CallMetrics records the calls to one service: the counter NAME_calls_total by operation and
// outcome, and the histogram NAME_call_seconds by operation.
type CallMetrics struct {
	name    string
	scope   tally.Scope
	buckets tally.DurationBuckets
}

// NewCallMetrics returns the metrics of calls to the service name.
func NewCallMetrics(scope tally.Scope, name string) *CallMetrics {
	return &CallMetrics{name: name, scope: scope, buckets: LatencyBuckets()}
}

// Record records a call of operation op that started at start and ended with err.
func (c *CallMetrics) Record(op string, start time.Time, err error) {
	outcome := okOutcome
	if err != nil {
		outcome = kind.Of(err).Kind.String()
	}
	byOp := c.scope.Tagged(map[string]string{"op": op})
	byOp.Histogram(c.name+"_call_seconds", c.buckets).RecordDuration(time.Since(start))
	c.scope.Tagged(map[string]string{"op": op, "outcome": outcome}).Counter(c.name + "_calls_total").Inc(1)
}
