// SPDX-License-Identifier: Apache-2.0

package halls

import (
	"os"
	"strconv"
	"time"
)

func init() { cases["cut"] = playCut }

// playCut cuts the hall of the cell's owner off for longer than the owner remembers the instances of
// the other hall.
func playCut(b *bed) []string {
	b.start(4, 2)
	ids := b.submitLong()
	b.sleepUntil(12 * time.Second)
	owner := b.owner()
	length := 40 * time.Second
	if s, err := strconv.Atoi(os.Getenv("CUT_SECONDS")); err == nil {
		length = time.Duration(s) * time.Second
	}
	side := owner.hall
	if os.Getenv("CUT_SIDE") == "other" {
		side = b.otherHall(owner)
	}
	begun := time.Now()
	if trouble() {
		b.cutHall(side, true)
	}
	time.Sleep(time.Until(begun.Add(length)))
	b.note("owner of the cell by the store: %s", b.owner().name)
	broken := b.twice()
	if trouble() {
		b.cutHall(side, false)
	}
	time.Sleep(8 * time.Second)
	for _, id := range ids {
		b.call(b.owner(), "GET", id, nil)
	}
	b.noteRuns()
	return append(broken, b.twice()[len(broken):]...)
}

// otherHall returns the hall in which an instance is not.
func (b *bed) otherHall(e *instance) string {
	if e.hall == north {
		return south
	}
	return north
}

// submitLong hands in jobs that last and jobs whose tasks take longer than the case, and waits until all
// of their tasks run. Those that take long are drawn to both halls.
func (b *bed) submitLong() []string {
	lasting := map[string]any{"spec": "lasts cpu=500 mem=100", "steps": []any{
		map[string]any{"count": 2, "cpu": 500, "mem_mb": 100, "estimate_ms": 1000, "long_running": true},
	}}
	long := map[string]any{"spec": "ms=200000 cpu=500 mem=100", "steps": []any{
		map[string]any{"count": 2, "cpu": 500, "mem_mb": 100, "estimate_ms": 200000},
	}}
	var ids []string
	for i := range 8 {
		e := b.instances[i%len(b.instances)]
		ids = append(ids, b.submit(e, lasting), b.submit(e, long))
	}
	b.await("all tasks run", 15*time.Second, func() bool { return len(b.world.Book.Starts()) >= 32 })
	return ids
}
