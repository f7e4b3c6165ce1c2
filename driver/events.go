// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/cell"
	"dewpass.org/flow"
	"dewpass.org/sched"
)

// logWaits logs the reasons why steps have been waiting for a long time.
func (d *Driver) logWaits(waits []cell.Wait) {
	for i := range waits {
		w := &waits[i]
		level.Info(d.Log).Log("event", "step_waits", "job", w.Step.Job, "step", w.Step.Step, "why", string(w.Why),
			"tasks", w.Tasks, "waited_ms", w.For.Milliseconds(), "reserved", w.Reserved,
			"asking", w.Asking, "asks", w.Asks, "asks_long", w.LongAsks, "asks_most", w.MaxAsks,
			"allowed", w.Allowed.All, "allowed_room", w.Allowed.Room, "allowed_yield", w.Allowed.Yield,
			"expired", w.Expired.All, "expired_room", w.Expired.Room, "expired_yield", w.Expired.Yield,
			"unasked", w.Unasked.All, "unasked_room", w.Unasked.Room, "unasked_yield", w.Unasked.Yield,
			"unfit", w.Unfit.All, "unfit_room", w.Unfit.Room,
			"account", w.Account.Name, "beyond_share", w.BeyondShare, "share_level", w.ShareLevel,
			"account_cpu", w.Account.Used[sched.MilliCPU], "maybe_cpu", w.Account.PossiblyUsed[sched.MilliCPU], "limit_cpu", w.Account.Part[sched.MilliCPU],
			"account_mem", w.Account.Used[sched.MemoryMiB], "maybe_mem", w.Account.PossiblyUsed[sched.MemoryMiB], "limit_mem", w.Account.Part[sched.MemoryMiB])
	}
}

// logAdvised logs an answer of the policy. started counts the tasks of the step that started since
// the question before, so that it tells what the last answer was good for.
func (d *Driver) logAdvised(a *cell.Ask, permitted int, took time.Duration) {
	level.Debug(d.Log).Log("event", "advised", "job", a.Step.Job, "step", a.Step.Step, "priority", a.Priority, "nth", a.Nth,
		"long", a.Long(), "oldest", a.Oldest(), "asked", len(a.Workers), "known", a.Known, "good", permitted, "started", a.Started,
		"tasks", a.Waiting, "waited_ms", a.Waited.Milliseconds(), "expected_ms", a.Takes().Milliseconds(), "took_ms", took.Milliseconds())
}

// lateLogThreshold is the waiting time from which a late start is logged. The metrics include all
// late starts.
const lateLogThreshold = time.Second

// logLateStarts counts the reasons for which steps started late, and logs the latest ones.
func (d *Driver) logLateStarts(late []cell.LateStart) {
	for i := range late {
		l := &late[i]
		priority := strconv.Itoa(l.Priority)
		fields := []any{"event", "started_late", "job", l.Step.Job, "step", l.Step.Step, "queue", l.Queue, "account", l.Account,
			"priority", l.Priority, "tasks", l.Tasks, "waited_ms", l.Waited.Milliseconds()}
		for why, waited := range l.For {
			d.Scope.Tagged(map[string]string{"why": string(why), "priority": priority}).Counter("late_start_ms_total").Inc(waited.Milliseconds())
			fields = append(fields, string(why)+"_ms", waited.Milliseconds())
		}
		if l.Waited >= lateLogThreshold {
			level.Info(d.Log).Log(fields...)
		}
	}
}

// logUnreachable logs that a hold of an attached worker failed: the last ends that the worker was
// told to forget and has listed, and for a worker that leaves how long it should have stayed. The
// lock is held.
func (d *Driver) logUnreachable(l *link, err error, now time.Time) {
	fields := []any{"event", "worker_unreachable", "worker", l.id, "err", err, "heard_ms_ago", now.Sub(l.answeredAt).Milliseconds(),
		"observed", l.lastObserved, "last_end", l.lastEnd}
	if l.draining {
		fields = append(fields, "remaining_ms", l.leavesAt.Sub(now).Milliseconds())
	}
	level.Info(d.Log).Log(fields...)
}

// logLeaseOver logs that the leases of a worker have expired. If the worker announced that it
// leaves, it also logs the runs that it last listed: such a run may have ended just before the
// worker did. The lock is held.
func (d *Driver) logLeaseOver(l *link, now time.Time) {
	level.Info(d.Log).Log("event", "lease_over", "worker", l.id, "left", l.draining, "heard_ms_ago", now.Sub(l.answeredAt).Milliseconds())
	if !l.draining {
		return
	}
	for _, r := range d.cell.Runs(l.id) {
		level.Info(d.Log).Log("event", "run_left_behind", "job", r.Task.Job, "step", r.Task.Step, "index", r.Task.Index,
			"run", r.Run, "worker", l.id, "percent", r.Percent)
	}
}

// logLostRuns logs the runs that were lost with their workers, and the data by which a task that
// crashes its worker is told from the other tasks there. The lock is held.
func (d *Driver) logLostRuns() {
	for _, r := range d.cell.LostRuns() {
		d.Scope.Tagged(map[string]string{"loss": string(r.Loss)}).Counter("runs_lost_total").Inc(1)
		level.Info(d.Log).Log("event", "run_lost", "job", r.Task.Job, "step", r.Task.Step, "index", r.Task.Index,
			"run", r.Run, "worker", r.Worker, "loss", string(r.Loss), "began", r.Began, "age_ms", r.Age.Milliseconds(),
			"beside", r.Beside, "leaving", r.Leaving, "blame", string(r.Blame), "crashes", r.Crashes)
	}
	for _, r := range d.cell.InheritedLosses() {
		d.Scope.Counter("losses_inherited_total").Inc(1)
		level.Info(d.Log).Log("event", "loss_inherited", "job", r.Task.Job, "step", r.Task.Step, "index", r.Task.Index,
			"run", r.Run, "epoch", d.Claim.Epoch(), "blame", string(r.Blame), "crashes", r.Crashes,
			"workers", strings.Join(r.Workers[:min(len(r.Workers), maxLoggedWorkers)], " "), "workers_lost", len(r.Workers))
	}
	for _, g := range d.cell.GivenUpTasks() {
		d.Scope.Counter("tasks_given_up_total").Inc(1)
		level.Warn(d.Log).Log("event", "task_given_up", "job", g.Task.Job, "step", g.Task.Step, "index", g.Task.Index,
			"crashes", string(flow.Encode(g.Crashes)))
	}
}

// maxLoggedWorkers limits the workers named in a log line.
const maxLoggedWorkers = 8

// logRestored logs what a former owner has stored of a job: nothing if rec is nil. The line tells an end
// that was never stored from one that this owner did not take over.
func (d *Driver) logRestored(id string, rec *flow.Record, version uint64) {
	state, done := flow.Pending, 0
	if rec != nil {
		state, done = rec.State, rec.TasksDone()
	}
	level.Info(d.Log).Log("event", "job_restored", "job", id, "epoch", d.Claim.Epoch(), "state", state, "done", done, "version", version)
}

// logCopies logs the copies of tasks that were started, and what was known of the worker with the
// earlier run. The lock is held.
func (d *Driver) logCopies() {
	for _, r := range d.cell.StartedCopies() {
		d.Scope.Counter("copies_started_total").Inc(1)
		level.Info(d.Log).Log("event", "copy_started", "job", r.Task.Job, "step", r.Task.Step, "index", r.Task.Index,
			"run", r.Run, "worker", r.Worker, "epoch", d.Claim.Epoch(),
			"first_run", r.First, "first_worker", r.FirstWorker, "first_began", r.FirstBegan, "first_age_ms", r.FirstAge.Milliseconds(),
			"unreachable_ms", r.Unreachable.Milliseconds(), "hung_up", r.HungUp, "disconnect_seen", r.DisconnectSeen)
	}
}

// logHeld logs the lists in the answer to a hold, the last end that the worker was told to forget
// and the last one persisted by now. The lock is held.
func (d *Driver) logHeld(l *link, o HoldOrder, a *HoldAnswer, took time.Duration) {
	last := 0
	if n := len(a.Lists.Finished); n > 0 {
		last = a.Lists.Finished[n-1].Number
	}
	level.Debug(d.Log).Log("event", "held", "worker", l.id, "born", a.Lists.Born, "fence", o.Fence, "newest_fence", l.fence,
		"observed", o.Observed, "last_end", last, "more_ends", a.Lists.Truncated, "kept", d.cell.Observed(l.id), "running", len(a.Lists.Running),
		"wait_ms", o.Wait.Milliseconds(), "took_ms", took.Milliseconds())
}

// logReborn logs that a worker answers from another incarnation, with what was known of the
// previous incarnation's ends and what the new one lists. The lock is held.
func (d *Driver) logReborn(l *link, o HoldOrder, a *HoldAnswer, attach bool) {
	d.Scope.Counter("workers_reborn_total").Inc(1)
	first, last := 0, 0
	if ends := a.Lists.Finished; len(ends) > 0 {
		first, last = ends[0].Number, ends[len(ends)-1].Number
	}
	level.Info(d.Log).Log("event", "worker_reborn", "worker", l.id, "before", l.born, "born", a.Lists.Born, "fence", o.Fence, "attach", attach,
		"observed", o.Observed, "first_end", first, "last_end", last, "lists", len(a.Lists.Running), "had", len(d.cell.Runs(l.id)))
}

// logChanges logs changes to the runs of long-running tasks. The lock is held.
func (d *Driver) logChanges() {
	for _, c := range d.cell.Changes() {
		log := level.Info(d.Log)
		if c.Event == cell.RunAdopted {
			// A new owner adopts all of them at once.
			log = level.Debug(d.Log)
		}
		log.Log("event", "lasting_run", "job", c.Task.Job, "step", c.Task.Step, "index", c.Task.Index,
			"run", c.Run, "worker", c.Worker, "what", string(c.Event))
	}
}
