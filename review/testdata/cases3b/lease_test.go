// SPDX-License-Identifier: Apache-2.0

package cases3b

import (
	"encoding/json"
	"os"
	"syscall"
	"time"

	"dewpass.org/internal/standin/world"
)

func init() { cases["lease"] = playLease }

// playLease changes the lease in the settings; then a worker is cut off and runs on, and the owner of the
// cell is killed.
func playLease(b *bed) []string {
	b.start(4, 2, nil)
	lasting := map[string]any{"spec": "lasts cpu=1000 mem=100", "steps": []any{
		map[string]any{"count": 2, "cpu": 1000, "mem_mb": 100, "estimate_ms": 1000, "long_running": true},
	}}
	for i := range 8 {
		b.submit(b.instances[i%len(b.instances)], lasting)
	}
	b.await("all tasks run", 15*time.Second, func() bool { return len(b.world.Book.Starts()) >= 16 })
	if trouble() && os.Getenv("SETTINGS") != "0" {
		for _, e := range b.instances {
			b.changeLease(e, "3s")
		}
	}
	b.sleepUntil(12 * time.Second)
	if trouble() {
		b.cutAndKill()
	}
	b.sleepUntil(30 * time.Second)
	b.noteRuns()
	return b.twice()
}

// cutAndKill cuts the worker that runs most off from all, and kills the owner of the cell.
func (b *bed) cutAndKill() {
	worker := b.busyWorker()
	b.note("worker %s is cut off and runs on", worker.ID)
	worker.SetFaults(world.WorkerFaults{Silent: true})
	b.mu.Lock()
	b.hidden[worker.ID] = true
	b.mu.Unlock()
	owner := b.owner()
	b.note("%s, the owner of the cell, is killed", owner.name)
	owner.kill()
	time.Sleep(5500 * time.Millisecond)
	worker.SetFaults(world.WorkerFaults{})
	b.mu.Lock()
	delete(b.hidden, worker.ID)
	b.mu.Unlock()
	b.note("worker %s is connected again", worker.ID)
}

// changeLease writes another lease into the settings of an instance and tells it.
func (b *bed) changeLease(e *instance, lease string) {
	raw, err := os.ReadFile(e.file)
	b.must(err)
	var s map[string]any
	b.must(json.Unmarshal(raw, &s))
	s["cluster"].(map[string]any)["lease"] = lease
	raw, err = json.MarshalIndent(s, "", "  ")
	b.must(err)
	b.must(os.WriteFile(e.file+".new", raw, 0o600))
	b.must(os.Rename(e.file+".new", e.file))
	_ = e.cmd.Process.Signal(syscall.SIGHUP)
	b.note("settings of %s: lease %s, SIGHUP", e.name, lease)
}

// busyWorker returns the worker that runs most.
func (b *bed) busyWorker() *world.Worker {
	runs := make(map[string]int)
	for _, s := range b.world.Book.Starts() {
		if s.Ended.IsZero() {
			runs[s.Worker]++
		}
	}
	var most *world.Worker
	for _, w := range b.world.ActiveWorkers() {
		if most == nil || runs[w.ID] > runs[most.ID] {
			most = w
		}
	}
	return most
}
