// SPDX-License-Identifier: Apache-2.0

package cases3b

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"time"

	"dewpass.org/internal/standin/world"
)

func init() { cases["failed"] = playFailed }

// playFailed crashes one worker after another, each drawn at random, under jobs that last.
func playFailed(b *bed) []string {
	const crashes, interval, down = 36, 2500 * time.Millisecond, 2 * time.Second
	b.start(4, 2, nil)
	lasting := map[string]any{"spec": "lasts cpu=1000 mem=100", "steps": []any{
		map[string]any{"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 1000, "long_running": true},
	}}
	var ids []string
	for i := range 12 {
		ids = append(ids, b.submit(b.instances[i%len(b.instances)], lasting))
	}
	b.await("all tasks run", 15*time.Second, func() bool { return len(b.world.Book.Starts()) >= len(ids) })
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	random := rand.New(rand.NewPCG(seed, 3))
	begun := time.Now()
	for i := range crashes {
		time.Sleep(time.Until(begun.Add(time.Duration(i) * interval)))
		up := b.world.ActiveWorkers()
		if n := up[random.IntN(len(up))]; trouble() {
			b.note("crash of worker %s, 1 of %d", n.ID, len(up))
			b.world.Crash(n, world.Restart{Down: down})
		}
	}
	time.Sleep(8 * time.Second)
	var broken []string
	for i, id := range ids {
		if _, state := b.call(b.instances[i%len(b.instances)], "GET", id, nil); state == "failed" || state == "canceled" {
			broken = append(broken, fmt.Sprintf("LOST: job %s is shown as %s; runs of it that ended as failed: %d", id, state, b.failedRuns(id)))
		}
	}
	b.noteRuns()
	return broken
}

// failedRuns counts the runs of a job that ended as failed.
func (b *bed) failedRuns(id string) int {
	n := 0
	for _, s := range b.world.Book.Starts() {
		if s.Outcome == "failed" && len(s.Task) > len(id) && s.Task[:len(id)] == id {
			n++
		}
	}
	return n
}
