// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"dewpass.org/rows"
)

// trafficLogInterval is the interval between log lines on the store traffic of an instance.
const trafficLogInterval = 10 * time.Second

// storeUse is a kind of call to the store: the operation and the table.
type storeUse struct{ op, table string }

// usage is how often and with how many bytes the store was used.
type usage struct {
	calls, failed int
	bytes         int
}

// storeTraffic sums up what this instance asks of the store, by operation and table. All instances
// share the store, so what each of them asks for limits how many there can be.
type storeTraffic struct {
	log   log.Logger
	scope tally.Scope

	mu    sync.Mutex
	byUse map[storeUse]usage
}

func newStoreTraffic(logger log.Logger, scope tally.Scope) *storeTraffic {
	return &storeTraffic{log: logger, scope: scope, byUse: make(map[storeUse]usage)}
}

// note records a call. bytes is the size of the request and of its answer.
func (t *storeTraffic) note(use storeUse, bytes int, err error) {
	scope := t.scope.Tagged(map[string]string{"op": use.op, "table": use.table})
	scope.Counter("store_bytes_total").Inc(int64(bytes))
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.byUse[use]
	u.calls++
	u.bytes += bytes
	if err != nil {
		u.failed++
	}
	t.byUse[use] = u
}

// take returns the traffic since the last call.
func (t *storeTraffic) take() map[storeUse]usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	taken := t.byUse
	t.byUse = make(map[storeUse]usage)
	return taken
}

// logLoop logs the traffic periodically until ctx ends.
func (t *storeTraffic) logLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, trafficLogInterval)
		t.logOnce()
	}
}

// logOnce logs the traffic since the last line, with a field for each use: calls, failed calls and
// bytes.
func (t *storeTraffic) logOnce() {
	taken := t.take()
	if len(taken) == 0 {
		return
	}
	uses := slices.SortedFunc(maps.Keys(taken), func(a, b storeUse) int {
		return cmp.Or(cmp.Compare(a.op, b.op), cmp.Compare(a.table, b.table))
	})
	line := []any{"event", "store_traffic"}
	for _, use := range uses {
		u := taken[use]
		line = append(line, use.op+"_"+use.table, fmt.Sprintf("%d %d %d", u.calls, u.failed, u.bytes))
	}
	level.Info(t.log).Log(line...)
}

// tableOf returns the table of a transaction's first row.
func tableOf(t *rows.Tx) string {
	switch {
	case len(t.Put) > 0:
		return t.Put[0].Table
	case len(t.Remove) > 0:
		return t.Remove[0].Table
	case len(t.Expect) > 0:
		return t.Expect[0].Table
	}
	return ""
}
