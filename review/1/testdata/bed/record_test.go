// SPDX-License-Identifier: Apache-2.0

//go:build review

package bed

import (
	"time"
)

func init() { cases["record"] = playedCase{48, playRecord} }

// playRecord crashes the worker that runs a wide step. The rule is LOST: from 4 s after the worker is
// back nothing disturbs the deployment, and still the job has nothing running.
func playRecord(b *bed, trouble bool) int {
	const tasks, down = 1500, 4500 * time.Millisecond
	const workers = 48
	time.Sleep(4 * time.Second)
	var lasting []string
	for range 4 {
		id := newID()
		if !b.submit(id, "lasts", step{"count": 1, "cpu": 200, "mem_mb": 32, "long_running": true}) {
			return cannotRun
		}
		lasting = append(lasting, id)
	}
	id := newID()
	if !b.submit(id, "ms=15000", step{"count": tasks, "cpu": 20, "mem_mb": 32, "estimate_ms": 15000}) {
		return cannotRun
	}
	if !waitFor(12*time.Second, func() bool { return b.running(id) == tasks }) {
		b.book.note("only %d of %d tasks have been started", b.running(id), tasks)
		return cannotRun
	}
	w, most := b.busiest(id)
	first, last := b.book.starts(id)
	b.book.note("%d tasks run, %d of them on %s; they were started within %.3f s", tasks, most, w.id, last.Sub(first).Seconds())
	time.Sleep(2 * time.Second)
	if trouble {
		w.crash(down)
	}
	// The worker is back after down; 4 s more are calm before the 3 s that the rule names.
	time.Sleep(down + 4*time.Second)
	idle, longest := time.Time{}, time.Duration(0)
	end := time.Now().Add(45 * time.Second)
	state := ""
	for time.Now().Before(end) {
		state = b.state(id)
		if state == "succeeded" || state == "failed" || state == "canceled" || state == "410" {
			break
		}
		switch {
		case b.running(id) > 0 || b.running("") > len(lasting):
			idle = time.Time{}
		case idle.IsZero():
			idle = time.Now()
		default:
			longest = max(longest, time.Since(idle))
		}
		if longest > 15*time.Second {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	b.book.note("the job is shown as %q; its runs by their end: %v; it had nothing running for %.1f s in a row", state, b.book.endings(id), longest.Seconds())
	b.book.note("all workers together have %d runs, each of 0.2 cores, of %d cores", b.running(""), workers*workerCPU/1000)
	acked := 0
	for i, id := range lasting {
		if b.cancel(id, i) {
			acked++
		}
	}
	b.book.note("%d of %d cancels of other jobs were acknowledged", acked, len(lasting))
	b.book.note("ends that wait to be taken note of: %d", b.unobserved())
	switch {
	case longest >= 3*time.Second:
		b.book.note("LOST is broken: the job has nothing running for %.1f s while its tasks wait and the workers have room", longest.Seconds())
		return broken
	case state != "succeeded":
		b.book.note("the job has not ended, but has runs")
		return cannotRun
	}
	return held
}
