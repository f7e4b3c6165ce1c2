// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"fmt"
	"os/exec"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// A run that crashes its worker is never reported as failed, because the worker that would
// report it is gone. Such runs were therefore not counted as failures of the task and were
// started again without end: one owner started such a task every 3.5 s, each time on another
// worker, and each crash took seven tasks of other jobs with it. In the log that is run_lost
// with began=false and age_ms=1, beside seven run_lost with began=true.

// crashingJob returns a job of one step whose task with index only, or each of its tasks if only
// is negative, crashes its worker the given time after the start of the task.
func crashingJob(count int, after time.Duration, only int) string {
	return fmt.Sprintf(`{"spec":"ms=300 cpu=500 mem=100 crashes=%d only=%d","steps":[`+
		`{"count":%d,"cpu":500,"mem_mb":100,"estimate_ms":300}]}`, after.Milliseconds(), only, count)
}

// maxCrashes is the maximum number of workers that one such task may crash.
const maxCrashes = 3

// crashCount returns how often tasks of a job have crashed a worker.
func (b *testbed) crashCount(id string) int {
	sum := 0
	for task, n := range b.world.Book.Crashes() {
		if strings.HasPrefix(task, id) {
			sum += n
		}
	}
	return sum
}

var _ = Describe("a task that crashes its workers", func() {
	It("fails its job, but not the jobs whose tasks ran beside it", func() {
		b := start()
		others := b.submitChains(8, 4, 600, 400*time.Millisecond)
		bad := []string{b.submit(crashingJob(1, 0, -1)), b.submit(crashingJob(3, 10*time.Millisecond, 1))}
		others = append(others, b.submitChains(8, 4, 600, 400*time.Millisecond)...)
		for _, id := range bad {
			b.wantState(id, "failed")
			Expect(b.crashCount(id)).To(BeNumerically("<=", maxCrashes), id)
		}
		b.wantAllSucceeded(others)
	})

	It("fails its job even when owners are lost meanwhile", func() {
		b := start()
		bad := []string{b.submit(crashingJob(1, 0, -1)), b.submit(crashingJob(4, 200*time.Millisecond, 2))}
		var others []string
		for range 2 {
			others = append(others, b.submitChains(4, 4, 600, 1500*time.Millisecond)...)
			owner := b.owner()
			owner.kill()
			owner.start()
		}
		for _, id := range bad {
			b.wantState(id, "failed")
		}
		// The record counts a start after the third crash as a violation.
		b.wantAllSucceeded(others)
	})

	It("has each lost run and the reason for giving up in the logs", func() {
		b := start()
		id := b.submit(crashingJob(1, 10*time.Millisecond, -1))
		b.wantState(id, "failed")
		var logs strings.Builder
		for _, e := range b.instances {
			logs.WriteString(e.log.String())
		}
		out, err := explain(id, logs.String())
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(ContainSubstring("run_lost"))
		Expect(out).To(ContainSubstring("blame=sole"))
		Expect(out).To(ContainSubstring("task_given_up"))
		Expect(out).To(MatchRegexp("job_ended.*state=failed"))
		Expect(b.metrics()).To(ContainSubstring("tasks_given_up_total"))
	})
})

// explain returns the output of the command explain for a job, given the logs.
func explain(id, logs string) (string, error) {
	cmd := exec.Command(binary, "explain", id)
	cmd.Stdin = strings.NewReader(logs)
	out, err := cmd.CombinedOutput()
	return string(out), err
}
