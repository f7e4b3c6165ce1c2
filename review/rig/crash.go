// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"net/http"
	"time"
)

// crashedThrice hands in a job of tasks that last, and crashes the worker of one of them, again after
// that task was started elsewhere. No run ends as failed.
func crashedThrice(b *bed, trouble bool) (verdict, error) {
	const (
		tasks   = 4
		downFor = 4 * time.Second
	)
	// How long after each start of the task its worker crashes.
	afterStart := []time.Duration{4000 * time.Millisecond, 7500 * time.Millisecond, 5500 * time.Millisecond, 9000 * time.Millisecond}
	add := func(i, life int) error {
		_, err := b.addWorker(machine{
			id: fmt.Sprintf("w%02d-%d", i, life), backend: "desk", zone: zones[i%len(zones)], rack: fmt.Sprintf("r%d-%d", i%len(zones), i/12), label: "a",
			cpu: 16000, mem: 32768,
		})
		return err
	}
	for i := range 48 {
		if err := add(i, 1); err != nil {
			return verdict{}, err
		}
	}
	if err := b.addInstances(3); err != nil {
		return verdict{}, err
	}
	b.configure(1, []route{{"q", "/q/", "desk"}})
	if err := b.run(); err != nil {
		return verdict{}, err
	}
	time.Sleep(3 * time.Second)
	id := jobID(1)
	body := job("lasts", step{"count": tasks, "cpu": 3000, "mem_mb": 1024, "long_running": true, "anti_affinity": 1, "estimate_ms": 500})
	if status, _ := b.call(b.instances[0], http.MethodPost, "/q/"+id, body, 3*time.Second); status != http.StatusOK {
		return verdict{}, fmt.Errorf("the job was not accepted: %d", status)
	}
	struck := id + ".0.0.0"
	state, crashes, seen := "", 0, 0
	for turn := 0; trouble && turn < len(afterStart); turn++ {
		var last run
		if !await(15*time.Second, func() bool {
			for _, r := range b.book.runs(struck) {
				if r.number > seen && r.ended.IsZero() {
					last = r
				}
			}
			return last.number > seen
		}) {
			break
		}
		seen = last.number
		time.Sleep(afterStart[turn])
		for i, w := range b.allWorkers() {
			if w.id == last.worker {
				b.record.add("platform: worker %s crashes, and another process starts on its machine %v later", w.id, downFor)
				w.crash()
				crashes++
				time.AfterFunc(downFor, func() { _ = add(i%48, 2+turn) })
			}
		}
		if await(10*time.Second, func() bool {
			time.Sleep(time.Second)
			state = b.state(b.instances[0], "/q/"+id)
			return state == "failed" || b.runningSince(struck, seen) > 0
		}) && state == "failed" {
			break
		}
	}
	time.Sleep(10 * time.Second)
	state = b.state(b.instances[0], "/q/"+id)
	failed, running := 0, b.runningSince(id, 0)
	all := b.book.runs(id)
	for i := range all {
		if all[i].how == "failed" {
			failed++
		}
	}
	if state == "failed" {
		return broken("LOST: after %d crashes of single workers, the job of %d tasks that last is shown as failed, and %d of its tasks run; %d of its %d runs ended as failed, and nobody has cancelled it",
			crashes, tasks, running, failed, len(all)), nil
	}
	return held("the job is shown as %q, and %d of its %d tasks run, after %d crashes of single workers", state, running, tasks, crashes), nil
}

// runningSince counts the runs of a job, or of a task, that are running and whose number is above one.
func (b *bed) runningSince(name string, number int) int {
	n := 0
	for _, r := range b.book.runs(name) {
		if r.number > number && r.ended.IsZero() {
			n++
		}
	}
	return n
}
