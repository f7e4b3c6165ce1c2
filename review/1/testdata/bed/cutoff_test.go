// SPDX-License-Identifier: Apache-2.0

//go:build review

package bed

import (
	"sync"
	"time"
)

func init() { cases["cutoff"] = playedCase{48, playCutoff} }

// playCutoff cuts a worker off for a few seconds under a steady load of short tasks. The rule is LOST:
// from 4 s after the cut nothing disturbs the deployment, and still jobs have nothing running.
func playCutoff(b *bed, trouble bool) int {
	const (
		tasks = 150
		every = 250 * time.Millisecond
		cut   = 3500 * time.Millisecond
		calm  = 4 * time.Second
		// enough is how many tasks the worker has when it is cut off.
		enough = 700
		// finish is finish_s.
		finish = 14 * time.Second
	)
	time.Sleep(4 * time.Second)
	var jobs []string
	accepted := make(map[string]time.Time)
	refused := false
	stop := make(chan struct{})
	var sending sync.WaitGroup
	sending.Go(func() {
		tick := time.NewTicker(every)
		defer tick.Stop()
		for {
			id := newID()
			if !b.submit(id, "ms=2000", step{"count": tasks, "cpu": 20, "mem_mb": 32, "estimate_ms": 2000, "affinity": "r1-0"}) {
				refused = true
			}
			jobs = append(jobs, id)
			accepted[id] = time.Now()
			select {
			case <-tick.C:
			case <-stop:
				return
			}
		}
	})
	time.Sleep(5 * time.Second)
	waitFor(10*time.Second, func() bool { _, n := b.busiest(""); return n >= enough })
	w, most := b.busiest("")
	b.book.note("%d runs on %s", most, w.id)
	if trouble {
		w.setCut(true)
		time.AfterFunc(cut, func() { w.setCut(false) })
	}
	time.Sleep(cut + time.Second)
	close(stop)
	sending.Wait()
	b.book.note("the traffic ends")
	if refused || most < enough {
		return cannotRun
	}
	// From calm after the cut on, nothing disturbs the deployment. A job counts as lost if nothing of it
	// has run since then, and one of its tasks is neither under way nor has ended done.
	time.Sleep(finish)
	lost, unknown, unnoted := 0, 0, 0
	b.book.note("all workers together have %d runs", b.running(""))
	for _, id := range jobs {
		state := b.state(id)
		waiting, idle := b.book.waiting(id, tasks, accepted[id])
		switch {
		case state == "succeeded":
		case state == "" || state == "410":
			unknown++
		case waiting > 0 && idle >= finish-calm:
			lost++
			if lost <= 5 {
				b.book.note("%s is shown as %q; its runs by their end: %v; %d of its %d tasks wait, and nothing of it has run for %.1f s", id, state, b.book.endings(id), waiting, tasks, idle.Seconds())
			}
		default:
			unnoted++
		}
	}
	b.book.note("of %d jobs, LOST is broken for %d; %d are not known; %d have ended without being shown as succeeded", len(jobs), lost, unknown, unnoted)
	b.book.note("ends that wait to be taken note of: %d", b.unobserved())
	if lost+unknown > 0 {
		return broken
	}
	return held
}
