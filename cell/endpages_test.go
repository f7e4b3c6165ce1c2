// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dewpass.org/flow"
	"dewpass.org/sched"
)

// endsPerPage is how many ends the platform's workers list at once.
const endsPerPage = 500

// pagedWorker is a worker that lists its ends in pages.
type pagedWorker struct {
	id        string
	born      int64
	running   []Running
	ends      []Finished
	forgotten int
}

func (p *pagedWorker) end(job string, index, run int, how flow.End) {
	p.ends = append(p.ends, Finished{Number: len(p.ends) + 1, Task: flow.TaskID{Job: job, Index: index}, Run: run, How: how})
}

// endAll ends all tasks of a job, from one index up to another.
func (p *pagedWorker) endAll(job string, from, to int) {
	for i := from; i < to; i++ {
		p.end(job, i, formerRun, flow.EndDone)
	}
}

// lists returns what the worker answers when it is told to forget the ends up to observed.
func (p *pagedWorker) lists(observed int) Lists {
	p.forgotten = max(p.forgotten, observed)
	left := p.ends[p.forgotten:]
	return Lists{Born: p.born, Running: p.running, Finished: left[:min(len(left), endsPerPage)], Truncated: len(left) >= endsPerPage}
}

// pagedRig is a rig with a paged worker "old" that runs what a former owner has started, and the
// starts that the cell has decided.
type pagedRig struct {
	*rig
	old    *pagedWorker
	starts []Start
}

func newPagedRig() *pagedRig {
	r := &pagedRig{rig: newRig(1), old: &pagedWorker{id: "old"}}
	r.Heard(Worker{ID: "old", Hall: "h", Gone: true}, r.now)
	r.heard("old", func(*Worker) {})
	return r
}

// restore adds a job of a former owner. starts are the recorded starts of its tasks.
func (r *pagedRig) restore(id string, tasks int, starts map[int][]flow.RunStart) {
	rec := &flow.Record{State: flow.Running, Stages: []flow.StageRecord{{Halls: []string{"h"}, Starts: starts}}}
	r.Restore(&flow.Spec{ID: id, Queue: "q", Hall: "h", Steps: []flow.Step{smallTasks(tasks)}}, rec, r.now, r.now)
}

func smallTasks(n int) flow.Step {
	return flow.Step{Count: n, Demand: sched.Vec{sched.MilliCPU: 1, sched.MemoryMiB: 1}}
}

func (r *pagedRig) attach() {
	r.Attached("old", r.old.lists(0), r.now)
	r.start()
}

// start accepts all starts. Those on the paged worker go on running.
func (r *pagedRig) start() []Start {
	starts := r.startAll()
	for _, s := range starts {
		if s.Worker == "old" {
			r.old.running = append(r.old.running, Running{Task: s.Task, Run: s.Run})
		}
	}
	r.starts = append(r.starts, starts...)
	return starts
}

// onlyOld leaves the paged worker as the only one for new runs.
func (r *pagedRig) onlyOld() { r.heard("w0", func(w *Worker) { w.Draining = true }) }

// readPage reads the next page, once what was listed so far is stored.
func (r *pagedRig) readPage() {
	r.save()
	r.now = r.now.Add(30 * time.Millisecond)
	r.Listed("old", r.old.lists(r.Observed("old")), r.now, r.now)
	r.start()
}

func (r *pagedRig) readPages() {
	for range len(r.old.ends)/endsPerPage + 1 {
		r.readPage()
	}
}

// started returns the jobs of the starts, with the number of each one's.
func (r *pagedRig) started() map[string]int {
	n := make(map[string]int)
	for _, s := range r.starts {
		n[s.Task.Job]++
	}
	return n
}

func (r *pagedRig) state(id string) flow.State {
	s, _ := r.State(id)
	return s
}

// Guards against running tasks twice: a worker that has more ends than it lists at once was taken
// for settled, and the tasks whose ends it had not listed yet were started again.
func TestTasksThatEndedBehindTheFirstPageAreNotStartedAgain(t *testing.T) {
	again := func(r *pagedRig) {
		r.Detached("old", r.now)
		r.attach()
	}
	for name, while := range map[string]func(r *pagedRig){
		"pages alone":                     func(*pagedRig) {},
		"attached again":                  again,
		"attached again with stored ends": func(r *pagedRig) { r.save(); again(r) },
		"list of runs left out": func(r *pagedRig) {
			l := r.old.lists(0)
			l.RunsIncomplete = true
			r.Listed("old", l, r.now, r.now)
		},
		"last page under an earlier fencing token": func(r *pagedRig) { r.EndsListed("old", Lists{}, r.now) },
		"jobs known only later": func(r *pagedRig) {
			r.restore("late", 2, map[int][]flow.RunStart{0: {{Run: formerRun, Worker: "old"}}})
			r.old.endAll("late", 0, 2)
		},
	} {
		for _, tasks := range []int{700, 3 * endsPerPage} {
			t.Run(fmt.Sprintf("%s, %d tasks", name, tasks), func(t *testing.T) {
				g := NewWithT(t)
				r := newPagedRig()
				r.restore("j", tasks, nil)
				r.old.endAll("j", 0, tasks)
				r.attach()
				while(r)
				r.add("new", smallTasks(1))
				r.start()
				g.Expect(r.started()).To(Equal(map[string]int{"new": 1}), "a job that came after the change of owner starts at once")
				r.readPages()
				r.save()
				g.Expect(r.started()).To(Equal(map[string]int{"new": 1}))
				g.Expect(r.state("j")).To(Equal(flow.Succeeded))
				g.Expect(r.Observed("old")).To(Equal(len(r.old.ends)))
			})
		}
	}
}

// Guards against jobs that wait for good: a run whose order was lost kept the worker from being told
// to forget ends, so that it listed the same page for ever and the run was never resolved.
func TestStartThatWasLostIsMadeAgainAfterTheLastPage(t *testing.T) {
	for name, c := range map[string]struct {
		lose func(r *pagedRig)
		want map[string]int
	}{
		"recorded by a former owner": {func(r *pagedRig) {
			r.restore("lost", 1, map[int][]flow.RunStart{0: {{Run: formerRun, Worker: "old"}}})
			r.restore("j", 900, nil)
			r.old.endAll("j", 0, 700)
		}, map[string]int{"lost": 1, "j": 200}},
		"sent by this owner": {func(r *pagedRig) {
			r.attach()
			r.onlyOld()
			r.add("j", smallTasks(700))
			for _, s := range r.start() {
				r.old.end("j", s.Task.Index, s.Run, flow.EndDone)
			}
			r.add("lost", smallTasks(1))
			r.place()
			r.old.running, r.starts = nil, nil
			r.Detached("old", r.now)
		}, map[string]int{"lost": 1}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := newPagedRig()
			c.lose(r)
			r.attach()
			g.Expect(r.starts).To(BeEmpty())
			r.readPages()
			g.Expect(r.started()).To(Equal(c.want), "what the worker was never given")
		})
	}
}

// Guards against jobs that wait for a worker that is lost before all of its pages were read.
func TestWorkerThatIsLostBetweenPagesHoldsUpNothing(t *testing.T) {
	g := NewWithT(t)
	r := newPagedRig()
	r.restore("j", 700, nil)
	r.old.endAll("j", 0, 700)
	r.attach()
	r.restore("known", 1, map[int][]flow.RunStart{0: {{Run: formerRun, Worker: "old"}}})
	r.WorkerLost("old", LossSilent, r.now)
	r.restore("late", 1, map[int][]flow.RunStart{0: {{Run: formerRun, Worker: "old"}}})
	for _, id := range []string{"j", "known", "late"} {
		tasks := r.jobs[id].stages[0].tasks
		r.start()
		g.Expect(tasks[len(tasks)-1].crashes).To(HaveLen(1), "a run of %s may have been lost with the worker", id)
	}
	g.Expect(r.started()).To(Equal(map[string]int{"j": 200, "known": 1, "late": 1}))
}

// Guards against a worker that is taken off the list for the next owner, or down for upkeep, while it
// has ends that it has not listed.
func TestWorkerWithFurtherPagesIsNotEmpty(t *testing.T) {
	g := NewWithT(t)
	r := newPagedRig()
	r.heard("old", func(w *Worker) { w.Draining = true })
	r.Evacuate([]string{"old"}, time.Minute, r.now)
	r.restore("j", 700, nil)
	r.old.endAll("j", 0, 700)
	r.attach()
	emptyAfter := func(pages ...bool) {
		for page, empty := range pages {
			r.save()
			g.Expect(r.Drained("old")).To(Equal(empty), "page %d", page)
			g.Expect(r.Evacuated("old", r.now)).To(Equal(empty), "page %d", page)
			r.readPage()
		}
	}
	emptyAfter(false, true)
	// Runs that nobody wanted have been stopped there meanwhile.
	for i := range 700 {
		r.old.end("gone", i, formerRun, flow.EndStopped)
	}
	r.Detached("old", r.now)
	r.attach()
	emptyAfter(false, true)
}

// restartedWithPages returns a rig whose paged worker has restarted under its id. It was given 800
// tasks, of which 700 have ended in the new incarnation: orders for the earlier one reached it.
func restartedWithPages(g *WithT) *pagedRig {
	r := newPagedRig()
	r.onlyOld()
	r.heard("old", func(w *Worker) { w.Born = 1000 })
	r.old.born = 1000
	r.attach()
	r.add("j", smallTasks(800))
	given := r.start()
	g.Expect(given).To(HaveLen(800))
	r.starts = nil
	r.old = &pagedWorker{id: "old", born: 2000}
	for _, s := range given[:700] {
		r.old.end("j", s.Task.Index, s.Run, flow.EndDone)
	}
	r.Detached("old", r.now)
	r.attach()
	r.heard("old", func(w *Worker) { w.Born = 2000 })
	g.Expect(r.starts).To(BeEmpty())
	return r
}

// Guards against running tasks twice: what stands behind the first page of a restarted worker was
// taken for lost with its earlier incarnation.
func TestEndsOfARestartedWorkerBehindTheFirstPageAreNotStartedAgain(t *testing.T) {
	g := NewWithT(t)
	r := restartedWithPages(g)
	r.readPages()
	g.Expect(r.LostRuns()).To(HaveLen(100), "what the new incarnation was never given")
	for _, s := range r.starts {
		g.Expect(s.Task.Index).To(BeNumerically(">=", 700))
	}
	g.Expect(r.starts).NotTo(BeEmpty())
}

// Guards against tasks that wait for good: the new incarnation was lost as well, before it had listed
// all of its ends.
func TestRunsOfAWorkerThatRestartedAndIsLostBetweenPagesAreLost(t *testing.T) {
	g := NewWithT(t)
	r := restartedWithPages(g)
	r.WorkerLost("old", LossSilent, r.now)
	g.Expect(r.LostRuns()).To(HaveLen(300), "all but the first page")
}

// Guards against steady traffic that keeps a worker from ever being told to forget its ends.
func TestWorkerWithFurtherPagesIsGivenNothing(t *testing.T) {
	g := NewWithT(t)
	r := newPagedRig()
	r.onlyOld()
	r.old.endAll("gone", 0, 700)
	r.attach()
	r.add("j", smallTasks(1))
	g.Expect(r.startAll()).To(BeEmpty())
	r.JobsRead(r.now.Add(time.Millisecond))
	r.readPage()
	g.Expect(r.started()).To(Equal(map[string]int{"j": 1}))
}
