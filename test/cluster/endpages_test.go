// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"fmt"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/internal/standin/world"
)

const (
	// shortTask is how long the tasks of steady traffic run, and wideTask those of a wide job: longer
	// than it takes to start all of them.
	shortTask = 2 * time.Second
	wideTask  = 6 * time.Second
	// endsPerPage is how many ends a worker lists at once.
	endsPerPage = 500
	// calmTime is how long after a disturbance a job may still have nothing running.
	calmTime = 4 * time.Second
)

// smallTasks returns a job of one step whose tasks all fit on one worker. where says which one.
func smallTasks(count int, length time.Duration, where string) string {
	return fmt.Sprintf(`{"spec":"ms=%d cpu=5 mem=5","steps":[{"count":%d,"cpu":5,"mem_mb":5,"estimate_ms":%d%s}]}`,
		length.Milliseconds(), count, length.Milliseconds(), where)
}

const (
	// onFirstWorker has the tasks run on the only worker of the first rack, nearFirstRack there if they
	// find room.
	onFirstWorker = `,"requirements":"north-r0"`
	nearFirstRack = `,"affinity":"north-r0"`
)

// oneWorkerPerHall leaves one worker that has the label of its rack.
func oneWorkerPerHall(o *world.Options) { o.WorkersPerHall = 1 }

// busiest returns the worker on which most tasks were started, and the number of runs on it now.
func (b *testbed) busiest() (*world.Worker, int) {
	var most *world.Worker
	for _, w := range b.world.ActiveWorkers() {
		if most == nil || b.startsOn(w) > b.startsOn(most) {
			most = w
		}
	}
	running := 0
	for _, e := range b.world.Book.Starts() {
		if e.Worker == most.ID && e.Ended.IsZero() {
			running++
		}
	}
	return most, running
}

// killOwner kills the owner, starts it again and returns once there is another one.
func (b *testbed) killOwner() {
	GinkgoHelper()
	e := b.owner()
	Expect(e).NotTo(BeNil())
	e.kill()
	Eventually(b.owner, "10s", 5*time.Millisecond).ShouldNot(Or(BeNil(), BeIdenticalTo(e)))
	e.start()
}

// freezeOwner suspends the owner for longer than its lease lasts.
func (b *testbed) freezeOwner() {
	GinkgoHelper()
	e := b.owner()
	Expect(e).NotTo(BeNil())
	e.signal(syscall.SIGSTOP)
	time.Sleep(calmTime)
	e.signal(syscall.SIGCONT)
}

// cutOff makes a worker unreachable for a time, while its tasks run on.
func cutOff(w *world.Worker, d time.Duration) {
	w.SetFaults(world.WorkerFaults{Silent: true})
	time.Sleep(d)
	w.SetFaults(world.WorkerFaults{})
}

// wantEndedSoon checks that nothing ran twice and that no job waited: all have ended once their
// tasks, of the given length, had the time to.
func (b *testbed) wantEndedSoon(ids []string, length time.Duration) {
	GinkgoHelper()
	deadline := time.Now().Add(calmTime + maxIdle + 2*length)
	for _, id := range ids {
		Eventually(func() string { return b.state(id) }, time.Until(deadline)).Should(Equal("succeeded"), id)
	}
	b.wantNoViolations()
}

// firstStart returns when the first task of a job was started, zero if none was.
func (b *testbed) firstStart(id string) time.Time {
	for _, e := range b.world.Book.Starts() {
		if strings.HasPrefix(e.Task, id+".") {
			return e.Begun
		}
	}
	return time.Time{}
}

// Guards against tasks that run twice, or never, after a worker has ended more runs than it lists at
// once while nobody read its lists: whoever attached it next took the first page for all of them.
var _ = Describe("a worker with more ends than it lists at once", Serial, func() {
	const wide = 1500

	DescribeTable("has each of its tasks run once after a change of owner", func(change func(b *testbed, w *world.Worker)) {
		b := start(oneWorkerPerHall)
		ids := []string{b.submit(smallTasks(wide, wideTask, onFirstWorker))}
		Eventually(func() int { return len(b.world.Book.Starts()) }, "20s").Should(Equal(wide))
		w, _ := b.busiest()
		time.Sleep(time.Until(b.firstStart(ids[0]).Add(wideTask - 200*time.Millisecond)))
		change(b, w)
		begun := time.Now()
		ids = append(ids, b.submit(smallTasks(2, shortTask, "")))
		Eventually(func() time.Time { return b.firstStart(ids[1]) }, maxIdle, 5*time.Millisecond).Should(BeTemporally(">", begun), "a new job starts at once")
		b.wantEndedSoon(ids, wideTask)
	},
		Entry("the owner is killed", func(b *testbed, _ *world.Worker) { b.killOwner() }),
		Entry("the owner and its successor are killed", func(b *testbed, _ *world.Worker) { b.killOwner(); b.killOwner() }),
		Entry("the owner freezes and wakes", func(b *testbed, _ *world.Worker) { b.freezeOwner() }),
		Entry("the owner is killed while the worker is cut off", func(b *testbed, w *world.Worker) {
			go cutOff(w, 1500*time.Millisecond)
			b.killOwner()
		}),
	)

	DescribeTable("under steady traffic has each task run once, and none is left", func(change func(b *testbed, w *world.Worker)) {
		b := start()
		var ids []string
		send := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
				ids = append(ids, b.submit(smallTasks(150, shortTask, nearFirstRack)))
			}
		}
		send(2 * shortTask)
		w, _ := b.busiest()
		Expect(b.startsOn(w)).To(BeNumerically(">", endsPerPage))
		changed := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(changed)
			change(b, w)
		}()
		send(4500 * time.Millisecond)
		Eventually(changed, "10s").Should(BeClosed())
		b.wantEndedSoon(ids, shortTask)
	},
		Entry("after it was cut off", func(_ *testbed, w *world.Worker) { cutOff(w, 3500*time.Millisecond) }),
		Entry("after the owner was killed while it was cut off", func(b *testbed, w *world.Worker) {
			go b.killOwner()
			cutOff(w, 3500*time.Millisecond)
		}),
		Entry("after the owner was killed as it is reached again", func(b *testbed, w *world.Worker) {
			cutOff(w, 3500*time.Millisecond)
			b.killOwner()
		}),
	)
})
