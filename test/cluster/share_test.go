// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/internal/standin/world"
)

var _ = Describe("a step of tasks that last, wider than a cell", func() {
	const wide = `{"spec":"lasts cpu=500 mem=100","steps":[{"count":20,"cpu":500,"mem_mb":100,"estimate_ms":100,"long_running":true,"anti_affinity":1}]}`

	It("is whole, also after the loss of an owner and of workers, and ends whole", func() {
		b := startCells(2, func(o *world.Options) { o.PerHall = 12 })
		Eventually(func() bool { return b.ownerOf("cell-0") != nil && b.ownerOf("cell-1") != nil }).Should(BeTrue())
		id := b.submit(wide)
		Eventually(b.running).Should(Equal(20))
		b.wantState(id, "running")

		owner := b.ownerOf("cell-1")
		owner.kill()
		owner.run()
		b.world.Kill(b.world.Workers[0])
		Eventually(b.running).Should(BeNumerically("<", 20))
		Eventually(b.running).Should(Equal(20))
		Consistently(b.running, 2*time.Second).Should(Equal(20))

		status, _, _ := b.call(b.entryAt(), http.MethodDelete, prefix+id, "")
		Expect(status).To(Equal(http.StatusOK))
		Eventually(b.running, 2*time.Second).Should(BeZero())
		for range b.entries {
			Expect(b.state(id)).To(Equal("canceled"))
		}
		// Owners of after the end start nothing of it.
		for _, cell := range []string{"cell-0", "cell-1"} {
			e := b.ownerOf(cell)
			e.kill()
			e.run()
		}
		b.waitReady()
		Consistently(b.running, 3*time.Second).Should(BeZero())
		b.wantKept()
	})
})
