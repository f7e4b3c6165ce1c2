// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/internal/standin/world"
)

// quotaTasks is the limit of the account in these specs, in tasks of taskCPU.
const quotaTasks = 16

// startWithQuota starts a testbed of several cells in which an account may run quotaTasks tasks.
func startWithQuota(cells int) *testbed {
	GinkgoHelper()
	b := startWithAccounts(cells, quotaAccount(quotaTasks))
	b.awaitOwners()
	return b
}

func quotaAccount(tasks int64) world.Account {
	return world.Account{Name: "a", Keys: []string{keyOfA}, CPU: tasks * taskCPU, Weight: 100}
}

// awaitOwners waits until all cells have an owner.
func (b *testbed) awaitOwners() {
	GinkgoHelper()
	for i := range b.cells {
		Eventually(func() *instance { return b.ownerOf(fmt.Sprint("cell-", i)) }).ShouldNot(BeNil())
	}
}

// gangJob returns a job of a gang of so many tasks of taskCPU.
func gangJob(count, ms int) string {
	return fmt.Sprintf(`{"spec":"ms=%d cpu=%d mem=100","steps":[{"count":%d,"cpu":%d,"mem_mb":100,"estimate_ms":%d,"gang":true}]}`, ms, taskCPU, count, taskCPU, ms)
}

// wantWithinQuota waits until jobs of taskCPU have ended, and checks that the account never ran more than
// its limit, a tenth of it and one task.
func (b *testbed) wantWithinQuota(ids []string, tasks int) {
	GinkgoHelper()
	b.wantAllSucceeded(ids)
	Expect(b.peakRunning(ids)).To(BeNumerically("<=", tasks+tasks/10+1))
}

// Each cell had a fixed part of an account's limit: what needs more than that was accepted and never ran.
var _ = Describe("the limit of a client account over several cells", func() {
	It("lets a gang run that is wider than a cell's equal part, also after the limit was lowered", func() {
		b := startWithAccounts(2, quotaAccount(24))
		b.awaitOwners()
		b.world.SetAccounts(quotaAccount(quotaTasks))
		b.world.Configure(3, host, prefix)
		time.Sleep(keyChangeTimeout)
		var ids []string
		for range 4 {
			ids = append(ids, b.submit(gangJob(10, 500)))
			time.Sleep(time.Second)
		}
		b.wantWithinQuota(ids, quotaTasks)
	})

	It("lets gangs run one after another that are as wide as the limit, in each cell", func() {
		b := startWithQuota(4)
		var ids []string
		for range 8 {
			ids = append(ids, b.submit(gangJob(quotaTasks, 300)))
		}
		b.wantWithinQuota(ids, quotaTasks)
	})

	It("lets one cell run all of it while the others run nothing", func() {
		b := startWithQuota(4)
		// A job belongs to one cell, which has room for it.
		id := b.submit(accountJob(quotaTasks, 1500))
		Eventually(b.runningCount, 3*time.Second).Should(Equal(quotaTasks))
		b.wantWithinQuota([]string{id}, quotaTasks)
	})

	It("gives a cell its own part back that it has lent", func() {
		b := startWithQuota(2)
		// The first job fills the limit in its cell for long. Others go to both cells.
		ids := []string{b.submit(accountJob(200, 400))}
		Eventually(b.runningCount, 3*time.Second).Should(Equal(quotaTasks))
		for range 6 {
			ids = append(ids, b.submit(accountJob(4, 100)))
		}
		for _, id := range ids[1:] {
			Eventually(func() string { return b.state(id) }, 12*time.Second).Should(Equal("succeeded"))
		}
		b.wantWithinQuota(ids, quotaTasks)
	})

	// A task as large as the limit could start in every cell that ran nothing else of the account.
	It("holds for tasks that are as large as the limit, or larger", func() {
		b := startWithAccounts(4, quotaAccount(2))
		b.awaitOwners()
		var ids []string
		for _, cpu := range []int{2, 2, 2, 3, 3, 2, 2, 3} {
			ids = append(ids, b.submit(fmt.Sprintf(`{"spec":"ms=300 cpu=%d mem=100","steps":[{"count":2,"cpu":%d,"mem_mb":100,"estimate_ms":300}]}`, cpu*taskCPU, cpu*taskCPU)))
		}
		b.wantAllSucceeded(ids)
		Expect(b.peakRunning(ids)).To(Equal(1))
	})

	DescribeTable("holds, and lets everything run in the end, although", func(disturb func(b *testbed)) {
		b := startWithQuota(4)
		var ids []string
		for i := range 12 {
			ids = append(ids, b.submit(gangJob(6+i%3*4, 400)), b.submit(accountJob(5, 300)))
		}
		disturb(b)
		b.world.Store.SetFaults(world.StoreFaults{})
		b.wantWithinQuota(ids, quotaTasks)
	},
		Entry("nothing happens", func(*testbed) {}),
		Entry("owners are killed", func(b *testbed) {
			random := rand.New(rand.NewPCG(3, 1))
			for range 8 {
				if e := b.ownerOf(fmt.Sprint("cell-", random.IntN(4))); e != nil {
					e.kill()
					time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
					e.start()
				}
				time.Sleep(time.Duration(300+random.IntN(900)) * time.Millisecond)
			}
			b.waitReady()
		}),
		// The next owner of a cell did not know of shares that had just been received, and needed none.
		Entry("owners are stopped as planned", func(b *testbed) {
			for i := range 6 {
				if e := b.ownerOf(fmt.Sprint("cell-", i%4)); e != nil {
					e.signal(syscall.SIGTERM)
					_ = e.cmd.Wait()
					e.start()
				}
			}
			b.waitReady()
		}),
		Entry("owners are frozen", func(b *testbed) {
			for i := range 6 {
				if e := b.ownerOf(fmt.Sprint("cell-", i%4)); e != nil {
					b.freeze(1500*time.Millisecond, e)
				}
			}
		}),
		Entry("answers of the store are lost and its writes are late", func(b *testbed) {
			b.world.Store.SetFaults(world.StoreFaults{Lose: 0.35, Late: 2 * time.Second})
			time.Sleep(10 * time.Second)
		}),
		Entry("the limit changes", func(b *testbed) {
			for i := range 6 {
				b.world.SetAccounts(quotaAccount(int64(14 + i%2*2)))
				b.world.Configure(3+i, host, prefix)
				time.Sleep(700 * time.Millisecond)
			}
		}),
	)

	It("costs nothing where there is one cell", func() {
		b := startWithQuota(1)
		ids := []string{b.submit(gangJob(quotaTasks, 300)), b.submit(accountJob(30, 200))}
		b.wantWithinQuota(ids, quotaTasks)
		status, _, _ := b.call(b.nextInstance(), http.MethodGet, prefix, "")
		Expect(status).To(Equal(http.StatusOK))
		Expect(b.metrics()).NotTo(ContainSubstring("quota"))
	})
})
