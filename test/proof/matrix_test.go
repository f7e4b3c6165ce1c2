// SPDX-License-Identifier: Apache-2.0

package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/internal/fault"
	"dewpass.org/internal/standin"
	"dewpass.org/test/bed"
	"dewpass.org/test/load"
	"dewpass.org/tree"
)

// cellDeployment is the small deployment in which each cell of the matrix runs.
var cellDeployment = bed.Deployment{
	Name: "comhar", Halls: []string{"naas-hall", "athy-hall"}, Capacity: bed.Comhar.Capacity,
	RacksPerHall: 1, WorkersPerRack: 4, Tree: bed.Comhar.Tree,
}

var cellStreams = []load.Stream{
	{Workload: "tinting/shade-lookup", PerSecond: 30, Runs: 8 * time.Millisecond},
	{Workload: "tinting/dispense-order", PerSecond: 15, Runs: 30 * time.Millisecond, Once: true},
	{Workload: "nightly/recalibration", PerSecond: 4, Runs: 600 * time.Millisecond, Job: true, Save: 150 * time.Millisecond, Bytes: oversizedAnswer},
}

// failure is what is injected when a step is reached. The value names it in reports.
type failure string

const (
	exitProcess       failure = "exit"
	freezeProcess     failure = "freeze"
	tableDown         failure = "table down"
	tableAnswersLost  failure = "answers lost"
	workerCrash       failure = "worker crash"
	workerCut         failure = "worker cut"
	peerCut           failure = "peer cut"
	peerAnswersLost   failure = "peer's answers lost"
	workerAnswersLost failure = "worker's answers lost"
	workerLeaving     failure = "worker leaving"
	tableSlow         failure = "table slow and short of rate"
	objectsDown       failure = "objects down"
	clockFast         failure = "clock fast"
	clockSlow         failure = "clock slow"
)

var failures = []failure{
	exitProcess, freezeProcess, tableDown, tableAnswersLost, workerCrash, workerCut, peerCut,
	peerAnswersLost, workerAnswersLost, workerLeaving, tableSlow, objectsDown, clockFast, clockSlow,
}

// cell is one cell of the matrix: a step and the failure that is injected there. A pair has two
// failures.
type cell struct {
	point fault.Point
	first failure
	skip  int
	// second is injected stepDelay after the first has ended, "" for none.
	second failure
}

func (c cell) String() string {
	s := fmt.Sprintf("%s at %s+%d", c.first, c.point, c.skip)
	if c.second != "" {
		s += " and " + string(c.second)
	}
	return s
}

// drawSkip draws how often a step passes before the failure is injected. It is 0 for steps of a
// takeover, which happens once per cell.
func drawSkip(rng *rand.Rand, p fault.Point) int {
	n := rng.IntN(3)
	if p == fault.LeaseTaken || p == fault.HandedOver {
		return 0
	}
	return n
}

// cells returns the cells of a seed: every step with one drawn failure, and pairs. With all, every
// failure at every step comes instead of the drawn ones.
func cells(seed uint64, all bool) []cell {
	rng := rand.New(rand.NewPCG(seed, seed))
	var out []cell
	for _, p := range fault.Points {
		if all {
			for _, b := range failures {
				out = append(out, cell{point: p, first: b, skip: drawSkip(rng, p)})
			}
			continue
		}
		out = append(out, cell{point: p, first: failures[rng.IntN(len(failures))], skip: drawSkip(rng, p)})
	}
	for range pairsPerSeed {
		p := fault.Points[rng.IntN(len(fault.Points))]
		a, b := failures[rng.IntN(len(failures))], failures[rng.IntN(len(failures))]
		out = append(out, cell{point: p, first: a, second: b, skip: drawSkip(rng, p)})
	}
	return out
}

const (
	pairsPerSeed    = 4
	concurrentCells = 10
	cellLoadTime    = 5 * time.Second
	cellTimeout     = 3 * time.Minute
	outage          = 2500 * time.Millisecond
	freezeTime      = 5 * time.Second
	stepDelay       = 400 * time.Millisecond
	firstSeed       = 1
	pollInterval    = 20 * time.Millisecond
	editInterval    = 250 * time.Millisecond
)

func seeds() int {
	n, err := strconv.Atoi(os.Getenv("PROOF_SEEDS"))
	if err != nil || n < 1 {
		return 1
	}
	return n
}

var _ = Describe("the fault matrix", func() {
	It("holds every promise", func(ctx context.Context) {
		gate := make(chan struct{}, concurrentCells)
		var wg sync.WaitGroup
		var mu sync.Mutex
		var broken []string
		hits, total := 0, 0
		n := seeds()
		for seed := firstSeed; seed < firstSeed+n; seed++ {
			for _, c := range cells(uint64(seed), seed == firstSeed && n > 1) {
				total++
				wg.Add(1)
				gate <- struct{}{}
				go func() {
					defer wg.Done()
					defer func() { <-gate }()
					hit, faults := runCell(ctx, c)
					mu.Lock()
					defer mu.Unlock()
					if hit {
						hits++
					}
					for _, f := range faults {
						broken = append(broken, c.String()+": "+f)
					}
					GinkgoWriter.Printf("%s: reached %v, broken %v\n", c, hit, faults)
				}()
			}
		}
		wg.Wait()
		AddReportEntry("cells", fmt.Sprintf("%d, of which %d reached their step", total, hits))
		Expect(broken).To(BeEmpty())
	}, SpecTimeout(75*time.Minute))
})

// runCell runs one cell. It returns whether its step was reached, and the violated rules.
func runCell(ctx context.Context, c cell) (hit bool, broken []string) {
	ctx, cancel := context.WithTimeout(ctx, cellTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "dewpass-cell")
	if err != nil {
		return false, []string{err.Error()}
	}
	b, err := bed.Start(ctx, bed.Options{
		Deployment: cellDeployment, EntriesPerHall: 2, Dir: dir, TaskLease: taskLease, Debug: true,
		Dewpass: binaries + "/dewpass", StandIn: binaries + "/standin", Examples: "../../examples",
	})
	if err != nil {
		return false, []string{"not started, logs in " + dir + ": " + err.Error()}
	}
	defer b.Close()
	r := &cellRun{b: b, c: c}
	broken = r.run(ctx)
	for _, log := range raceReports(dir) {
		broken = append(broken, "data race in "+log)
	}
	if len(broken) == 0 {
		_ = os.RemoveAll(dir)
	} else {
		writeEvents(b, dir)
		broken = append(broken, "logs in "+dir)
	}
	return r.hit, broken
}

// cellRun is the state of a running cell.
type cellRun struct {
	b *bed.Bed
	c cell
	// target is the process that reaches the step, peer the other one in its hall, and
	// editor the one that gets the edits of the tree.
	target, peer, editor *bed.Process
	hit                  bool
	mu                   sync.Mutex
	accepted             []uint64
}

const cellRack = "naas-hall-r1"

func (r *cellRun) run(ctx context.Context) []string {
	if err := r.prepare(ctx); err != nil {
		return []string{err.Error()}
	}
	t := &load.Tracker{Clients: r.b.Clients(), Seed: 1}
	for _, s := range cellStreams {
		t.Send(ctx, s, cellLoadTime)
	}
	editing, stopEditing := context.WithCancel(ctx)
	go r.editRepeatedly(editing)
	r.injectFailures(ctx)
	said := t.Wait()
	stopEditing()
	if err := r.recover(ctx); err != nil {
		return []string{"instances not ready after the failure: " + err.Error()}
	}
	return r.check(ctx, said)
}

func (r *cellRun) prepare(ctx context.Context) error {
	ops := []tree.Op{{Path: "nightly.window"}}
	edit := tree.Edit{ID: "open", Base: 1, Ops: ops}
	if err := r.b.Balancer.Do(ctx, http.MethodPost, "/v1/tree/edits", edit, nil); err != nil {
		return err
	}
	if err := r.b.AwaitTree(ctx, 2); err != nil {
		return err
	}
	owners, err := r.b.Owners(ctx)
	if err != nil {
		return err
	}
	for _, p := range r.b.Entries {
		switch {
		case p.Addr.ID == owners[cellRack]:
			r.target = p
		case p.Addr.Hall == "naas-hall":
			r.peer = p
		}
	}
	r.editor = r.target
	if r.takeover() || r.c.point == fault.EditSpread {
		r.target, r.peer = r.peer, r.target
	}
	return nil
}

// takeover reports whether the step is reached by an instance that takes over a rack.
func (r *cellRun) takeover() bool {
	switch r.c.point {
	case fault.LeaseTaken, fault.Attached:
		return true
	}
	return false
}

// injectFailures sets the rule for the step, waits until the step is reached, and injects the
// failures.
func (r *cellRun) injectFailures(ctx context.Context) {
	time.Sleep(time.Second)
	step := rule{Point: r.c.point, Skip: r.c.skip}
	switch r.c.first {
	case exitProcess:
		step.Exit = true
	case freezeProcess:
		step.Stop = true
	default:
		step.DelayMS = stepDelay.Milliseconds()
	}
	if r.target.SetFaultRules(ctx, []rule{step}) != nil {
		return
	}
	if r.takeover() {
		r.peer.Kill()
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		if r.c.point == fault.HandedOver {
			_ = r.target.Stop(20 * time.Second)
		}
	}()
	r.hit = r.awaitHit(ctx)
	r.inject(ctx, r.c.first)
	if r.c.second != "" {
		time.Sleep(stepDelay)
		r.inject(ctx, r.c.second)
	}
	if r.c.point == fault.HandedOver {
		r.target.Thaw()
		<-stopped
	}
}

// awaitHit waits until the step is reached: the rule is used up, or the process does not answer
// any more.
func (r *cellRun) awaitHit(ctx context.Context) bool {
	end := time.Now().Add(2 * cellLoadTime)
	for time.Now().Before(end) {
		short, cancel := context.WithTimeout(ctx, time.Second)
		var left []rule
		err := r.target.Client().Do(short, http.MethodGet, "/debug/faults", nil, &left)
		cancel()
		if err != nil || len(left) == 0 {
			return true
		}
		time.Sleep(pollInterval)
	}
	return false
}

func (r *cellRun) inject(ctx context.Context, what failure) {
	worker := r.b.Config.Workers[0]
	switch what {
	case exitProcess:
		r.target.Kill()
	case freezeProcess:
		r.target.Freeze()
		time.Sleep(freezeTime)
		r.target.Thaw()
	case tableDown:
		r.withServiceFaults(ctx, "table", standin.Faults{Down: true})
	case tableAnswersLost:
		r.withServiceFaults(ctx, "table", standin.Faults{LoseEvery: 2})
	case tableSlow:
		r.withServiceFaults(ctx, "table", standin.Faults{DelayMS: 80, PerSecond: 40})
	case objectsDown:
		r.withServiceFaults(ctx, "objects", standin.Faults{Down: true})
	case workerCrash:
		r.withWorkerEvent(ctx, worker.ID, "crash", "restart")
	case workerLeaving:
		r.withWorkerEvent(ctx, worker.ID, "leave", "return")
	case workerCut:
		r.withFaultRule(ctx, rule{Addr: "worker/" + worker.ID, Cut: true})
	case workerAnswersLost:
		r.withFaultRule(ctx, rule{Addr: worker.Addr, Deaf: true})
	case peerCut:
		r.withFaultRule(ctx, rule{Addr: "peer/" + r.peer.Addr.Peer, Cut: true})
	case peerAnswersLost:
		r.withFaultRule(ctx, rule{Addr: "peer/" + r.peer.Addr.Peer, Deaf: true})
	case clockFast:
		r.withFaultRule(ctx, rule{Rate: 1.05})
	case clockSlow:
		r.withFaultRule(ctx, rule{Rate: 0.95})
	}
}

// withServiceFaults applies faults to a service of the platform for the time of an outage.
func (r *cellRun) withServiceFaults(ctx context.Context, what string, f standin.Faults) {
	_ = r.b.SetFaults(ctx, what, f)
	time.Sleep(outage)
	_ = r.b.SetFaults(ctx, what, standin.Faults{})
}

// withWorkerEvent triggers the event begin at a worker, and end after the time of an outage.
func (r *cellRun) withWorkerEvent(ctx context.Context, id, begin, end string) {
	_ = r.b.WorkerEvent(ctx, id, begin)
	time.Sleep(outage)
	_ = r.b.WorkerEvent(ctx, id, end)
}

// withFaultRule sets a fault rule at the target for the time of an outage.
func (r *cellRun) withFaultRule(ctx context.Context, added rule) {
	_ = r.target.SetFaultRules(ctx, []rule{added})
	time.Sleep(outage)
	_ = r.target.SetFaultRules(ctx, []rule{})
}

// editRepeatedly edits the tree at the editor until the context ends.
func (r *cellRun) editRepeatedly(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		value := json.RawMessage(fmt.Sprintf(`"%dms"`, 600+i))
		e := tree.Edit{ID: fmt.Sprint("edit-", i), Base: r.headVersion(), Ops: []tree.Op{{Path: "nightly.estimate", Value: value}}}
		var entry tree.Entry
		short, cancel := context.WithTimeout(ctx, 3*time.Second)
		err := r.editor.Client().Do(short, http.MethodPost, "/v1/tree/edits", e, &entry)
		cancel()
		r.mu.Lock()
		if err == nil {
			r.accepted = append(r.accepted, entry.Version)
		}
		r.mu.Unlock()
		time.Sleep(editInterval)
	}
}

// headVersion returns the version of the tree in the table, 0 if it cannot be read.
func (r *cellRun) headVersion() uint64 {
	var head struct{ Version uint64 }
	rows, err := r.rows("tree/head")
	if err == nil && len(rows) == 1 {
		_ = json.Unmarshal(rows[0], &head)
	}
	return head.Version
}

func (r *cellRun) rows(prefix string) ([][]byte, error) {
	var rows []struct{ Value []byte }
	err := r.b.Admin.Do(context.Background(), http.MethodGet, "/record/rows?prefix="+prefix, nil, &rows)
	var out [][]byte
	for _, row := range rows {
		out = append(out, row.Value)
	}
	return out, err
}

// recover restarts killed processes, resumes frozen ones, and waits until all are ready.
func (r *cellRun) recover(ctx context.Context) error {
	for _, p := range r.b.Entries {
		p.Thaw()
		if !p.Running() {
			if err := p.Start(); err != nil {
				return err
			}
		}
	}
	return r.b.AwaitReady(ctx)
}

// check compares the answers with the records of the workers and of the table.
func (r *cellRun) check(ctx context.Context, said []load.Response) []string {
	starts := func(tag string) int {
		tags, err := r.b.Starts(ctx)
		if err != nil {
			return -1
		}
		return tags[tag]
	}
	settling, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	broken := load.Verify(settling, r.peer.Client(), said, starts)
	record, err := r.b.Record(ctx)
	if err != nil {
		return append(broken, err.Error())
	}
	for what, list := range map[string][]string{
		"over capacity": record.Over, "in two places": record.Doubled,
		"repeated": record.Repeated, "after leaving": record.AfterLeaving,
	} {
		for _, line := range list {
			broken = append(broken, what+": "+line)
		}
	}
	return append(broken, r.checkTree(ctx)...)
}

func (r *cellRun) checkTree(ctx context.Context) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := 1; i < len(r.accepted); i++ {
		if r.accepted[i] <= r.accepted[i-1] {
			return []string{fmt.Sprint("versions of accepted edits do not increase: ", r.accepted)}
		}
	}
	if len(r.accepted) == 0 {
		return nil
	}
	if err := r.b.AwaitTree(ctx, r.accepted[len(r.accepted)-1]); err != nil {
		return []string{"accepted edit not in force: " + err.Error()}
	}
	return nil
}
