// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"dewpass.org/flow"
	"dewpass.org/sched"
)

// replay runs a cell on recorded arrivals in virtual time. Workers, the policy and the store are
// simulated with the delays that they have in production; the decisions are those of the real cell.
type replay struct {
	*Cell
	now       time.Time
	began     time.Time
	rng       *rand.Rand
	queues    []Queue
	events    []replayEvent
	workers   map[string]*replayWorker
	arrivals  map[string]*replayJob
	permitted map[flow.StepID]map[string]bool
	// gangs holds the members of each run of a gang. The run number is the Index of the key.
	gangs map[flow.TaskID][]*replayRun
	// permitShare is the share of the workers that the policy permits for a step, by queue.
	permitShare map[string]float64
	// discardedWork is the work that was stopped without a checkpoint, in processor seconds.
	discardedWork float64
	// callers is the limit on questions in flight, 0 for replayCallers.
	callers int
	// onAsk is called for each question to the policy if it is set.
	onAsk func(Ask)
	// answerLag is how much later than the policy answers the owner takes an answer in.
	answerLag time.Duration
	// policyTime is how long the policy has worked.
	policyTime time.Duration
	// stops counts the orders to stop, and asked the questions to the policy.
	stops, asked int
	// A task takes tailFactor times as long as the others of its step with probability tail.
	tail, tailFactor float64
	// estimateError holds the bounds between which the largest error of a job's estimate is drawn.
	estimateError [2]float64
}

// replayEvent is a function to call at a time.
type replayEvent struct {
	at    time.Time
	order int
	do    func()
}

// replayWorker is a simulated worker with its speed and its runs.
type replayWorker struct {
	id    string
	room  sched.Vec
	speed float64
	ends  int
	runs  map[runKey]*replayRun
}

type replayRun struct {
	w      *replayWorker
	start  Start
	step   *flow.Step
	begun  time.Time
	length time.Duration
	ended  bool
}

// replayJob is a recorded arrival: a job, the true duration of each of its tasks, and its result.
type replayJob struct {
	spec   *flow.Spec
	queue  *Queue
	work   time.Duration
	at     time.Time
	ended  time.Time
	result flow.State
	// done counts the tasks that a baseline has done.
	done int
}

const (
	// replayTick is the time between decisions, the longest of a driver.
	replayTick = 10 * time.Millisecond
	// replayOrder is the delay of an order on its way to a worker, and replayEnd that of an end on
	// its way to the owner.
	replayOrder = 4 * time.Millisecond
	replayEnd   = 4 * time.Millisecond
	// replayStop is how long a stop takes, and replayRestore how long it takes to resume from a
	// checkpoint.
	replayStop    = 200 * time.Millisecond
	replayRestore = 600 * time.Millisecond
	// replayStore is how long it takes until an accepted job is known to be stored.
	replayStore = 12 * time.Millisecond
	// replayCallers is how many instances ask the policy.
	replayCallers = 9
)

func newReplay(seed uint64, queues []Queue, fit map[string]float64) *replay {
	r := &replay{
		Cell: New(1 << 12), began: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)), queues: queues,
		workers: make(map[string]*replayWorker), arrivals: make(map[string]*replayJob),
		permitted: make(map[flow.StepID]map[string]bool), gangs: make(map[flow.TaskID][]*replayRun), permitShare: fit,
	}
	r.now = r.began
	r.Configure(queues)
	return r
}

func (r *replay) worker(id, hall, rack string, room sched.Vec, speed float64) {
	r.attach(Worker{ID: id, Pool: "p", Hall: hall, Rack: rack, Room: room}, speed)
}

// attach adds a worker with the runs that a former owner started there.
func (r *replay) attach(w Worker, speed float64, running ...Running) {
	w.Addr = w.ID
	r.workers[w.ID] = &replayWorker{id: w.ID, room: w.Room, speed: speed, runs: make(map[runKey]*replayRun)}
	r.Heard(w, r.now)
	r.Attached(w.ID, Lists{Running: running}, r.now)
}

func (r *replay) after(d time.Duration, do func()) {
	r.events = append(r.events, replayEvent{at: r.now.Add(d), order: len(r.events), do: do})
}

// arrive schedules the arrival of a job, at a time after the beginning.
func (r *replay) arrive(after time.Duration, spec *flow.Spec, work time.Duration) {
	j := &replayJob{spec: spec, work: work, at: r.began.Add(after)}
	for i := range r.queues {
		if r.queues[i].Name == spec.Queue {
			j.queue = &r.queues[i]
		}
	}
	r.arrivals[spec.ID] = j
	r.events = append(r.events, replayEvent{at: j.at, order: len(r.events), do: func() {
		r.Submit(spec, r.now, r.now)
		r.after(replayStore, func() { r.JobStored(spec.ID) })
	}})
}

// arrivalsAt draws random times of arrivals, at a rate in jobs per second.
func (r *replay) arrivalsAt(length time.Duration, rate func(at time.Duration) float64, arrive func(at time.Duration, n int)) {
	for at, n := time.Duration(0), 0; at < length; n++ {
		at += time.Duration(r.rng.ExpFloat64() / rate(at) * float64(time.Second))
		arrive(at, n)
	}
}

// job schedules a job of some equal steps in sequence, with tasks of about mean and an estimate
// that may be off by a fifth.
func (r *replay) job(at time.Duration, id, queue string, count int, step flow.Step, mean time.Duration) {
	work := time.Duration(float64(mean) * min(math.Exp(r.rng.NormFloat64()*0.47-0.11), 2.5))
	estimateError := 0.2
	if bounds := r.estimateError; bounds[1] > 0 {
		estimateError = bounds[0] + (bounds[1]-bounds[0])*r.rng.Float64()
	}
	step.EstimateMS = int64(float64(work.Milliseconds()) * (1 - estimateError + 2*estimateError*r.rng.Float64()))
	steps := slices.Repeat([]flow.Step{step}, count)
	for i := 1; i < count; i++ {
		steps[i].DependsOn = []int{i - 1}
	}
	hall := fmt.Sprintf("h%d", r.rng.IntN(4))
	r.arrive(at, &flow.Spec{ID: id, Queue: queue, Hall: hall, Steps: steps}, work)
}

// play runs the simulation for a length of time.
func (r *replay) play(length time.Duration) {
	for r.now.Before(r.began.Add(length)) {
		r.runDueEvents()
		r.decide()
		r.now = r.now.Add(replayTick)
	}
}

// runDueEvents runs the events that are due now, in order.
func (r *replay) runDueEvents() {
	var now []replayEvent
	r.events = slices.DeleteFunc(r.events, func(e replayEvent) bool {
		if e.at.After(r.now) {
			return false
		}
		now = append(now, e)
		return true
	})
	slices.SortStableFunc(now, func(a, b replayEvent) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.order, b.order))
	})
	for _, e := range now {
		e.do()
	}
}

func (r *replay) decide() {
	r.Saved(r.Saves(100), true)
	a := r.Place(r.now, r.now, cmp.Or(r.callers, replayCallers))
	for _, s := range a.Starts {
		r.after(replayOrder, func() { r.begin(s) })
	}
	for _, s := range a.Stops {
		r.after(replayOrder+replayStop, func() { r.stopped(s) })
	}
	r.asked += len(a.Asks)
	for _, ask := range a.Asks {
		sent := r.now
		r.policyTime += ask.Takes()
		if r.onAsk != nil {
			r.onAsk(ask)
		}
		r.after(ask.Takes()+r.answerLag, func() { r.answer(ask, sent) })
	}
	for _, o := range r.Ended() {
		if j := r.arrivals[o.ID]; j.result == "" {
			j.ended, j.result = r.now, o.State
		}
		r.Archived(o.ID)
	}
}

// answer plays the policy: it permits some workers for a step, always the same ones.
func (r *replay) answer(a Ask, sent time.Time) {
	good := r.permitted[a.Step]
	if good == nil {
		good = make(map[string]bool)
		r.permitted[a.Step] = good
	}
	j := r.arrivals[a.Step.Job]
	var tickets []Ticket
	for _, id := range a.Workers {
		fit, known := good[id]
		if !known {
			// The first worker is always permitted.
			fit = r.rng.Float64() < r.permitShare[j.spec.Queue] || len(good) == 0
			good[id] = fit
		}
		if fit {
			tickets = append(tickets, Ticket{Worker: id, Text: "t"})
		}
	}
	r.Advised(a, tickets, a.Advice.Valid, sent.Add(a.Takes()))
}

func (r *replay) begin(s Start) {
	j := r.arrivals[s.Task.Job]
	step := &j.spec.Steps[s.Task.Step]
	w := r.workers[s.Worker]
	length := time.Duration(float64(j.work) / w.speed)
	if r.tail > 0 && r.rng.Float64() < r.tail {
		length = time.Duration(float64(length) * r.tailFactor)
	}
	if s.Checkpoint != "" {
		length = savedLeft(s.Checkpoint) + replayRestore
	}
	run := &replayRun{w: w, start: s, step: step, begun: r.now, length: length}
	w.runs[runKey{s.Task, s.Run}] = run
	r.Started(s.Worker, s.Task, s.Run, Accepted, r.now)
	if step.Gang {
		r.join(run)
		return
	}
	if step.LongRunning {
		return
	}
	r.after(length+replayEnd, func() { r.end(run, flow.EndDone, "") })
}

// join adds a member to its gang, all members of which end with the slowest.
func (r *replay) join(run *replayRun) {
	key := run.start.Task
	key.Index = run.start.Run
	gang := append(r.gangs[key], run)
	r.gangs[key] = gang
	if len(gang) < run.step.Count {
		return
	}
	var slowest time.Duration
	for _, m := range gang {
		slowest = max(slowest, m.length)
	}
	for _, m := range gang {
		m.length = slowest
		r.after(slowest+replayEnd, func() { r.end(m, flow.EndDone, "") })
	}
}

// end lists the end of a run, once.
func (r *replay) end(run *replayRun, how flow.End, saved string) {
	if run.ended {
		return
	}
	run.ended = true
	w := run.w
	delete(w.runs, runKey{run.start.Task, run.start.Run})
	w.ends++
	f := Finished{Number: w.ends, Task: run.start.Task, Run: run.start.Run, How: how, Checkpoint: saved}
	r.Listed(w.id, Lists{Finished: []Finished{f}, RunsIncomplete: true}, r.now, r.now)
}

func (r *replay) stopped(s Stop) {
	w := r.workers[s.Worker]
	run := w.runs[runKey{s.Task, s.Run}]
	if run == nil {
		return
	}
	r.stops++
	saved := ""
	worked := r.now.Sub(run.begun)
	if run.step.Checkpoints {
		saved = "left " + (run.length - worked).String()
	} else {
		d := run.step.Demand
		r.discardedWork += worked.Seconds() * (float64(d[sched.MilliCPU])/1000 + 8*float64(d[sched.Accelerators]))
	}
	r.end(run, flow.EndStopped, saved)
}

func savedLeft(s string) time.Duration {
	d, err := time.ParseDuration(s[len("left "):])
	if err != nil {
		panic(err)
	}
	return d
}

// outcome summarizes the jobs of a queue: the shares of jobs that were in time and late, and the
// percentiles of their duration.
type outcome struct {
	jobs         int
	inTime, late float64
	p50, p95     time.Duration
}

func (o outcome) String() string {
	return fmt.Sprintf("%d jobs, %.3f in time, %.3f late, p50 %v, p95 %v", o.jobs, o.inTime, o.late,
		o.p50.Round(time.Millisecond), o.p95.Round(time.Millisecond))
}

// credit returns the score of an outcome: a late job counts a fifth.
func (o outcome) credit() float64 { return o.inTime + o.late/5 }

// outcomes summarizes the jobs of each queue.
func (r *replay) outcomes() map[string]outcome {
	took := make(map[string][]time.Duration)
	out := make(map[string]outcome)
	for _, j := range r.arrivals {
		name := j.spec.Queue
		d := r.now.Sub(j.at)
		if j.result == flow.Succeeded {
			d = j.ended.Sub(j.at)
		}
		took[name] = append(took[name], d)
		o := out[name]
		switch objective := j.objective(); {
		case d <= objective:
			o.inTime++
		case d <= 3*objective:
			o.late++
		}
		out[name] = o
	}
	for name, all := range took {
		slices.Sort(all)
		o := out[name]
		o.jobs = len(all)
		o.inTime /= float64(o.jobs)
		o.late /= float64(o.jobs)
		o.p50, o.p95 = all[len(all)/2], all[len(all)*95/100]
		out[name] = o
	}
	return out
}

// objective returns the time within which the job should end: its work on a worker of normal speed,
// stretched, and one question to the policy.
func (j *replayJob) objective() time.Duration {
	d := j.queue.Target + time.Duration(j.queue.Stretch*float64(len(j.spec.Steps))*float64(j.work))
	if a := j.queue.Advice; a != nil {
		d += a.Decide + minAskWorkers*a.Each
	}
	return d
}

// playGreedy plays the same arrivals with a baseline instead of the cell: each task goes to the
// first worker that has room and is permitted, in order of arrival, or of priority and then
// arrival. The policy is asked once per job and its answers never expire.
func (r *replay) playGreedy(length time.Duration, byPriority bool) map[string]outcome {
	jobs := slices.SortedFunc(maps.Values(r.arrivals), func(a, b *replayJob) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.spec.ID, b.spec.ID))
	})
	if byPriority {
		slices.SortStableFunc(jobs, func(a, b *replayJob) int { return cmp.Compare(a.queue.Priority, b.queue.Priority) })
	}
	ids := slices.Sorted(maps.Keys(r.workers))
	left := make(map[*replayJob]int, len(jobs))
	fits := make(map[*replayJob][]string, len(jobs))
	for _, j := range jobs {
		left[j] = j.spec.Steps[0].Count
		for _, id := range ids {
			if r.rng.Float64() < r.permitShare[j.spec.Queue] || (id == ids[len(ids)-1] && len(fits[j]) == 0) {
				fits[j] = append(fits[j], id)
			}
		}
	}
	r.events = nil
	for ; r.now.Before(r.began.Add(length)); r.now = r.now.Add(replayTick) {
		r.runDueEvents()
		for _, j := range jobs {
			advised := j.at.Add(j.queue.Advice.Decide + time.Duration(len(ids))*j.queue.Advice.Each)
			if left[j] > 0 && !r.now.Before(advised) {
				r.greedyStart(j, fits[j], left)
			}
		}
	}
	return r.outcomes()
}

// greedyStart starts the tasks of a job that find room, those of a gang all or none.
func (r *replay) greedyStart(j *replayJob, fits []string, left map[*replayJob]int) {
	step := &j.spec.Steps[0]
	demand := step.Demand
	var picks []*replayWorker
	for _, id := range fits {
		w := r.workers[id]
		for len(picks) < left[j] && w.room.Covers(&demand) {
			w.room = w.room.Sub(demand)
			picks = append(picks, w)
		}
	}
	if step.Gang && len(picks) < step.Count {
		for _, w := range picks {
			w.room = w.room.Add(demand)
		}
		return
	}
	left[j] -= len(picks)
	slowest := 10.0
	for _, w := range picks {
		slowest = min(slowest, w.speed)
	}
	for _, w := range picks {
		speed := w.speed
		if step.Gang {
			speed = slowest
		}
		r.after(time.Duration(float64(j.work)/speed)+replayOrder+replayEnd, func() {
			w.room = w.room.Add(demand)
			if j.done++; j.done == step.Count {
				j.ended, j.result = r.now, flow.Succeeded
			}
		})
	}
}
