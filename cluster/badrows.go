// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"sync"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"dewpass.org/rows"
	"dewpass.org/telemetry"
)

// maxLoggedRows limits the rows that are remembered as logged.
const maxLoggedRows = 1000

// badRows counts the rows of the store that cannot be read, and logs each version of such a row
// once.
type badRows struct {
	log   log.Logger
	count tally.Counter

	mu     sync.Mutex
	logged map[rows.Key]uint64
}

func newBadRows(kit *telemetry.Kit) *badRows {
	return &badRows{log: kit.Log, count: kit.Scope.Counter("bad_rows_total")}
}

func (b *badRows) note(all []rows.BadRow) {
	if len(all) == 0 {
		return
	}
	b.count.Inc(int64(len(all)))
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, row := range all {
		if ver, ok := b.logged[row.Key]; ok && ver == row.Ver {
			continue
		}
		if b.logged == nil || len(b.logged) >= maxLoggedRows {
			b.logged = make(map[rows.Key]uint64)
		}
		b.logged[row.Key] = row.Ver
		level.Warn(b.log).Log("event", "bad_row", "table", row.Table, "part", row.Part, "row", row.Name, "version", row.Ver, "why", row.Reason)
	}
}
