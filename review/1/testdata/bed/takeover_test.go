// SPDX-License-Identifier: Apache-2.0

//go:build review

package bed

import (
	"syscall"
	"time"
)

func init() { cases["takeover"] = playedCase{48, playTakeover} }

// playTakeover freezes the instance that gives the orders while the tasks of a wide step are about to
// end. The rule is TWICE.
func playTakeover(b *bed, trouble bool) int {
	const tasks, length = 1500, 4 * time.Second
	time.Sleep(4 * time.Second)
	id := newID()
	if !b.submit(id, "ms=4000", step{"count": tasks, "cpu": 20, "mem_mb": 32, "estimate_ms": length.Milliseconds()}) {
		return cannotRun
	}
	if !waitFor(15*time.Second, func() bool { return b.running(id) == tasks }) {
		b.book.note("only %d of %d tasks have been started", b.running(id), tasks)
		return cannotRun
	}
	first, last := b.book.starts(id)
	w, most := b.busiest(id)
	b.book.note("%d tasks run, %d of them on %s; they were started within %.3f s", tasks, most, w.id, last.Sub(first).Seconds())
	time.Sleep(time.Until(first.Add(length - 200*time.Millisecond)))
	if trouble {
		e := b.leader()
		if e == nil {
			return cannotRun
		}
		e.signal(syscall.SIGSTOP)
		b.book.note("%s, which gives the orders, freezes", e.name)
		time.AfterFunc(4*time.Second, func() {
			e.signal(syscall.SIGCONT)
			b.book.note("%s wakes again", e.name)
		})
	}
	state := b.awaitState(id, 40*time.Second, "succeeded", "failed", "canceled", "410")
	time.Sleep(5 * time.Second)
	b.book.note("runs of the job by their end: %v", b.book.endings(id))
	found := b.book.twice(id)
	for _, line := range found[:min(len(found), 5)] {
		b.book.note("TWICE: %s", line)
	}
	b.book.note("TWICE is broken by %d starts; the job is shown as %s", len(found), state)
	if len(found) > 0 {
		return broken
	}
	return held
}
