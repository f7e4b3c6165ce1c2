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

// MachineFaults are the faults that can be injected into Machines.
type MachineFaults struct {
	// Silent ignores every call and never responds; Busy refuses every call.
	Silent, Busy bool
	// Lose is the fraction of upkeep orders that take effect but get no response.
	Lose float64
}

const (
	// upkeepDuration is how long a machine is down for upkeep.
	upkeepDuration = 400 * time.Millisecond
	// machinesPerPage is the number of machines on a page of the list.
	machinesPerPage = 3
)

// machine is the state of a machine, which outlives the worker processes that run on it.
type machine struct {
	name   string
	worker *Worker
	number int
	// wave is the wave of its latest upkeep; down is true while that upkeep goes on.
	wave int
	down bool
	// fence is the highest fencing token seen in an order, holder the lease holder who sent it.
	fence  uint64
	holder string
}

// Machines is the test double of the platform's list of machines and of their upkeep.
type Machines struct {
	world *World

	mu     sync.Mutex
	all    []*machine
	faults MachineFaults
	random *rand.Rand
	// upkeeps counts the upkeeps that have begun.
	upkeeps int
}

// SetFaults replaces the injected faults.
func (m *Machines) SetFaults(f MachineFaults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
}

// Names returns the names of all machines.
func (m *Machines) Names() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for _, mach := range m.all {
		out = append(out, mach.name)
	}
	return out
}

// UpkeepsBegun returns how many upkeeps have begun.
func (m *Machines) UpkeepsBegun() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.upkeeps
}

// add adds the machine of a worker.
func (m *Machines) add(w *Worker, number int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.all = append(m.all, &machine{name: fmt.Sprintf("m-%s-%d", w.Hall, number), worker: w, number: number})
}

// waveOrder is an upkeep wave as operators write it into the store.
type waveOrder struct {
	Wave     int      `json:"wave"`
	Machines []string `json:"machines"`
	Duration int      `json:"duration_s"`
	MaxItems int      `json:"max_items"`
}

// PutWave writes an upkeep wave into the store: it names the machines, how many of them may be down
// at a time, and how long the wave may take.
func (w *World) PutWave(number, maxDown int, within time.Duration, machines []string) {
	w.Store.Put("op", fmt.Sprintf("wave/%d", number), waveOrder{
		Wave: number, Machines: machines, Duration: int(within.Seconds()), MaxItems: maxDown,
	})
}

// WaveState returns the state that dewpass has reported of a wave.
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

// page returns the page of the list that begins at a page token.
func (m *Machines) page(token string) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, _ := strconv.Atoi(token)
	rows := []any{}
	for _, mach := range m.all[min(at, len(m.all)):min(at+machinesPerPage, len(m.all))] {
		state := "up"
		if mach.down {
			state = "upkeep"
		}
		rows = append(rows, map[string]any{
			"machine": mach.name, "pool": pool, "state": state, "zone": mach.worker.Hall,
			"labels": []string{"a", mach.worker.Rack}, "id": mach.worker.ID,
		})
	}
	next := ""
	if at+machinesPerPage < len(m.all) {
		next = strconv.Itoa(at + machinesPerPage)
	}
	return map[string]any{"machines": rows, "next_page_token": next}
}

// upkeep begins the upkeep of a machine and returns the status and the reason of the response. It is
// a violation if two holders order under one fencing token (ONE), or if more machines are down than
// the wave allows (LIMIT).
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
	mach := m.all[at]
	switch {
	case fence < mach.fence:
		return http.StatusConflict, "fence"
	case fence == mach.fence && mach.holder != holder:
		m.world.Book.addViolation("ONE", fmt.Sprintf("%s and %s order %s under fence %d", mach.holder, holder, mach.name, fence))
	}
	mach.fence, mach.holder = fence, holder
	switch {
	case mach.wave == o.Wave:
		return http.StatusOK, ""
	case !slices.Contains(wave.Machines, mach.name):
		return http.StatusConflict, "wave"
	case mach.down:
		return http.StatusConflict, "busy"
	case m.countDown(o.Wave) >= wave.MaxItems:
		m.world.Book.addViolation("LIMIT", fmt.Sprintf("upkeep of %s exceeds the number of machines that wave %d allows", mach.name, o.Wave))
	}
	mach.wave, mach.down = o.Wave, true
	m.upkeeps++
	m.world.Kill(mach.worker)
	time.AfterFunc(upkeepDuration, func() { m.endUpkeep(mach) })
	return http.StatusOK, ""
}

// countDown counts the machines that are down for a wave. The lock must be held.
func (m *Machines) countDown(wave int) int {
	n := 0
	for _, mach := range m.all {
		if mach.wave == wave && mach.down {
			n++
		}
	}
	return n
}

// endUpkeep ends an upkeep: a new worker starts on the machine.
func (m *Machines) endUpkeep(mach *machine) {
	m.mu.Lock()
	old := mach.worker
	m.mu.Unlock()
	w, err := m.world.startWorker(old.Hall, mach.number, func(n *Worker) {
		if m.world.options.NextRestart != nil && m.world.options.NextRestart().SameID {
			n.ID, old.successor = old.ID, n
		}
	})
	if err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	mach.worker, mach.down = w, false
}

func newMachines(w *World) *Machines {
	return &Machines{world: w, random: rand.New(rand.NewPCG(w.options.Seed, 2))}
}
