// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/internal/clock"
)

// minSuspension is the shortest suspension that is reported: shorter ones cost no lease.
const minSuspension = 50 * time.Millisecond

// suspensionTracker tracks for how long the machine was suspended. total returns the total so far.
type suspensionTracker struct {
	total    func() time.Duration
	reported time.Duration
}

// sinceReported returns for how long the machine was suspended since the last call that returned
// more than 0. It returns 0 for less than minSuspension.
func (s *suspensionTracker) sinceReported() time.Duration {
	total := s.total()
	more := total - s.reported
	if more < minSuspension {
		return 0
	}
	s.reported = total
	return more
}

// reportSuspension logs and counts a suspension of the machine. All leases count that time, so that
// leases that were valid before may have expired.
func (n *Instance) reportSuspension(s *suspensionTracker) {
	if more := s.sinceReported(); more > 0 {
		n.kit.Scope.Counter("suspensions_total").Inc(1)
		level.Warn(n.kit.Log).Log("event", "suspended", "for_ms", more.Milliseconds(), "all_ms", clock.Suspended().Milliseconds())
	}
}
