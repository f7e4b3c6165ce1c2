// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"context"
	"encoding/json"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/cell"
	"dewpass.org/flow"
	"dewpass.org/rows"
)

// maxIdle is the longest time for which a job may have nothing running while there is room.
const maxIdle = 3 * time.Second

// putJob stores a job of one step with a number of tasks as a former owner would have done.
func (t *memStore) putJob(id string, tasks int) {
	ginkgo.GinkgoHelper()
	spec, err := json.Marshal(flow.Spec{ID: id, Cell: "c", Queue: "q", Hall: "h", Steps: []flow.Step{{Count: tasks}}, AcceptedMS: time.Now().UnixMilli()})
	Expect(err).NotTo(HaveOccurred())
	rec := flow.Encode(&flow.Record{State: flow.Running, Stages: []flow.StageRecord{{Halls: []string{"h"}}}})
	_, err = t.Tx(context.Background(), rows.Tx{Put: []rows.Row{{Key: SpecKey(id), Value: spec}, {Key: RecordKey("c", id), Value: rec}}})
	Expect(err).NotTo(HaveOccurred())
}

// endAll adds the ends of all tasks of a job.
func (w *restartingWorker) endAll(job string, tasks int) {
	for i := range tasks {
		task := flow.TaskID{Job: job, Index: i}
		w.ends = append(w.ends, cell.Finished{Number: len(w.ends) + 1, Task: task, Run: 1, How: flow.EndDone})
	}
}

var _ = ginkgo.Describe("a worker with more ends than it lists at once", func() {
	// takeOver starts an owner of jobs of a former one. Job "ended" has ended on the worker behind the
	// ends of a job that is not known, and job "dropped" was never started.
	takeOver := func(ctx context.Context, unknown, tasks int) (*Driver, *restartingWorker) {
		t := newMemStore()
		t.putJob("ended", tasks)
		t.putJob("dropped", 1)
		w := newRestartingWorker()
		w.endAll("unknown", unknown)
		w.endAll("ended", tasks)
		d := newDriver(ctx, t, func() {})
		d.Workers, d.Directory, d.Store = w, w, fixedFeedStore{t, rows.Page{}}
		d.Configure([]cell.Queue{{Name: "q", Pool: "p", MaxAttempts: 1}})
		d.Start()
		ginkgo.DeferCleanup(d.Close)
		return d, w
	}
	jobs := func(w *restartingWorker) []string {
		w.mu.Lock()
		defer w.mu.Unlock()
		var out []string
		for _, o := range w.starts {
			out = append(out, o.Task.Job)
		}
		return out
	}

	ginkgo.DescribeTable("has them read before jobs of the former owner go on, without delay", func(ctx context.Context, unknown, tasks int) {
		d, w := takeOver(ctx, unknown, tasks)
		Eventually(func() []string { return jobs(w) }, maxIdle, 5*time.Millisecond).ShouldNot(BeEmpty())
		Expect(d.Adopt(&flow.Spec{ID: "added", Cell: "c", Queue: "q", Hall: "h", Steps: []flow.Step{{Count: 1}}}, 1<<30)).To(Succeed())
		for _, id := range []string{"ended", "dropped", "added"} {
			Eventually(func() flow.State { s, _ := d.State(id); return s }, maxIdle, 5*time.Millisecond).Should(Equal(flow.Succeeded), id)
		}
		Expect(jobs(w)).To(Equal([]string{"dropped", "added"}), "no task runs again")
		w.mu.Lock()
		defer w.mu.Unlock()
		Expect(w.forgot).To(BeFalse())
		read := 0
		for _, o := range w.holds {
			if o.Observed > read && o.Observed%endsPerPage == 0 {
				read = o.Observed
				Expect(o.Wait).To(BeZero(), "the page after end %d is there, or none", read)
			}
		}
	},
		ginkgo.Entry("no further page", 0, 10),
		ginkgo.Entry("two pages", 0, 700),
		ginkgo.Entry("three full pages", 0, 3*endsPerPage),
		ginkgo.Entry("twenty pages", 0, 20*endsPerPage),
		ginkgo.Entry("three pages of an unknown job in front", 3*endsPerPage, 700),
	)
})
