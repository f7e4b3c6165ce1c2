// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/flow"
	"dewpass.org/sched"
)

const (
	// maxAskDelay is how long a step may wait for the question that leads to its start while its
	// eligible workers have room for it askBoundRoom times over and less than half of their pool is
	// in use.
	maxAskDelay  = 3 * time.Second
	askBoundRoom = 2
	// formerRun is the number of the runs that a former owner started.
	formerRun = 1
	// longWait is how long restored jobs have waited when the owner changes.
	longWait = 5 * time.Second
)

// Queues and pools of the takeover.
const (
	callQueue       = "call"
	serviceQueue    = "service"
	batchQueue      = "batch"
	gangQueue       = "gang"
	buildQueue      = "build"
	generalPool     = "general"
	acceleratorPool = "accelerator"
)

// takeover is a replay of an owner that takes over waiting steps, without tickets. It has two pools
// and the queues of each.
type takeover struct {
	*replay
	seed uint64
	// watched are the steps that must be asked about in time.
	watched []*watchedStep
	// limits are the limits on questions in flight, one for each second; the last one stays.
	limits []int
	// lastAsk is the last question about each step, and spent sums up the questions.
	lastAsk map[flow.StepID]Ask
	spent   map[askUse]askCost
}

// watchedStep is a step with the delay of the question that leads to its start.
type watchedStep struct {
	id flow.StepID
	// since is when workers with enough room became available, zero while there are none.
	since   time.Time
	delay   time.Duration
	started bool
}

// askUse classifies the questions by what they were spent on.
type askUse struct {
	queue string
	// repeat tells whether the step had been asked about before, and led whether tasks of the step
	// started after the answer, before the next question.
	repeat, led bool
}

type askCost struct {
	questions int
	time      time.Duration
}

// callersReturn are the limits on questions in flight in successive seconds while instances come
// back; fewCallers and fewestCallers are the limits where most instances stay away.
var (
	callersReturn = []int{5, 21, 34}
	fewCallers    = []int{9}
	fewestCallers = []int{5}
)

func newTakeover(seed uint64, limits []int) *takeover {
	const valid = 2 * time.Second
	advice := func(decide, each float64) *Advice {
		return &Advice{Decide: time.Duration(decide * float64(time.Millisecond)), Each: time.Duration(each * float64(time.Millisecond)), Valid: valid}
	}
	t := &takeover{seed: seed, limits: limits, lastAsk: make(map[flow.StepID]Ask), spent: make(map[askUse]askCost)}
	t.replay = newReplay(seed, []Queue{
		{Name: callQueue, Pool: generalPool, MaxAttempts: 2, Stretch: 1.5, Target: 300 * time.Millisecond, Advice: advice(13, 0.18)},
		{Name: serviceQueue, Pool: generalPool, Priority: 1, MaxAttempts: 3, Stretch: 2.2, Target: 2500 * time.Millisecond, Advice: advice(560, 8)},
		{Name: gangQueue, Pool: acceleratorPool, Priority: 1, MaxAttempts: 3, Stretch: 2.2, Target: time.Second, Advice: advice(550, 7.9)},
		{Name: batchQueue, Pool: generalPool, Priority: 2, MaxAttempts: 3, Stretch: 4, Target: 3 * time.Second, Advice: advice(150, 2.2)},
		{Name: buildQueue, Pool: acceleratorPool, Priority: 2, MaxAttempts: 4, Stretch: 4, Target: 3 * time.Second, Advice: advice(150, 2.1)},
	}, map[string]float64{callQueue: 0.7, serviceQueue: 0.3, gangQueue: 0.3, batchQueue: 0.45, buildQueue: 0.45})
	t.onAsk = t.countAsk
	for i, limit := range limits {
		t.after(time.Duration(i)*time.Second, func() { t.callers = limit })
	}
	return t
}

// generalWorkers adds the workers without accelerators. used is the part of each that tasks of a
// former owner use, in percent.
func (t *takeover) generalWorkers(used int64) {
	sizes := []int64{2, 2, 1, 4}
	for i := range 252 {
		size := sizes[i%len(sizes)]
		room := sched.Vec{sched.MilliCPU: 16_000 * size, sched.MemoryMiB: 65_536 * size, sched.Slots: plenty, sched.Connections: plenty}
		t.addWorker(generalPool, serviceQueue, i, room, room.Scale(used), 100)
	}
}

// acceleratorWorkers adds the workers with accelerators, of which tasks of a former owner use all
// on some and none on the others.
func (t *takeover) acceleratorWorkers(full int) {
	room := sched.Vec{sched.MilliCPU: 64_000, sched.MemoryMiB: 131_072, sched.Accelerators: 8, sched.Slots: plenty, sched.Connections: plenty}
	for i := range 98 {
		used := sched.Vec{}
		if i < full {
			used = room
		}
		t.addWorker(acceleratorPool, buildQueue, i, room, used, 1)
	}
}

// addWorker adds a worker with one long-running task of a former owner that uses used/divisor of it.
func (t *takeover) addWorker(pool, queue string, i int, room, used sched.Vec, divisor int64) {
	w := Worker{ID: fmt.Sprintf("%s-%03d", pool, i), Pool: pool, Hall: fmt.Sprintf("h%d", i%4), Rack: fmt.Sprintf("%s-%d", pool, i/8), Room: room}
	for d := range used {
		used[d] /= divisor
	}
	if used == (sched.Vec{}) {
		t.attach(w, 1)
		return
	}
	used[sched.Slots], used[sched.Connections] = 0, 0
	id := "former-" + w.ID
	t.restore(id, queue, 0, flow.Step{Count: 1, LongRunning: true, Demand: used})
	t.attach(w, 1, Running{Task: flow.TaskID{Job: id}, Run: formerRun})
}

// restore adds a job that has waited for a while. work is the duration of its tasks.
func (t *takeover) restore(id, queue string, work time.Duration, step flow.Step) flow.StepID {
	t.Restore(t.addJob(id, queue, work, step), nil, t.now.Add(-longWait), t.now)
	return flow.StepID{Job: id}
}

// submit adds a job that arrives now.
func (t *takeover) submit(id, queue string, work time.Duration, step flow.Step) flow.StepID {
	t.Submit(t.addJob(id, queue, work, step), t.now, t.now)
	t.JobStored(id)
	return flow.StepID{Job: id}
}

// addJob adds a job of one step to the simulation.
func (t *takeover) addJob(id, queue string, work time.Duration, step flow.Step) *flow.Spec {
	step.EstimateMS = work.Milliseconds()
	spec := &flow.Spec{ID: id, Queue: queue, Steps: []flow.Step{step}}
	t.arrivals[id] = &replayJob{spec: spec, work: work, at: t.now}
	t.permit(flow.StepID{Job: id})
	return spec
}

// permit draws the workers that the policy permits for a step, whatever is asked when.
func (t *takeover) permit(id flow.StepID) {
	var hash uint64
	for _, c := range id.Job {
		hash = hash*31 + uint64(c)
	}
	rng := rand.New(rand.NewPCG(t.seed, hash))
	share := t.permitShare[t.arrivals[id.Job].spec.Queue]
	good := make(map[string]bool)
	for _, pool := range []string{generalPool, acceleratorPool} {
		for i := range 252 {
			good[fmt.Sprintf("%s-%03d", pool, i)] = rng.Float64() < share
		}
	}
	t.permitted[id] = good
}

// watch makes sure that a step is asked about in time.
func (t *takeover) watch(id flow.StepID) { t.watched = append(t.watched, &watchedStep{id: id}) }

// playWatched runs the simulation and follows the watched steps.
func (t *takeover) playWatched(length time.Duration) {
	for end := t.now.Add(length); t.now.Before(end); t.now = t.now.Add(replayTick) {
		t.runDueEvents()
		t.decide()
		inUse := map[string]float64{generalPool: t.inUse(generalPool), acceleratorPool: t.inUse(acceleratorPool)}
		for _, w := range t.watched {
			t.follow(w, inUse)
		}
	}
	for _, last := range t.lastAsk {
		s := t.stage(last.Step)
		t.spend(&last, s == nil || s.advice.started > 0)
	}
}

// follow updates the delay of a watched step.
func (t *takeover) follow(w *watchedStep, inUse map[string]float64) {
	s := t.stage(w.id)
	if w.started || s == nil {
		return
	}
	w.started = s.waiting < len(s.tasks)
	switch {
	case !w.started && (inUse[t.queueOf(w.id).Pool] >= 0.5 || !t.hasRoomFor(s)):
		w.since = time.Time{}
		return
	case w.since.IsZero():
		w.since = t.now
	}
	until := t.now
	if w.started || s.advice.asking {
		until = s.advice.lastAsked
	}
	w.delay = max(w.delay, until.Sub(w.since))
}

func (t *takeover) queueOf(id flow.StepID) *Queue {
	return t.Cell.queues[t.arrivals[id.Job].spec.Queue]
}

// hasRoomFor reports whether the workers that the policy permits for s have room for it
// askBoundRoom times over.
func (t *takeover) hasRoomFor(s *stage) bool {
	fit, room := 0, s.def.Reservation()
	for _, w := range t.sortedWorkers {
		if !t.permitted[s.id()][w.ID] || !w.suits(s, t.queueOf(s.id())) {
			continue
		}
		for free := w.free; free.Covers(&room); free = free.Sub(room) {
			fit++
		}
	}
	return fit >= askBoundRoom*len(s.tasks)
}

// inUse returns the part of a pool that is in use, of processors or of accelerators, whichever is
// more.
func (t *takeover) inUse(pool string) float64 {
	var free, room sched.Vec
	for _, w := range t.sortedWorkers {
		if w.Pool == pool {
			free, room = free.Add(w.free), room.Add(w.Room)
		}
	}
	most := 0.0
	for _, d := range []sched.Dim{sched.MilliCPU, sched.Accelerators} {
		if room[d] > 0 {
			most = max(most, 1-float64(free[d])/float64(room[d]))
		}
	}
	return most
}

// countAsk counts what the question before a was good for.
func (t *takeover) countAsk(a Ask) {
	if last, repeated := t.lastAsk[a.Step]; repeated {
		t.spend(&last, a.Started > 0)
	}
	t.lastAsk[a.Step] = a
}

func (t *takeover) spend(a *Ask, led bool) {
	use := askUse{queue: t.queueOf(a.Step).Name, repeat: a.Nth > 1, led: led}
	cost := t.spent[use]
	t.spent[use] = askCost{cost.questions + 1, cost.time + a.Takes()}
}

// worst returns the longest delay of a watched step.
func (t *takeover) worst() time.Duration {
	worst := time.Duration(0)
	for _, w := range t.watched {
		worst = max(worst, w.delay)
	}
	return worst
}

// useful returns the policy's time for the questions that led to a start.
func (t *takeover) useful() time.Duration {
	sum := time.Duration(0)
	for use, cost := range t.spent {
		if use.led {
			sum += cost.time
		}
	}
	return sum
}

// policyTimeIn returns how long the policy can work, for all callers together, from the change of
// owner on.
func (t *takeover) policyTimeIn(d time.Duration) time.Duration {
	sum := time.Duration(0)
	for i := 0; time.Duration(i)*time.Second < d; i++ {
		sum += time.Duration(t.limits[min(i, len(t.limits)-1)]) * time.Second
	}
	return sum
}

func (t *takeover) print(title string) {
	late, started := 0, 0
	for _, w := range t.watched {
		if w.delay > maxAskDelay {
			late++
		}
		if w.started {
			started++
		}
	}
	GinkgoWriter.Printf("%s, seed %d: %d watched steps, %d started, %d asked about late, longest delay %v\n", title, t.seed, len(t.watched), started, late, t.worst())
	for _, q := range t.queues {
		for _, repeat := range []bool{false, true} {
			for _, led := range []bool{true, false} {
				use := askUse{q.Name, repeat, led}
				if c := t.spent[use]; c.questions > 0 {
					GinkgoWriter.Printf("  %-8s repeat %-5v led to a start %-5v: %5d questions, %6.1f s of the policy's time\n", q.Name, repeat, led, c.questions, c.time.Seconds())
				}
			}
		}
	}
}

// duration draws the duration of a job's tasks, with a mean in milliseconds.
func (t *takeover) duration(mean float64) time.Duration {
	return time.Duration(mean*min(math.Exp(t.rng.NormFloat64()*0.47-0.11), 2.5)) * time.Millisecond
}

// gang returns a step of a gang whose tasks take all accelerators of a worker.
func gang(count int) flow.Step {
	return flow.Step{Count: count, Gang: true, Demand: sched.Vec{sched.MilliCPU: 31_000, sched.MemoryMiB: 45_000, sched.Accelerators: 8}}
}

// mixedGang returns the nth of a mix of gangs of 2 to 8 tasks, each with 2, 4 or 8 accelerators.
func mixedGang(n int) flow.Step {
	g := gang(2 + n%7)
	g.Demand[sched.Accelerators] = []int64{2, 4, 8, 8}[n%4]
	return g
}

func build(count int) flow.Step {
	return flow.Step{Count: count, Demand: sched.Vec{sched.MilliCPU: 5_600, sched.MemoryMiB: 11_000, sched.Accelerators: 1}}
}

func call(count int) flow.Step {
	return flow.Step{Count: count, Demand: sched.Vec{sched.MilliCPU: 5_300, sched.MemoryMiB: 15_000}}
}

func batch(count int) flow.Step {
	return flow.Step{Count: count, Demand: sched.Vec{sched.MilliCPU: 9_000, sched.MemoryMiB: 25_000}}
}

// expectAskedInTime plays a load without and with others, the steps that compete with the watched
// ones, and expects that the watched steps are asked about in time. Without the others they must
// be, too: the callers suffice.
func expectAskedInTime(limits []int, length time.Duration, watched, others func(t *takeover)) {
	const seeds = 2
	worst := time.Duration(0)
	for seed := range uint64(seeds) {
		alone := newTakeover(seed, limits)
		watched(alone)
		alone.playWatched(length)
		alone.print("alone")
		Expect(alone.worst()).To(BeNumerically("<=", maxAskDelay), "the callers do not suffice even for these steps alone")

		t := newTakeover(seed, limits)
		watched(t)
		others(t)
		t.playWatched(length)
		t.print("with others")
		needed, have := t.useful()+alone.policyTime, t.policyTimeIn(maxAskDelay)
		GinkgoWriter.Printf("  useful questions and those of the watched steps alone: %.1f s of the policy's time, of %.1f s in %v\n", needed.Seconds(), have.Seconds(), maxAskDelay)
		Expect(needed).To(BeNumerically("<", have), "the callers do not suffice for the useful questions")
		worst = max(worst, t.worst())
	}
	Expect(worst).To(BeNumerically("<=", maxAskDelay))
}

// restoreGangs restores gangs of a size.
func restoreGangs(n, size int) func(t *takeover) {
	return func(t *takeover) {
		for i := range n {
			t.restore(fmt.Sprintf("g%03d", i), gangQueue, t.duration(3600), gang(size))
		}
	}
}

var _ = Describe("a step whose workers are free, after a change of owner", func() {
	// Guards against short questions that fill the limit, so that no long question is sent.
	It("is asked about in time, though there are more short questions than the limit allows", func() {
		const length = 4500 * time.Millisecond
		expectAskedInTime(fewestCallers, length, func(t *takeover) {
			t.generalWorkers(85)
			t.acceleratorWorkers(0)
			for i := range 8 {
				t.watch(t.restore(fmt.Sprintf("b%d", i), buildQueue, t.duration(3800), build(8)))
			}
		}, func(t *takeover) {
			for i := range 300 {
				t.restore(fmt.Sprintf("c%03d", i), callQueue, t.duration(560), call(1+i%18))
			}
			t.arrivalsAt(length, func(time.Duration) float64 { return 70 }, func(at time.Duration, n int) {
				t.after(at, func() { t.submit(fmt.Sprintf("d%03d", n), callQueue, t.duration(560), call(1+n%18)) })
			})
		})
	})

	// Guards against short questions that fill the limit while their answers are taken in late.
	It("is asked about in time, though an owner that lags has more short questions than the limit allows", func() {
		const length = 4500 * time.Millisecond
		expectAskedInTime(fewestCallers, length, func(t *takeover) {
			t.answerLag = 100 * time.Millisecond
			t.generalWorkers(0)
			t.acceleratorWorkers(0)
			for i := range 8 {
				t.watch(t.restore(fmt.Sprintf("b%d", i), buildQueue, t.duration(3800), build(8)))
			}
		}, func(t *takeover) {
			for i := range 300 {
				t.restore(fmt.Sprintf("c%03d", i), callQueue, t.duration(560), call(1+i%4))
			}
			t.arrivalsAt(length, func(time.Duration) float64 { return 70 }, func(at time.Duration, n int) {
				t.after(at, func() { t.submit(fmt.Sprintf("d%03d", n), callQueue, t.duration(560), call(1+n%4)) })
			})
		})
	})

	// Guards against first questions about steps for which no worker has room that go before those
	// about steps whose workers are free.
	It("is asked about in time, though many steps of a full pool come first by rank", func() {
		expectAskedInTime(callersReturn, 8*time.Second, func(t *takeover) {
			t.generalWorkers(0)
			t.acceleratorWorkers(98)
			for i := range 8 {
				t.watch(t.restore(fmt.Sprintf("b%d", i), batchQueue, t.duration(3600), batch(20)))
			}
		}, restoreGangs(80, 5))
	})

	// Guards against repeated questions that start nothing, about gangs that cannot start with the
	// room there is.
	for _, c := range []struct {
		limits []int
		gangs  int
	}{{callersReturn, 140}, {fewCallers, 40}} {
		It(fmt.Sprintf("is asked about in time, though %d gangs that cannot start are asked about again and again (limits %v)", c.gangs, c.limits), func() {
			expectAskedInTime(c.limits, 16*time.Second, func(t *takeover) {
				t.generalWorkers(0)
				t.acceleratorWorkers(91)
				for i := range 8 {
					t.after(11*time.Second+time.Duration(i)*100*time.Millisecond, func() {
						t.watch(t.submit(fmt.Sprintf("b%d", i), batchQueue, t.duration(3600), batch(20)))
					})
				}
			}, restoreGangs(c.gangs, 8))
		})
	}

	// Guards against the wide questions about gangs and small tasks of a pool that fills up, which go
	// before those about steps whose workers are free.
	It("is asked about in time, though another pool fills up with gangs and small tasks", func() {
		const length = 8 * time.Second
		expectAskedInTime(callersReturn, length, func(t *takeover) {
			t.generalWorkers(0)
			t.acceleratorWorkers(60)
			for i := range 8 {
				t.watch(t.restore(fmt.Sprintf("b%d", i), batchQueue, t.duration(3600), batch(20)))
			}
		}, func(t *takeover) {
			for i := range 30 {
				t.restore(fmt.Sprintf("g%03d", i), gangQueue, t.duration(3600), mixedGang(i))
				t.restore(fmt.Sprintf("s%03d", i), buildQueue, t.duration(3800), build(13))
			}
			t.arrivalsAt(length, func(time.Duration) float64 { return 4 }, func(at time.Duration, n int) {
				t.after(at, func() { t.submit(fmt.Sprintf("h%03d", n), gangQueue, t.duration(3600), mixedGang(n)) })
			})
			t.arrivalsAt(length, func(time.Duration) float64 { return 4.6 }, func(at time.Duration, n int) {
				t.after(at, func() { t.submit(fmt.Sprintf("d%03d", n), buildQueue, t.duration(3800), build(13)) })
			})
		})
	})
})
