// SPDX-License-Identifier: Apache-2.0

package world

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// MachineFaults are the switches of Machines.
type MachineFaults struct {
	// Silent leaves every call without an answer and without effect, Busy turns
	// every call away.
	Silent, Busy bool
	// Lose is the share of orders that take effect and get no answer.
	Lose float64
}

const (
	// upkeepTime is how long a machine is down for its upkeep.
	upkeepTime = 400 * time.Millisecond
	// machinesAtOnce is how many machines a page of the list has.
	machinesAtOnce = 3
)

// machine is what outlasts the lives of a worker.
type machine struct {
	name   string
	worker *Worker
	number int
	// wave is the wave of the last upkeep, and down says that it goes on.
	wave   int
	down   bool
	fence  uint64
	holder string
}

// Machines is the stand-in of the list of machines.
type Machines struct {
	world *World

	mu     sync.Mutex
	all    []*machine
	faults MachineFaults
	random *rand.Rand
	// begun counts the upkeeps.
	begun int
}

// Fail sets the faults.
func (m *Machines) Fail(f MachineFaults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
}

// Names returns the names of all machines.
func (m *Machines) Names() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for _, one := range m.all {
		out = append(out, one.name)
	}
	return out
}

// Begun returns how many upkeeps have begun.
func (m *Machines) Begun() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.begun
}

// add adds the machine of a worker.
func (m *Machines) add(w *Worker, number int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.all = append(m.all, &machine{name: fmt.Sprintf("m-%s-%d", w.Hall, number), worker: w, number: number})
}

// waveOrder is a wave as operators write it.
type waveOrder struct {
	Wave     int      `json:"wave"`
	Machines []string `json:"machines"`
	Duration int      `json:"duration_s"`
	MaxItems int      `json:"max_items"`
}

// Wave asks for the upkeep of machines.
func (w *World) Wave(number, most int, within time.Duration, machines []string) {
	w.Store.Put("op", fmt.Sprintf("wave/%d", number), waveOrder{
		Wave: number, Machines: machines, Duration: int(within.Seconds()), MaxItems: most,
	})
}

// WaveState returns what was reported of a wave.
func (w *World) WaveState(number int) string {
	var s struct{ State string }
	_ = json.Unmarshal(w.Store.Value("status", "", fmt.Sprintf("wave/%d", number)), &s)
	return s.State
}

// ServeHTTP implements http.Handler.
func (m *Machines) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	f := m.faults
	lose := f.Lose > 0 && m.random.Float64() < f.Lose
	m.mu.Unlock()
	switch {
	case f.Silent:
		<-r.Context().Done()
		return
	case f.Busy:
		out.WriteHeader(http.StatusTooManyRequests)
		return
	}
	switch r.URL.Path {
	case "/dewpass/machines":
		writeJSON(out, http.StatusOK, m.page(r.URL.Query().Get("page_token")))
	case "/dewpass/machine-upkeep":
		status, reason := m.upkeep(r)
		if lose {
			<-r.Context().Done()
			return
		}
		writeJSON(out, status, map[string]any{"reason": reason})
	default:
		out.WriteHeader(http.StatusNotFound)
	}
}

// page returns the page of the list that begins at token.
func (m *Machines) page(token string) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, _ := strconv.Atoi(token)
	rows := []any{}
	for _, one := range m.all[min(at, len(m.all)):min(at+machinesAtOnce, len(m.all))] {
		state := "up"
		if one.down {
			state = "upkeep"
		}
		rows = append(rows, map[string]any{
			"machine": one.name, "pool": pool, "state": state, "zone": one.worker.Hall,
			"labels": []string{"a", one.worker.Rack}, "id": one.worker.ID,
		})
	}
	next := ""
	if at+machinesAtOnce < len(m.all) {
		next = strconv.Itoa(at + machinesAtOnce)
	}
	return map[string]any{"machines": rows, "next_page_token": next}
}

// upkeep begins the upkeep of a machine, and writes down what breaks a rule.
func (m *Machines) upkeep(r *http.Request) (int, string) {
	var o struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	holder := r.Header.Get("Dewpass-Lease-Holder")
	fence, err := strconv.ParseUint(r.Header.Get("Dewpass-Fencing-Token"), 10, 64)
	if json.NewDecoder(r.Body).Decode(&o) != nil || err != nil || holder == "" {
		return http.StatusBadRequest, ""
	}
	var wave waveOrder
	_ = json.Unmarshal(m.world.Store.Value("op", "", fmt.Sprintf("wave/%d", o.Wave)), &wave)
	m.mu.Lock()
	defer m.mu.Unlock()
	at := slices.IndexFunc(m.all, func(one *machine) bool { return one.name == o.Machine })
	if at < 0 {
		return http.StatusBadRequest, ""
	}
	one := m.all[at]
	switch {
	case fence < one.fence:
		return http.StatusConflict, "fence"
	case fence == one.fence && one.holder != holder:
		m.world.Book.broke("ONE", fmt.Sprintf("%s and %s order %s under fence %d", one.holder, holder, one.name, fence))
	}
	one.fence, one.holder = fence, holder
	switch {
	case one.wave == o.Wave:
		return http.StatusOK, ""
	case !slices.Contains(wave.Machines, one.name):
		return http.StatusConflict, "wave"
	case one.down:
		return http.StatusConflict, "busy"
	case m.downFor(o.Wave) >= wave.MaxItems:
		m.world.Book.broke("LIMIT", fmt.Sprintf("%s is one more than wave %d allows", one.name, o.Wave))
	}
	one.wave, one.down = o.Wave, true
	m.begun++
	m.world.Kill(one.worker)
	time.AfterFunc(upkeepTime, func() { m.back(one) })
	return http.StatusOK, ""
}

// downFor counts the machines that are down for a wave. The lock is held.
func (m *Machines) downFor(wave int) int {
	n := 0
	for _, one := range m.all {
		if one.wave == wave && one.down {
			n++
		}
	}
	return n
}

// back ends an upkeep: a new worker comes.
func (m *Machines) back(one *machine) {
	m.mu.Lock()
	old := one.worker
	m.mu.Unlock()
	w, err := m.world.newWorker(old.Hall, one.number, func(n *Worker) {
		if m.world.options.Next != nil && m.world.options.Next().SameID {
			n.ID, old.next = old.ID, n
		}
	})
	if err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	one.worker, one.down = w, false
}

func newMachines(w *World) *Machines {
	return &Machines{world: w, random: rand.New(rand.NewPCG(w.options.Seed, 2))}
}
