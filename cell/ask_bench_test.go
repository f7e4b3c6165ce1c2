// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"fmt"
	"testing"
	"time"

	"dewpass.org/flow"
	"dewpass.org/sched"
)

// benchWaiting measures decisions about waiting steps in a pool of workers whose accelerators are in
// use, but for each hundredth worker, where usedEighths of them are. It reports the longest one too.
func benchWaiting(b *testing.B, workers, steps int, step func(i int) flow.Step, usedEighths int64, queue string) {
	const callers = 34
	t := newTakeover(1, []int{callers})
	room := sched.Vec{sched.MilliCPU: 64_000, sched.MemoryMiB: 131_072, sched.Accelerators: 8, sched.Slots: plenty, sched.Connections: plenty}
	for i := range workers {
		used := room
		if i%100 == 0 {
			used = room.Scale(usedEighths)
			for d := range used {
				used[d] /= 8
			}
		}
		used[sched.MilliCPU] = 1000
		used[sched.MemoryMiB] = 1000
		t.addWorker(acceleratorPool, buildQueue, i, room, used, 1)
	}
	for i := range steps {
		t.restore(fmt.Sprintf("g%04d", i), queue, time.Second, step(i))
	}
	b.ResetTimer()
	asks := 0
	var worst time.Duration
	for range b.N {
		began := time.Now()
		a := t.Place(t.now, t.now, callers)
		worst = max(worst, time.Since(began))
		asks += len(a.Asks)
		t.now = t.now.Add(candidateRetryDelay + time.Millisecond)
	}
	b.ReportMetric(float64(asks), "asks")
	b.ReportMetric(float64(worst.Milliseconds()), "worst_ms")
}

// BenchmarkAskWithoutRoom measures decisions about steps for which there is some room, but too little.
func BenchmarkAskWithoutRoom(b *testing.B) {
	const workers = 6000
	gangs := func(int) flow.Step {
		return flow.Step{Count: 300, Gang: true, Demand: sched.Vec{sched.MilliCPU: 100, sched.MemoryMiB: 100, sched.Accelerators: 2}}
	}
	distinct := func(i int) flow.Step {
		return flow.Step{Count: 4, Demand: sched.Vec{sched.MilliCPU: 60000 - int64(i), sched.MemoryMiB: 100 + int64(i), sched.Accelerators: 4}}
	}
	for _, n := range []int{100, 300, 1000} {
		b.Run(fmt.Sprintf("gangs-%d", n), func(b *testing.B) { benchWaiting(b, workers, n, gangs, 4, gangQueue) })
	}
	for _, n := range []int{100, 300, 1000} {
		b.Run(fmt.Sprintf("distinct-%d", n), func(b *testing.B) { benchWaiting(b, workers, n, distinct, 8, buildQueue) })
	}
}
