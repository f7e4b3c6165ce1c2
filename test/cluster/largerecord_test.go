// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/internal/standin/world"
)

// Guards against a cell that stores nothing more: the record of a job became longer than a row, and
// the owner sent the transaction again for ever that the store refused, with the changes of all
// other jobs in it.
var _ = Describe("a job with many tasks", func() {
	// otherJobsGoOn checks that the store has the changes of other jobs.
	otherJobsGoOn := func(b *testbed) {
		GinkgoHelper()
		id := b.submit(`{"spec":"lasts cpu=5 mem=5","steps":[{"count":1,"cpu":5,"mem_mb":5,"long_running":true}]}`)
		Eventually(func() int {
			status, _, _ := b.call(b.nextInstance(), http.MethodDelete, prefix+id, "")
			return status
		}, maxIdle).Should(Equal(http.StatusOK))
		b.wantAllSucceeded([]string{b.submit(chainJob(2, 100))})
	}

	It("goes on after its worker has crashed with all of them", func() {
		const tasks = 1500
		// Only one worker has the label, and the tasks outlast the start of all.
		b := start(oneWorkerPerHall)
		id := b.submit(smallTasks(tasks, 40*time.Second, onFirstWorker))
		var w *world.Worker
		Eventually(func() (running int) { w, running = b.busiest(); return running }, "20s").Should(Equal(tasks))
		b.world.Crash(w, world.Restart{Down: time.Second})
		again := func() int {
			n := 0
			for _, e := range b.world.Book.Starts() {
				if strings.HasPrefix(e.Task, id+".") && e.Worker != w.ID {
					n++
				}
			}
			return n
		}
		Eventually(again, calmTime+maxIdle).Should(BeNumerically(">", 1))
		otherJobsGoOn(b)
	})

	It("is stored if it has a hundred thousand of them", func() {
		b := start()
		step := `{"count":1,"cpu":5,"mem_mb":5,"estimate_ms":100}`
		id := b.submit(fmt.Sprintf(`{"spec":"ms=100 cpu=5 mem=5","repeat_count":1000,"start_at_ms":%d,"interval_ms":1000,"steps":[%s]}`,
			time.Now().UnixMilli(), strings.TrimSuffix(strings.Repeat(step+",", 100), ",")))
		ended := func() bool {
			return slices.ContainsFunc(b.world.Book.Starts(), func(e world.Entry) bool { return strings.HasPrefix(e.Task, id) && e.Outcome == "done" })
		}
		Eventually(ended).Should(BeTrue())
		otherJobsGoOn(b)
	})
})
