// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
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
	// soakLimit is how many tasks an account may have running: about what its clients ask
	// for. soakOvershoot is by how much it may be exceeded, in hundredths.
	soakLimit     = 12
	soakOvershoot = 10
	// strangerKey is in no configuration.
	strangerKey = "key-of-nobody-51aa"
)

// soakAccounts are the client accounts; clients belong to them in turn.
var soakAccounts = []world.Account{
	{Name: "a", Keys: []string{keyOfA}, CPU: soakLimit * taskCPU, Weight: 100},
	{Name: "b", Keys: []string{keyOfB}, CPU: soakLimit * taskCPU, Weight: 100},
}

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
	// begun is when clients and faults began, and calm when the last fault was over.
	begun, calm time.Time
}

// soakJob is a job of a client, with what it was told.
type soakJob struct {
	id string
	// key is that of its client.
	key      string
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

// state returns the state of a job, asked for with its client's key.
func (s *soak) state(id string) string {
	s.mu.Lock()
	i := slices.IndexFunc(s.jobs, func(j *soakJob) bool { return j.id == id })
	key := ""
	if i >= 0 {
		key = s.jobs[i].key
	}
	s.mu.Unlock()
	as := &bed{world: s.world, entries: s.entries, http: s.http, key: key, next: rand.IntN(len(s.entries))}
	return as.state(id)
}

// client hands jobs in until the end with a key, over connections of its own that it keeps open.
func (s *soak) client(random *rand.Rand, key string, until time.Time) []*soakJob {
	c := &bed{world: s.world, entries: s.entries, http: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{}}, key: key}
	var jobs []*soakJob
	for time.Now().Before(until) {
		j := &soakJob{key: key, id: fmt.Sprintf("%016x", random.Uint64()), text: chain(1+random.IntN(4), 50+random.IntN(400))}
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
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusNotFound, http.StatusUnauthorized:
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
	client := func(random *rand.Rand, key string) {
		all.Go(func() {
			defer GinkgoRecover()
			jobs := s.client(random, key, until)
			mu.Lock()
			defer mu.Unlock()
			s.jobs = append(s.jobs, jobs...)
		})
	}
	for i := range clients {
		client(rand.New(rand.NewPCG(s.random.Uint64(), 1)), soakAccounts[i%len(soakAccounts)].Keys[0])
	}
	client(rand.New(rand.NewPCG(uint64(clients), 2)), strangerKey)
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
	s.calm = time.Now()
	s.note("calm")
}

var _ = Describe("a soak", Label("soak"), func() {
	for _, seed := range soakSeeds() {
		It(fmt.Sprintf("keeps every promise, seed %d", seed), func() {
			s := &soak{random: rand.New(rand.NewPCG(seed, 7)), busy: make(map[any]bool), version: 1, begun: time.Now()}
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
			s.world.SetAccounts(soakAccounts...)
			s.configures(draw{})
			for _, e := range s.entries {
				Eventually(func() int { return s.pendingAt(e, "") }, keysInForce).Should(Equal(http.StatusUnauthorized))
			}
			s.play(clients)
			s.check()
		})
	}
})
