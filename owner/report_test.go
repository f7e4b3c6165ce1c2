// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dewpass.org/job"
	"dewpass.org/kind"
	"dewpass.org/ports"
)

// This guards against a job that runs on two workers at once after its first worker began to
// leave. Reports of the workers, as the owner applied them when that happened (seconds):
//
//	47.531  w1     starts attempt 1
//	47.934  w1     saves and stops it, as asked
//	47.935  owner  applies the reply: attempt 1 has ended
//	47.936  w3     starts attempt 2
//	47.937  owner  w1 reports attempt 1 as running: replaces attempt 2
//	47.939  owner  w1 reports attempt 1 as ended: a new attempt
//	47.940  owner  w3 reports attempt 2 as running: replaces attempt 3
//	47.941  w4     starts attempt 3
//	48.134  w3     finishes attempt 2
//
// The reply to the stop request, on one connection, overtook a reply to the watch, on another,
// that the worker had sent just before. The owner took the late reply for a new report. The
// same happens if the worker has already been told to forget attempt 1: then attempt 3 is
// started because the worker does not have attempt 1.

// lateWatch delays the first reply to a watch that reports a running task until the worker has
// replied to the request to stop that task.
type lateWatch struct {
	mu sync.Mutex
	// sent holds the attempts that were sent, in order; first is the address of the worker of
	// the first one.
	sent  []uint32
	first string
	// held is closed when a reply is delayed, stopped when the worker has replied to the stop
	// request, and release lets the delayed reply through.
	held, stopped, release chan struct{}

	hold, stop sync.Once
	// keepAttempts is set if workers are never told to forget an attempt.
	keepAttempts bool
}

func newLateWatch(keepAttempts bool) *lateWatch {
	return &lateWatch{
		held: make(chan struct{}), stopped: make(chan struct{}), release: make(chan struct{}),
		keepAttempts: keepAttempts,
	}
}

func (l *lateWatch) connect(addr string) ports.Worker {
	return &lateWorker{Worker: ports.NewWorkers().At(addr), addr: addr, late: l}
}

func (l *lateWatch) firstWorker() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.first
}

func (l *lateWatch) attempts() []uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]uint32(nil), l.sent...)
}

// pass lets a reply through, but delays the first one that reports a running task.
func (l *lateWatch) pass(reply ports.WatchReply) {
	for _, rep := range reply.Tasks {
		if !rep.State.Ended() {
			l.hold.Do(func() {
				close(l.held)
				<-l.release
			})
		}
	}
}

// lateWorker is a worker behind a lateWatch.
type lateWorker struct {
	ports.Worker
	addr string
	late *lateWatch
}

func (w *lateWorker) Start(ctx context.Context, c ports.Command, t ports.Task, d time.Duration) (ports.TaskReport, error) {
	w.late.mu.Lock()
	if len(w.late.sent) == 0 {
		w.late.first = w.addr
	}
	w.late.sent = append(w.late.sent, t.Attempt)
	w.late.mu.Unlock()
	return w.Worker.Start(ctx, c, t, d)
}

func (w *lateWorker) Watch(ctx context.Context, r ports.WatchRequest) (ports.WatchReply, error) {
	reply, err := w.Worker.Watch(ctx, r)
	if err == nil {
		w.late.pass(reply)
	}
	return reply, err
}

func (w *lateWorker) Act(ctx context.Context, c ports.Command, id string, attempt uint32, a ports.Action) (ports.TaskReport, error) {
	rep, err := w.Worker.Act(ctx, c, id, attempt, a)
	if err == nil && attempt == 1 {
		w.late.stop.Do(func() { close(w.late.stopped) })
	}
	return rep, err
}

func (w *lateWorker) Ack(ctx context.Context, id string, attempt uint32) error {
	if w.late.keepAttempts {
		return kind.New(kind.Lost, "test")
	}
	return w.Worker.Ack(ctx, id, attempt)
}

// applyTime is the time that the owner has to apply a reply; a longer time would do no harm.
const applyTime = 300 * time.Millisecond

// stopWithLateReport runs a job whose worker begins to leave, and delivers a report from before
// the stop after the reply to the stop.
func stopWithLateReport(c *fixture, l *lateWatch) {
	o := c.startOwner("o1", 1, l.connect, c.workers)
	_, err := o.Submit(context.Background(), job.Job{
		ID: "j1", Account: "s", Workload: "saving", Repeat: ports.RepeatSafe, Hall: "h", Rack: "r",
		// The task saves a checkpoint once, so that a watch reports it. What is left then is
		// too short for the next attempt to save one as well.
		Payload: []byte(`{"ms":1900,"save_ms":1000}`), Submitted: time.Now(),
	})
	Expect(err).NotTo(HaveOccurred())
	Eventually(l.held).Should(BeClosed())
	workers := append([]ports.Instance(nil), c.workers...)
	for i := range workers {
		workers[i].Leaving = workers[i].Addr == l.firstWorker()
	}
	o.SetWorkers(workers)
	Eventually(l.stopped).Should(BeClosed())
	time.Sleep(applyTime)
	close(l.release)
}

// doneWithin is far longer than both attempts take.
const doneWithin = 10 * time.Second

// expectTwoAttempts expects the second attempt to finish the job.
func expectTwoAttempts(c *fixture, l *lateWatch) {
	Eventually(func() job.State {
		row, _ := job.Decode(c.table.Table.Get(job.RowKey("j1"))[0].Value)
		return row.State
	}).WithTimeout(doneWithin).Should(Equal(job.Done))
	Expect(l.attempts()).To(Equal([]uint32{1, 2}))
	Expect(c.platform.Record.Summary().Doubled).To(BeEmpty())
}

func TestOvertakenReport(t *testing.T) {
	for name, keeps := range map[string]bool{
		"of an attempt that its worker still has":     true,
		"of an attempt that its worker has forgotten": false,
	} {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			SetDefaultEventuallyTimeout(30 * time.Second)
			c, l := newFixtureWith(t.Cleanup, "w1", "w2", "w3"), newLateWatch(keeps)
			stopWithLateReport(c, l)
			expectTwoAttempts(c, l)
		})
	}
}
