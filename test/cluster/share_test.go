// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/internal/standin/world"
)

var _ = Describe("a step of long-running tasks that is wider than a cell", func() {
	const wide = `{"spec":"lasts cpu=500 mem=100","steps":[{"count":20,"cpu":500,"mem_mb":100,"estimate_ms":100,"long_running":true,"anti_affinity":1}]}`

	It("keeps its count after the loss of an owner and a worker, and stops as a whole", func() {
		b := startCells(2, func(o *world.Options) { o.WorkersPerHall = 12 })
		Eventually(func() bool { return b.ownerOf("cell-0") != nil && b.ownerOf("cell-1") != nil }).Should(BeTrue())
		id := b.submit(wide)
		Eventually(b.runningCount).Should(Equal(20))
		b.wantState(id, "running")

		owner := b.ownerOf("cell-1")
		owner.kill()
		owner.start()
		b.world.Kill(b.world.Workers[0])
		Eventually(b.runningCount).Should(BeNumerically("<", 20))
		Eventually(b.runningCount).Should(Equal(20))
		Consistently(b.runningCount, 2*time.Second).Should(Equal(20))

		status, _, _ := b.call(b.nextInstance(), http.MethodDelete, prefix+id, "")
		Expect(status).To(Equal(http.StatusOK))
		Eventually(b.runningCount, 2*time.Second).Should(BeZero())
		for range b.instances {
			Expect(b.state(id)).To(Equal("canceled"))
		}
		// Owners that take over after the cancellation start no task of the job.
		for _, cell := range []string{"cell-0", "cell-1"} {
			e := b.ownerOf(cell)
			e.kill()
			e.start()
		}
		b.waitReady()
		Consistently(b.runningCount, 3*time.Second).Should(BeZero())
		b.wantNoViolations()
	})
})
