// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/internal/standin/world"
)

// longRunningJob is a job of long-running tasks, one of which may be missing at a time.
const longRunningJob = `{"spec":"lasts cpu=500 mem=100","steps":[{"count":3,"cpu":500,"mem_mb":100,"estimate_ms":100,"long_running":true,"anti_affinity":1,"may_miss":1}]}`

var _ = Describe("a wave of upkeep", func() {
	It("takes each machine down once, within its limit at a time, while jobs run", func() {
		b := start()
		keeps := b.submit(longRunningJob)
		Eventually(b.runningCount).Should(Equal(3))
		names := b.world.Machines.Names()
		b.world.PutWave(1, 2, 20*time.Second, names)
		ids := b.submitChains(10, 2, 300, 3*time.Second)
		Eventually(func() string { return b.world.WaveState(1) }).Should(Equal("succeeded"))
		Expect(b.world.Machines.UpkeepsBegun()).To(Equal(len(names)))
		b.wantAllSucceeded(ids)
		Eventually(b.runningCount).Should(Equal(3))
		b.wantState(keeps, "running")
	})

	It("is completed by the next owner even when calls and answers are lost", func() {
		b := start()
		names := b.world.Machines.Names()
		b.world.Machines.SetFaults(world.MachineFaults{Lose: 0.5})
		b.world.PutWave(7, 3, 10*time.Second, names)
		Eventually(b.world.Machines.UpkeepsBegun).Should(BeNumerically(">=", 2))
		Expect(b.world.WaveState(7)).To(Equal("running"))
		b.owner().kill()
		b.world.Machines.SetFaults(world.MachineFaults{})
		Eventually(func() string { return b.world.WaveState(7) }).Should(Equal("succeeded"))
		Expect(b.world.Machines.UpkeepsBegun()).To(Equal(len(names)))
		b.wantAllSucceeded(b.submitChains(4, 2, 100, 100*time.Millisecond))
	})

	It("waits while the list of machines is unavailable, and skips unknown machines", func() {
		b := start()
		b.world.Machines.SetFaults(world.MachineFaults{Busy: true})
		b.world.PutWave(2, 1, 10*time.Second, append(b.world.Machines.Names()[:1], "no-such-machine"))
		Consistently(b.world.Machines.UpkeepsBegun, 3*time.Second).Should(BeZero())
		b.world.Machines.SetFaults(world.MachineFaults{})
		Eventually(func() string { return b.world.WaveState(2) }).Should(Equal("succeeded"))
		Expect(b.world.Machines.UpkeepsBegun()).To(Equal(1))
		status, _, _ := b.call(b.nextInstance(), http.MethodGet, prefix, "")
		Expect(status).To(Equal(http.StatusOK))
	})
})
