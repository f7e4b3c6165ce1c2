// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/internal/standin/world"
)

// A soak: faults drawn by a seed come in series and overlap, while clients hand jobs in, ask and
// cancel over connections that they keep open. Afterwards all is calm, and what callers were
// told is held against what the workers saw. docs/SOAK.md says what that covers.

const (
	soakLasts = 12 * time.Second
	// soakGap is the longest pause between two faults, and soakFault the longest fault.
	soakGap   = 700 * time.Millisecond
	soakFault = 2500 * time.Millisecond
	// soakTries is how often a client hands a job in before it gives up.
	soakTries = 4
	// soakClients hand in jobs side by side, soakPause apart on average.
	soakClients = 4
	soakPause   = 250 * time.Millisecond
	// largeEvery makes one seed in so many as large as the machine bears: largeHall workers a
	// hall and twice the clients.
	largeEvery = 10
	largeHall  = 24
)

// soakSeeds returns the seeds of a run: SOAK is "first-last", by default a few for CI.
func soakSeeds() []uint64 {
	first, last := uint64(1), uint64(3)
	if a, b, ok := strings.Cut(os.Getenv("SOAK"), "-"); ok {
		first, _ = strconv.ParseUint(a, 10, 32)
		last, _ = strconv.ParseUint(b, 10, 32)
	}
	var out []uint64
	for s := first; s <= last; s++ {
		out = append(out, s)
	}
	return out
}

// soak is one run.
type soak struct {
	*bed
	proxies proxies
	random  *rand.Rand
	faults  sync.WaitGroup
	// busy holds what a fault is under way on: an instance, the store, a worker.
	mu      sync.Mutex
	busy    map[any]bool
	version int
	jobs    []*soakJob
	log     []string
	begun   time.Time
}

// soakJob is a job of a client, with what it was told.
type soakJob struct {
	id       string
	text     string
	crashes  bool
	accepted bool
	// refused says that each try was answered with a refusal.
	refused   bool
	cancelled bool
}

func (s *soak) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = append(s.log, fmt.Sprintf("%6.2f ", time.Since(s.begun).Seconds())+fmt.Sprintf(format, args...))
}

// take takes something for a fault, unless another fault has it.
func (s *soak) take(what any) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[what] {
		return false
	}
	s.busy[what] = true
	return true
}

func (s *soak) give(what any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.busy, what)
}

// draw is all that one fault needs of the seed, so that the order in which faults run side by
// side changes nothing.
type draw struct {
	kind, which int
	lasts       time.Duration
	times       int
}

func (s *soak) draw() draw {
	d := draw{kind: s.random.IntN(len(soakFaults)), which: s.random.IntN(1 << 20), times: 1}
	d.lasts = 200*time.Millisecond + time.Duration(s.random.Int64N(int64(soakFault)))
	if s.random.IntN(4) == 0 {
		d.times = 3
	}
	return d
}

// soakFaults bring one failure about each, and end it.
var soakFaults = []func(*soak, draw){
	(*soak).kills, (*soak).stops, (*soak).pauses, (*soak).reloads,
	(*soak).storeFails, (*soak).storeFails, (*soak).forgets,
	(*soak).workerFails, (*soak).workerFails, (*soak).crashWorkers, (*soak).drains, (*soak).resizes,
	(*soak).silences, (*soak).configures,
}

func (s *soak) instance(d draw, f func(*entry)) {
	e := s.entries[d.which%len(s.entries)]
	if s.take(e) {
		defer s.give(e)
		f(e)
	}
}

func (s *soak) kills(d draw) {
	s.instance(d, func(e *entry) {
		s.note("kill %s", e.name)
		e.kill()
		time.Sleep(d.lasts / 3)
		e.run()
	})
}

func (s *soak) stops(d draw) {
	s.instance(d, func(e *entry) {
		s.note("stop %s", e.name)
		e.signal(syscall.SIGTERM)
		late := time.AfterFunc(4*time.Second, func() { e.signal(syscall.SIGKILL) })
		_ = e.cmd.Wait()
		late.Stop()
		e.run()
	})
}

func (s *soak) pauses(d draw) {
	s.instance(d, func(e *entry) {
		s.note("pause %s for %v", e.name, d.lasts)
		e.signal(syscall.SIGSTOP)
		time.Sleep(d.lasts)
		e.signal(syscall.SIGCONT)
	})
}

func (s *soak) reloads(d draw) {
	s.instance(d, func(e *entry) {
		s.note("reload %s", e.name)
		s.write(e, []string{"5s", "6s"}[d.which%2])
		e.signal(syscall.SIGHUP)
	})
}

func (s *soak) storeFails(d draw) {
	f := []world.StoreFaults{
		{Silent: true}, {Busy: true}, {Lose: 0.3}, {Lose: 0.3, Late: time.Second}, {Delay: 150 * time.Millisecond},
	}[d.which%5]
	if !s.take(s.world.Store) {
		return
	}
	defer s.give(s.world.Store)
	s.note("store %+v for %v", f, d.lasts)
	s.world.Store.Fail(f)
	time.Sleep(d.lasts)
	s.world.Store.Fail(world.StoreFaults{})
}

func (s *soak) forgets(draw) {
	s.note("the store forgets its history")
	s.world.Store.ForgetHistory()
}

// worker has a fault strike a worker.
func (s *soak) worker(d draw, f func(*world.Worker)) {
	all := s.world.Living()
	w := all[d.which%len(all)]
	if s.take(w) {
		defer s.give(w)
		f(w)
	}
}

func (s *soak) workerFails(d draw) {
	f := []world.WorkerFaults{
		{Silent: true}, {Lose: 0.5}, {Lose: 0.5, Late: time.Second}, {FailAll: true}, {Hang: true},
	}[d.which%5]
	s.worker(d, func(w *world.Worker) {
		s.note("worker %s %+v for %v", w.ID, f, d.lasts)
		w.Fail(f)
		time.Sleep(d.lasts)
		w.Fail(world.WorkerFaults{})
	})
}

// crashWorkers ends a worker's process, or those of a whole rack.
func (s *soak) crashWorkers(d draw) {
	s.worker(d, func(w *world.Worker) {
		for _, o := range s.world.Living() {
			if o == w || (d.which%3 == 0 && o.Rack == w.Rack) {
				next := s.rebirth(d.which)
				s.note("crash %s, back %+v", o.ID, next)
				s.world.Crash(o, next)
			}
		}
		time.Sleep(time.Second)
	})
}

// rebirths is how many ways rebirth draws from.
const rebirths = 24

// rebirth returns how a worker comes back: two in three under its id, within a beat or later, at
// its address or another one, with its time of day set back or not.
func (s *soak) rebirth(which int) world.Rebirth {
	r := world.Rebirth{Down: []time.Duration{30 * time.Millisecond, 200 * time.Millisecond, time.Second, 2500 * time.Millisecond}[which%4]}
	r.SameID = which%3 != 0
	r.OtherAddr = which%8 >= 6
	if which/4%2 == 0 {
		r.Back = time.Hour
	}
	return r
}

// drains has a worker leave; another comes.
func (s *soak) drains(d draw) {
	if len(s.world.Living()) <= 2*len(halls) {
		return
	}
	s.worker(d, func(w *world.Worker) {
		s.note("drain %s", w.ID)
		s.world.Drain(w)
		time.Sleep(2*time.Second + d.lasts/4)
		s.world.Kill(w)
		_, _ = s.world.AddWorker(w.Hall, 1000+d.which)
	})
}

func (s *soak) resizes(d draw) {
	s.worker(d, func(w *world.Worker) {
		s.note("shrink %s for %v", w.ID, d.lasts)
		s.world.Resize(w, 3000, 6000)
		time.Sleep(d.lasts)
		s.world.Resize(w, 8000, 16000)
	})
}

// silences lets open connections to some services go silent.
func (s *soak) silences(d draw) {
	s.proxies.mu.Lock()
	defer s.proxies.mu.Unlock()
	at, n := 0, 0
	for _, p := range s.proxies.all {
		if at++; (at+d.which)%3 == 0 {
			n += p.Silence()
		}
	}
	s.note("%d connections go silent", n)
}

func (s *soak) configures(draw) {
	s.mu.Lock()
	s.version++
	v := s.version
	s.mu.Unlock()
	s.note("configuration %d", v)
	s.world.Configure(v, host, prefix)
}

// client hands jobs in until the end, over connections of its own that it keeps open.
func (s *soak) client(random *rand.Rand, until time.Time) []*soakJob {
	c := &bed{world: s.world, entries: s.entries, http: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{}}}
	var jobs []*soakJob
	for time.Now().Before(until) {
		j := &soakJob{id: fmt.Sprintf("%016x", random.Uint64()), text: chain(1+random.IntN(4), 50+random.IntN(400))}
		if random.IntN(12) == 0 {
			j.crashes, j.text = true, crashing(2, time.Duration(random.IntN(150))*time.Millisecond, random.IntN(2))
		}
		c.handIn(j, random)
		if j.accepted && random.IntN(8) == 0 {
			time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
			status, _, _ := c.call(c.entries[random.IntN(len(c.entries))], http.MethodDelete, prefix+j.id, "")
			// Without an answer it may have been cancelled or not.
			j.cancelled = true
			_ = status
		}
		if len(jobs) > 0 && random.IntN(2) == 0 {
			c.call(c.entries[random.IntN(len(c.entries))], http.MethodGet, prefix+jobs[random.IntN(len(jobs))].id, "")
		}
		jobs = append(jobs, j)
		time.Sleep(time.Duration(random.Int64N(int64(2 * soakPause))))
	}
	return jobs
}

// handIn hands a job in, again at another instance after a refusal or no answer.
func (b *bed) handIn(j *soakJob, random *rand.Rand) {
	j.refused = true
	for range soakTries {
		status, _, _ := b.call(b.entries[random.IntN(len(b.entries))], http.MethodPost, prefix+j.id, j.text)
		switch status {
		case http.StatusOK:
			j.accepted, j.refused = true, false
			return
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusNotFound:
		default:
			j.refused = false
		}
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
	}
}

// run lets faults come until the end, and calm return.
func (s *soak) play(clients int) {
	s.begun = time.Now()
	until := s.begun.Add(soakLasts)
	var all sync.WaitGroup
	var mu sync.Mutex
	for range clients {
		random := rand.New(rand.NewPCG(s.random.Uint64(), 1))
		all.Go(func() {
			defer GinkgoRecover()
			jobs := s.client(random, until)
			mu.Lock()
			defer mu.Unlock()
			s.jobs = append(s.jobs, jobs...)
		})
	}
	for time.Now().Before(until) {
		d := s.draw()
		s.faults.Go(func() {
			defer GinkgoRecover()
			for range d.times {
				soakFaults[d.kind](s, d)
			}
		})
		time.Sleep(time.Duration(s.random.Int64N(int64(soakGap))))
	}
	all.Wait()
	s.faults.Wait()
	s.note("calm")
}

// check holds what callers were told against what the workers saw.
func (s *soak) check() {
	GinkgoHelper()
	s.waitReady()
	for _, j := range s.jobs {
		switch {
		case j.refused, !j.accepted && s.gone(j.id):
		case j.cancelled:
			Eventually(func() string { return s.state(j.id) }).Should(BeElementOf("canceled", "succeeded", "failed"), j.id)
		case j.crashes:
			s.wantEnd(j.id, "failed")
		case s.failedTwice(j.id):
			s.wantEnd(j.id, "failed")
		default:
			s.wantEnd(j.id, "succeeded")
		}
	}
	Eventually(s.running, "10s").Should(BeZero(), "nothing of a job that is over goes on")
	s.wantKept()
	byJob := make(map[string][]world.Entry)
	for _, e := range s.world.Book.Starts() {
		id, _, _ := strings.Cut(e.Task, ".")
		byJob[id] = append(byJob[id], e)
	}
	for _, j := range s.jobs {
		if j.refused {
			Expect(byJob[j.id]).To(BeEmpty(), "REFUSED: %s was refused at each try", j.id)
		}
		Expect(outOfOrder(byJob[j.id])).To(BeEmpty(), "ORDER")
		if s.state(j.id) == "succeeded" {
			Expect(notDone(byJob[j.id])).To(BeEmpty(), "MIXED: %s is shown as succeeded", j.id)
		}
	}
}

// wantEnd is wantState, which tells on failure what the workers saw of the job.
func (s *soak) wantEnd(id, state string) {
	GinkgoHelper()
	Eventually(func() string { return s.state(id) }).Should(Equal(state), func() string {
		var out strings.Builder
		fmt.Fprintln(&out, id)
		for _, e := range s.world.Book.Starts() {
			if strings.HasPrefix(e.Task, id) {
				fmt.Fprintf(&out, "%6.2f to %6.2f %s run %d on %s: %s, observed %v, lapsed %v\n",
					e.Begun.Sub(s.begun).Seconds(), e.Ended.Sub(s.begun).Seconds(), e.Task, e.Run, e.Worker, e.How, e.Observed, e.Lapsed)
			}
		}
		return out.String()
	})
}

// attempts is how many failures of a task the configuration allows before its job has failed.
const attempts = 2

// failedTwice reports whether a task of a job has failed as often as it may, as on workers that
// fail all that they start.
func (s *soak) failedTwice(id string) bool {
	fails := make(map[string]int)
	for _, e := range s.world.Book.Starts() {
		if strings.HasPrefix(e.Task, id) && e.How == "failed" {
			if fails[e.Task]++; fails[e.Task] >= attempts {
				return true
			}
		}
	}
	return false
}

// gone reports whether nobody knows a job of which its client was told nothing.
func (s *soak) gone(id string) bool {
	var state string
	Eventually(func() string { state = s.state(id); return state }, "5s").ShouldNot(BeElementOf("0", "503"), id)
	return state == "410"
}

// outOfOrder returns starts of second steps before their first step was done.
func outOfOrder(starts []world.Entry) []string {
	var done time.Time
	first := make(map[string]time.Time)
	for _, e := range starts {
		if strings.Contains(e.Task, ".0.0.") && e.How == "done" && first[e.Task].IsZero() {
			first[e.Task] = e.Ended
		}
	}
	for _, t := range first {
		if t.After(done) {
			done = t
		}
	}
	var out []string
	for _, e := range starts {
		if strings.Contains(e.Task, ".0.1.") && e.Begun.Before(done) {
			out = append(out, e.Task)
		}
	}
	return out
}

// notDone returns the tasks that were started and of which no run ended as done.
func notDone(starts []world.Entry) []string {
	done := make(map[string]bool)
	for _, e := range starts {
		done[e.Task] = done[e.Task] || e.How == "done"
	}
	var out []string
	for task, ok := range done {
		if !ok {
			out = append(out, task)
		}
	}
	return out
}

var _ = Describe("a soak", Label("soak"), func() {
	for _, seed := range soakSeeds() {
		It(fmt.Sprintf("keeps every promise, seed %d", seed), func() {
			s := &soak{random: rand.New(rand.NewPCG(seed, 7)), busy: make(map[any]bool), version: 1}
			clients := soakClients
			large := func(*world.Options) {}
			if seed%largeEvery == 0 {
				clients *= 2
				large = func(o *world.Options) { o.PerHall = largeHall }
			}
			ways := rand.New(rand.NewPCG(seed, 8))
			var mu sync.Mutex
			next := func(o *world.Options) {
				o.Next = func() world.Rebirth {
					mu.Lock()
					defer mu.Unlock()
					return s.rebirth(ways.IntN(rebirths))
				}
			}
			s.bed = start(s.proxies.via, large, next)
			DeferCleanup(func() {
				if CurrentSpecReport().Failed() {
					fmt.Fprintln(GinkgoWriter, strings.Join(s.log, "\n"))
				}
			})
			s.play(clients)
			s.check()
		})
	}
})
