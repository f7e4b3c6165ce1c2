// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/internal/clock"
)

// suspendedLeast is the shortest suspension that is told of: shorter ones cost no lease.
const suspendedLeast = 50 * time.Millisecond

// suspensions follows for how long the machine was suspended.
type suspensions struct {
	total func() time.Duration
	seen  time.Duration
}

// last returns how much longer the machine was suspended since the last call that returned
// some, 0 for next to nothing.
func (s *suspensions) last() time.Duration {
	total := s.total()
	more := total - s.seen
	if more < suspendedLeast {
		return 0
	}
	s.seen = total
	return more
}

// tellSuspended logs that the machine was suspended. All leases count that time, so that what
// was valid before is not any more.
func (n *Instance) tellSuspended(s *suspensions) {
	if more := s.last(); more > 0 {
		n.kit.Scope.Counter("suspensions_total").Inc(1)
		level.Warn(n.kit.Log).Log("event", "suspended", "for_ms", more.Milliseconds(), "all_ms", clock.Suspended().Milliseconds())
	}
}
