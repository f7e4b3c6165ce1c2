// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strconv"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/claim"
	"dewpass.org/internal/standin/world"
)

const (
	// special is the label of the workers of two racks, which are in different cells.
	special     = "special"
	specialJobs = 16
	// specialTime is how long the tasks of a job that requires the label take.
	specialTime = 1500
)

// specialJob returns a job of several steps, one after another, that requires the label.
func specialJob(steps, cpu, ms int) string {
	var list []map[string]any
	for i := range steps {
		s := map[string]any{"count": 2, "cpu": cpu, "mem_mb": 10, "estimate_ms": ms, "requirements": special}
		if i > 0 {
			s["depends_on"] = []int{i - 1}
		}
		list = append(list, s)
	}
	raw, err := json.Marshal(map[string]any{"spec": fmt.Sprintf("ms=%d cpu=%d mem=10", ms, cpu), "steps": list})
	Expect(err).NotTo(HaveOccurred())
	return string(raw)
}

// startWithSpecialRacks starts a testbed of two cells in which only the workers of one rack of each, or
// of the first cell alone, have the label.
func startWithSpecialRacks(both bool) *testbed {
	GinkgoHelper()
	// The racks north-r1 and north-r2 are in different cells; see racksOf.
	b := startCells(2, func(o *world.Options) {
		o.WorkersPerHall = 12
		o.Label = func(hall string, number int) string {
			if rack := number / 2; hall == "north" && (rack == 1 || both && rack == 2) {
				return special
			}
			return "a"
		}
	})
	Eventually(func() bool { return b.ownerOf("cell-0") != nil && b.ownerOf("cell-1") != nil }).Should(BeTrue())
	Eventually(func() string { return b.cellOf("north-r1") }).ShouldNot(BeEmpty())
	Eventually(func() string { return b.cellOf("north-r2") }).ShouldNot(BeEmpty())
	Expect(b.cellOf("north-r1")).NotTo(Equal(b.cellOf("north-r2")), "the test needs one of these racks in each cell")
	return b
}

// cellOf returns the cell whose worker list names the workers of a rack, "" if none does.
func (b *testbed) cellOf(rack string) string {
	for _, cell := range []string{"cell-0", "cell-1"} {
		var list []struct{ ID string }
		_ = json.Unmarshal(b.world.Store.Value(claim.Table, cell, "workers-000"), &list)
		for _, listed := range list {
			for _, w := range b.world.ActiveWorkers() {
				if w.ID == listed.ID && w.Rack == rack {
					return cell
				}
			}
		}
	}
	return ""
}

// killRack ends all workers of a rack for good.
func (b *testbed) killRack(rack string) {
	for _, w := range b.world.ActiveWorkers() {
		if w.Rack == rack {
			b.world.Kill(w)
		}
	}
}

func (b *testbed) submitSpecial(steps int) []string {
	GinkgoHelper()
	var ids []string
	for range specialJobs {
		ids = append(ids, b.submit(specialJob(steps, 100, specialTime)))
	}
	return ids
}

var _ = Describe("jobs that only some cells can run", func() {
	// Jobs were accepted into cells without such workers, and waited there for ever.
	It("run if a single cell can run them, whichever instance accepts them", func() {
		b := startWithSpecialRacks(false)
		b.wantAllSucceeded(b.submitSpecial(1))
	})

	// A job kept the cell in which it was accepted, also when that lost its last worker for the job.
	It("move to another cell with what they have done when theirs loses its last worker for them", func() {
		b := startWithSpecialRacks(true)
		ids := b.submitSpecial(3)
		time.Sleep(2 * specialTime * time.Millisecond)
		b.killRack("north-r2")
		b.wantAllSucceeded(ids)
		Expect(b.movedJobs()).To(BeNumerically(">", 0))
	})

	// A move has two writes: what is killed, lost or late between them must neither lose a job nor run
	// a task in both cells.
	DescribeTable("move once, and end, although", func(disturb func(b *testbed, ids []string)) {
		b := startWithSpecialRacks(true)
		ids := b.submitSpecial(2)
		time.Sleep(time.Second)
		b.killRack("north-r2")
		disturb(b, ids)
		b.world.Store.SetFaults(world.StoreFaults{})
		b.wantAllSucceeded(ids)
	},
		Entry("answers of the store are lost and its writes are late", func(b *testbed, _ []string) {
			b.world.Store.SetFaults(world.StoreFaults{Lose: 0.35, Late: 2 * time.Second})
			time.Sleep(14 * time.Second)
		}),
		Entry("the owners of both cells are killed while jobs move", func(b *testbed, _ []string) {
			random := rand.New(rand.NewPCG(1, 1))
			for until := time.Now().Add(14 * time.Second); time.Now().Before(until); {
				b.awaitMoving()
				for _, cell := range []string{"cell-0", "cell-1"} {
					if e := b.ownerOf(cell); e != nil {
						e.kill()
						e.start()
					}
				}
				time.Sleep(time.Duration(500+random.IntN(1500)) * time.Millisecond)
			}
			b.waitReady()
		}),
		Entry("the owner of their cell is frozen while jobs move", func(b *testbed, _ []string) {
			for range 3 {
				b.awaitMoving()
				b.freeze(2*time.Second, b.ownerOf("cell-0"), b.ownerOf("cell-1"))
			}
		}),
	)

	It("stay cancelled when they are cancelled while they move", func() {
		b := startWithSpecialRacks(true)
		ids := b.submitSpecial(2)
		time.Sleep(time.Second)
		b.killRack("north-r2")
		for _, id := range ids {
			Eventually(func() int {
				status, _, _ := b.call(b.nextInstance(), http.MethodDelete, prefix+id, "")
				return status
			}, 12*time.Second).Should(Or(Equal(http.StatusOK), Equal(http.StatusGone)))
			time.Sleep(500 * time.Millisecond)
		}
		Eventually(b.runningCount).Should(BeZero())
		Consistently(b.runningCount, 5*time.Second).Should(BeZero())
		b.wantNoViolations()
	})

	It("wait where they are while no cell can run them", func() {
		b := startWithSpecialRacks(false)
		cell := b.cellOf("north-r1")
		b.killRack("north-r1")
		ids := b.submitSpecial(1)
		// Some may move once, to a cell whose owner has not reported the loss yet.
		time.Sleep(5 * time.Second)
		moves := b.movedJobs()
		Consistently(func() string { return b.state(ids[0]) }, 8*time.Second, 500*time.Millisecond).Should(Equal("pending"))
		Expect(b.movedJobs()).To(Equal(moves))
		for i := range 2 {
			_, err := b.world.AddWorker("north", 2+i)
			Expect(err).NotTo(HaveOccurred())
		}
		b.wantAllSucceeded(ids)
		Expect(b.cellOf("north-r1")).To(Equal(cell))
	})
})

// movedJobs returns how many moves the instances have counted.
func (b *testbed) movedJobs() int {
	sum := 0
	for _, m := range movedJobsLine.FindAllStringSubmatch(b.metrics(), -1) {
		n, _ := strconv.Atoi(m[1])
		sum += n
	}
	return sum
}

var movedJobsLine = regexp.MustCompile(`(?m)^dewpass_jobs_moved_total\{.*\} (\d+)$`)

// freeze stops processes for a time.
func (b *testbed) freeze(t time.Duration, frozen ...*instance) {
	for _, e := range frozen {
		e.signal(syscall.SIGSTOP)
	}
	time.Sleep(t)
	for _, e := range frozen {
		e.signal(syscall.SIGCONT)
	}
}

// awaitMoving waits for a moment until the record of some job says that it moves.
func (b *testbed) awaitMoving() {
	moved := func() int { return b.world.Store.CountContaining("progress", `"state":"moving"`) }
	for until := time.Now().Add(4 * time.Second); time.Now().Before(until) && moved() == 0; {
		time.Sleep(2 * time.Millisecond)
	}
}
