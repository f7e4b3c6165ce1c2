// SPDX-License-Identifier: Apache-2.0

package sched

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// This file holds a small driver with a virtual clock. It feeds a policy a seeded sequence of
// arrivals and measures the result. It does not simulate a cluster: a task takes as long as its
// source says, and nothing fails unless a test says so.

// source is a stream of arrivals of one kind of work.
type source struct {
	name     string
	task     Task
	rate     float64 // arrivals a second
	length   time.Duration
	deadline time.Duration // relative to the arrival; 0 is none
	// peak multiplies the rate between peakFrom and peakTo; 0 means no peak.
	peak       float64
	peakFrom   time.Duration
	peakTo     time.Duration
	saturating bool
}

func (s *source) rateAt(now time.Duration) float64 {
	if s.peak > 0 && now >= s.peakFrom && now < s.peakTo {
		return s.rate * s.peak
	}
	return s.rate
}

// arrival is one task that arrived, with its progress.
type arrival struct {
	source       *source
	arrivedAt    time.Duration
	task         Task
	remaining    time.Duration
	runningSince time.Duration // when it last began to run
	speed        float64
	handle       Handle
	worker       WorkerID
	started      bool
	firstStart   time.Duration
	gen          int
}

// policy places arriving tasks. The cell and every baseline implement it.
type policy interface {
	addWorker(capacity Vec)
	arrive(ref uint64, it *arrival, now time.Duration) bool
	decide(now time.Duration, out []Decision) []Decision
	finish(ref uint64, it *arrival, now time.Duration)
	preempted(ref uint64, it *arrival, op Op, now time.Duration)
	waiting() int
	used() (used, whole Vec)
}

// outcome holds the measurements of a run.
type outcome struct {
	waits    map[string]*hdrhistogram.Histogram // microseconds
	arrived  map[string]int
	started  map[string]int
	refused  map[string]int
	missed   map[string]int
	finished map[string]int
	// busy is the share of the scarcest resource that was in use while tasks waited.
	busy        float64
	busyTime    time.Duration
	busyArea    float64
	decisions   int
	preemptions int
}

func newOutcome(sources []source) *outcome {
	o := &outcome{
		waits: map[string]*hdrhistogram.Histogram{}, arrived: map[string]int{}, started: map[string]int{},
		refused: map[string]int{}, missed: map[string]int{}, finished: map[string]int{},
	}
	for _, s := range sources {
		o.waits[s.name] = hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 2)
	}
	return o
}

type eventKind uint8

const (
	evArrive eventKind = iota
	evRetry
	evFinish
	evPreempted
)

type event struct {
	at   time.Duration
	seq  uint64
	kind eventKind
	ref  uint64
	gen  int
	op   Op
	src  int
}

// events is a binary heap ordered by time, then by order of entry.
type events []event

func (h events) less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h *events) push(e event) {
	*h = append(*h, e)
	s := *h
	for i := len(s) - 1; i > 0 && s.less(i, (i-1)/2); i = (i - 1) / 2 {
		s[i], s[(i-1)/2] = s[(i-1)/2], s[i]
	}
}

func (h *events) pop() event {
	s := *h
	top := s[0]
	s[0] = s[len(s)-1]
	s = s[:len(s)-1]
	*h = s
	for i := 0; ; {
		least := i
		for _, c := range [2]int{2*i + 1, 2*i + 2} {
			if c < len(s) && s.less(c, least) {
				least = c
			}
		}
		if least == i {
			return top
		}
		s[i], s[least] = s[least], s[i]
		i = least
	}
}

// driver runs one policy.
type driver struct {
	policy      policy
	sources     []source
	rng         *rand.Rand
	queue       events
	seq         uint64
	arrivals    map[uint64]*arrival
	lastRef     uint64
	out         *outcome
	now         time.Duration
	accountedAt time.Duration
	buf         []Decision
	// slowdown multiplies the duration of tasks by worker.
	slowdown map[WorkerID]float64
	// retryAtOnce makes callers come back right after a refusal.
	retryAtOnce bool
	// placed counts the starts on each worker.
	placed map[WorkerID]int
}

// immediateRetryDelay is the delay after which a caller that ignores Retry-After comes back.
const immediateRetryDelay = 20 * time.Millisecond

// preemptionTime is how long a worker takes to throttle, checkpoint or stop a task.
const preemptionTime = 5 * time.Millisecond

// drive runs a policy on the sources for the given virtual time.
func drive(p policy, sources []source, length time.Duration, seed uint64) *outcome {
	return newDriver(p, sources, seed).run(length)
}

func newDriver(p policy, sources []source, seed uint64) *driver {
	return &driver{
		policy: p, sources: sources, rng: rand.New(rand.NewPCG(seed, 7)),
		arrivals: map[uint64]*arrival{}, out: newOutcome(sources), placed: map[WorkerID]int{},
	}
}

func (d *driver) run(length time.Duration) *outcome {
	for i := range d.sources {
		d.nextArrival(i)
	}
	for len(d.queue) > 0 && d.queue[0].at <= length {
		e := d.queue.pop()
		d.now = e.at
		d.accountBusy()
		d.handle(e)
		d.decide()
	}
	if d.out.busyTime > 0 {
		d.out.busy = d.out.busyArea / d.out.busyTime.Seconds()
	}
	return d.out
}

// accountBusy adds the time since the last event to the busy time if tasks waited.
func (d *driver) accountBusy() {
	span := d.now - d.accountedAt
	d.accountedAt = d.now
	if d.policy.waiting() == 0 {
		return
	}
	used, whole := d.policy.used()
	d.out.busyArea += used.Share(whole) * span.Seconds()
	d.out.busyTime += span
}

func (d *driver) push(e event) {
	d.seq++
	e.seq = d.seq
	d.queue.push(e)
}

func (d *driver) nextArrival(src int) {
	s := &d.sources[src]
	gap := time.Duration(d.rng.ExpFloat64() / s.rateAt(d.now) * float64(time.Second))
	d.push(event{at: d.now + gap, kind: evArrive, src: src})
}

func (d *driver) handle(e event) {
	switch e.kind {
	case evArrive:
		d.arrive(e.src)
		d.nextArrival(e.src)
		return
	case evRetry:
		d.arrive(e.src)
		return
	}
	it := d.arrivals[e.ref]
	if it == nil || it.gen != e.gen {
		return
	}
	if e.kind == evFinish {
		d.finish(e.ref, it)
		return
	}
	d.preempted(e.ref, it, e.op)
}

func (d *driver) arrive(src int) {
	s := &d.sources[src]
	d.lastRef++
	it := &arrival{source: s, arrivedAt: d.now, task: s.task, worker: NoWorker, speed: 1}
	it.remaining = time.Duration((0.5 + d.rng.Float64()) * float64(s.length))
	it.task.Ref = d.lastRef
	it.task.Estimate = s.length
	if s.deadline > 0 {
		it.task.Deadline = d.now + s.deadline
	}
	d.out.arrived[s.name]++
	if !d.policy.arrive(d.lastRef, it, d.now) {
		d.out.refused[s.name]++
		if d.retryAtOnce {
			d.push(event{at: d.now + immediateRetryDelay, kind: evRetry, src: src})
		}
		return
	}
	d.arrivals[d.lastRef] = it
}

func (d *driver) finish(ref uint64, it *arrival) {
	name := it.source.name
	d.out.finished[name]++
	if it.task.Deadline > 0 && d.now > it.task.Deadline {
		d.out.missed[name]++
	}
	d.policy.finish(ref, it, d.now)
	delete(d.arrivals, ref)
}

// updateRemaining subtracts the work done since the task last started or changed speed.
func (d *driver) updateRemaining(it *arrival) {
	it.remaining -= time.Duration(float64(d.now-it.runningSince) * it.speed)
	it.remaining = max(it.remaining, 0)
	it.runningSince = d.now
	it.gen++
}

func (d *driver) scheduleFinish(ref uint64, it *arrival) {
	took := time.Duration(float64(it.remaining) / it.speed)
	d.push(event{at: d.now + took, kind: evFinish, ref: ref, gen: it.gen})
}

func (d *driver) preempted(ref uint64, it *arrival, op Op) {
	d.updateRemaining(it)
	if op == OpThrottle {
		it.speed = 1.0 / throttleDivisor
		d.policy.preempted(ref, it, op, d.now)
		d.scheduleFinish(ref, it)
		return
	}
	if op == OpStop {
		it.remaining = it.source.length
	}
	it.worker = NoWorker
	it.speed = 1
	d.policy.preempted(ref, it, op, d.now)
}

func (d *driver) decide() {
	d.buf = d.policy.decide(d.now, d.buf[:0])
	for _, dec := range d.buf {
		d.out.decisions++
		it := d.arrivals[dec.Ref]
		if it == nil {
			continue
		}
		switch dec.Op {
		case OpStart:
			d.begin(dec.Ref, it, dec.Worker)
		case OpExpire:
			d.out.refused[it.source.name]++
			delete(d.arrivals, dec.Ref)
		case OpResume:
			d.updateRemaining(it)
			it.speed = 1
			d.scheduleFinish(dec.Ref, it)
		default:
			d.out.preemptions++
			d.push(event{at: d.now + preemptionTime, kind: evPreempted, ref: dec.Ref, gen: it.gen, op: dec.Op})
		}
	}
}

func (d *driver) begin(ref uint64, it *arrival, w WorkerID) {
	it.worker = w
	it.runningSince = d.now
	if !it.started {
		it.started = true
		it.firstStart = d.now
		d.out.started[it.source.name]++
		wait := (d.now - it.arrivedAt).Microseconds()
		_ = d.out.waits[it.source.name].RecordValue(max(wait, 1))
	}
	it.gen++
	it.speed = 1
	if f := d.slowdown[w]; f > 0 {
		it.speed = 1 / f
	}
	d.placed[w]++
	d.scheduleFinish(ref, it)
}

// cellPolicy runs the Cell as a policy.
type cellPolicy struct {
	cell Cell
}

func (p *cellPolicy) addWorker(capacity Vec) {
	p.cell.Add(RackID(p.cell.openCount/8), capacity)
}

func (p *cellPolicy) arrive(ref uint64, it *arrival, now time.Duration) bool {
	if it.task.Call {
		p.cell.RecordCallArrival(it.task.Demand, now)
		it.task.StartBy = it.task.Deadline
		if v, _ := p.cell.Admit(&it.task, now); v != Admitted {
			return false
		}
	}
	it.handle = p.cell.Submit(it.task, now)
	return true
}

func (p *cellPolicy) decide(now time.Duration, out []Decision) []Decision {
	out = p.cell.Step(now, out)
	return p.cell.ResumeThrottled(now, out)
}

func (p *cellPolicy) finish(_ uint64, it *arrival, now time.Duration) { p.cell.Finish(it.handle, now) }

func (p *cellPolicy) preempted(_ uint64, it *arrival, op Op, now time.Duration) {
	if op == OpThrottle {
		p.cell.RecordThrottled(it.handle)
		return
	}
	p.cell.Requeue(it.handle, now)
}

func (p *cellPolicy) waiting() int { return p.cell.Queued() }

func (p *cellPolicy) used() (used, whole Vec) {
	whole, free := p.cell.Total()
	return whole.Sub(free), whole
}
