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

// small is a deployment for one cell of the matrix.
var small = bed.Deployment{
	Name: "comhar", Halls: []string{"naas-hall", "athy-hall"}, Capacity: bed.Comhar.Capacity,
	RacksPerHall: 1, WorkersPerRack: 4, Tree: bed.Comhar.Tree,
}

var smallMix = []load.Stream{
	{Workload: "tinting/shade-lookup", PerSecond: 30, Runs: 8 * time.Millisecond},
	{Workload: "tinting/dispense-order", PerSecond: 15, Runs: 30 * time.Millisecond, Once: true},
	{Workload: "nightly/recalibration", PerSecond: 4, Runs: 600 * time.Millisecond, Job: true, Save: 150 * time.Millisecond, Bytes: tooLarge},
}

// befall is what is brought about when a step is reached.
type befall string

const (
	exits       befall = "exit"
	freezes     befall = "freeze"
	tableDown   befall = "table down"
	answersLost befall = "answers lost"
	workerDies  befall = "worker crash"
	workerCut   befall = "worker cut"
	peerCut     befall = "peer cut"
	peerDeaf    befall = "peer's answers lost"
	workerDeaf  befall = "worker's answers lost"
	workerGoes  befall = "worker leaving"
	tableSlow   befall = "table slow and short of rate"
	objectsDown befall = "objects down"
	clockFast   befall = "clock fast"
	clockSlow   befall = "clock slow"
)

var befalls = []befall{
	exits, freezes, tableDown, answersLost, workerDies, workerCut, peerCut,
	peerDeaf, workerDeaf, workerGoes, tableSlow, objectsDown, clockFast, clockSlow,
}

// cell is one cell of the matrix: a step and what befalls it. A pair has two.
type cell struct {
	point  fault.Point
	befall befall
	skip   int
	// second comes on top a moment later, "" for none.
	second befall
}

func (c cell) String() string {
	s := fmt.Sprintf("%s at %s+%d", c.befall, c.point, c.skip)
	if c.second != "" {
		s += " and " + string(c.second)
	}
	return s
}

// skips draws how often a step passes before it is the one. A takeover of the
// one rack of a cell happens once.
func skips(rng *rand.Rand, p fault.Point) int {
	n := rng.IntN(3)
	if p == fault.LeaseTaken || p == fault.HandedOver {
		return 0
	}
	return n
}

// cells returns the cells of a seed: every step, with two failures drawn for
// each, and pairs. With all, every failure at every step comes first.
func cells(seed uint64, all bool) []cell {
	rng := rand.New(rand.NewPCG(seed, seed))
	var out []cell
	for _, p := range fault.Points {
		if all {
			for _, b := range befalls {
				out = append(out, cell{point: p, befall: b, skip: skips(rng, p)})
			}
			continue
		}
		out = append(out, cell{point: p, befall: befalls[rng.IntN(len(befalls))], skip: skips(rng, p)})
	}
	for range pairsPerSeed {
		p := fault.Points[rng.IntN(len(fault.Points))]
		a, b := befalls[rng.IntN(len(befalls))], befalls[rng.IntN(len(befalls))]
		out = append(out, cell{point: p, befall: a, second: b, skip: skips(rng, p)})
	}
	return out
}

const (
	pairsPerSeed = 4
	cellsAtOnce  = 10
	cellLoad     = 5 * time.Second
	cellTime     = 3 * time.Minute
	outage       = 2500 * time.Millisecond
	frozen       = 5 * time.Second
	holdStep     = 400 * time.Millisecond
	firstSeed    = 1
	hitPoll      = 20 * time.Millisecond
	editEvery    = 250 * time.Millisecond
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
		gate := make(chan struct{}, cellsAtOnce)
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

// runCell runs one cell and returns whether its step was reached and what was
// broken.
func runCell(ctx context.Context, c cell) (hit bool, broken []string) {
	ctx, cancel := context.WithTimeout(ctx, cellTime)
	defer cancel()
	dir, err := os.MkdirTemp("", "dewpass-cell")
	if err != nil {
		return false, []string{err.Error()}
	}
	b, err := bed.Start(ctx, bed.Options{
		Deployment: small, PerHall: 2, Dir: dir, TaskLease: taskLease, Debug: true,
		Dewpass: binaries + "/dewpass", StandIn: binaries + "/standin", Examples: "../../examples",
	})
	if err != nil {
		return false, []string{"not started, logs in " + dir + ": " + err.Error()}
	}
	defer b.Close()
	r := &cellRun{b: b, c: c}
	broken = r.run(ctx)
	for _, log := range races(dir) {
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

// cellRun is one cell as it runs.
type cellRun struct {
	b *bed.Bed
	c cell
	// target is the process whose step it is, peer the other of its hall, and
	// editor the one that edits go to.
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
	for _, s := range smallMix {
		t.Send(ctx, s, cellLoad)
	}
	editing, stopEditing := context.WithCancel(ctx)
	go r.edit(editing)
	r.bringAbout(ctx)
	said := t.Wait()
	stopEditing()
	if err := r.recover(ctx); err != nil {
		return []string{"not up again: " + err.Error()}
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

// takeover reports whether the step belongs to an instance that takes over.
func (r *cellRun) takeover() bool {
	switch r.c.point {
	case fault.LeaseTaken, fault.Attached:
		return true
	}
	return false
}

// bringAbout sets the rule, waits until the step is reached, and brings the
// failures about.
func (r *cellRun) bringAbout(ctx context.Context) {
	time.Sleep(time.Second)
	step := rule{Point: r.c.point, Skip: r.c.skip}
	switch r.c.befall {
	case exits:
		step.Exit = true
	case freezes:
		step.Stop = true
	default:
		step.DelayMS = holdStep.Milliseconds()
	}
	if r.target.Faults(ctx, []rule{step}) != nil {
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
	r.befall(ctx, r.c.befall)
	if r.c.second != "" {
		time.Sleep(holdStep)
		r.befall(ctx, r.c.second)
	}
	if r.c.point == fault.HandedOver {
		r.target.Thaw()
		<-stopped
	}
}

// awaitHit waits until the step is reached: its rule is used up, or the
// process no longer answers.
func (r *cellRun) awaitHit(ctx context.Context) bool {
	end := time.Now().Add(2 * cellLoad)
	for time.Now().Before(end) {
		short, cancel := context.WithTimeout(ctx, time.Second)
		var left []rule
		err := r.target.Client().Do(short, http.MethodGet, "/debug/faults", nil, &left)
		cancel()
		if err != nil || len(left) == 0 {
			return true
		}
		time.Sleep(hitPoll)
	}
	return false
}

func (r *cellRun) befall(ctx context.Context, what befall) {
	worker := r.b.Config.Workers[0]
	switch what {
	case exits:
		r.target.Kill()
	case freezes:
		r.target.Freeze()
		time.Sleep(frozen)
		r.target.Thaw()
	case tableDown:
		r.trouble(ctx, "table", standin.Faults{Down: true})
	case answersLost:
		r.trouble(ctx, "table", standin.Faults{LoseEvery: 2})
	case tableSlow:
		r.trouble(ctx, "table", standin.Faults{DelayMS: 80, PerSecond: 40})
	case objectsDown:
		r.trouble(ctx, "objects", standin.Faults{Down: true})
	case workerDies:
		r.atWorker(ctx, worker.ID, "crash", "restart")
	case workerGoes:
		r.atWorker(ctx, worker.ID, "leave", "return")
	case workerCut:
		r.withRule(ctx, rule{Addr: "worker/" + worker.ID, Cut: true})
	case workerDeaf:
		r.withRule(ctx, rule{Addr: worker.Addr, Deaf: true})
	case peerCut:
		r.withRule(ctx, rule{Addr: "peer/" + r.peer.Addr.Peer, Cut: true})
	case peerDeaf:
		r.withRule(ctx, rule{Addr: "peer/" + r.peer.Addr.Peer, Deaf: true})
	case clockFast:
		r.withRule(ctx, rule{Rate: 1.05})
	case clockSlow:
		r.withRule(ctx, rule{Rate: 0.95})
	}
}

// trouble sets the switches of a service of the platform for a while.
func (r *cellRun) trouble(ctx context.Context, what string, f standin.Faults) {
	_ = r.b.Fault(ctx, what, f)
	time.Sleep(outage)
	_ = r.b.Fault(ctx, what, standin.Faults{})
}

// atWorker brings an event about at a worker, and ends it after a while.
func (r *cellRun) atWorker(ctx context.Context, id, begin, end string) {
	_ = r.b.Worker(ctx, id, begin)
	time.Sleep(outage)
	_ = r.b.Worker(ctx, id, end)
}

// withRule sets a rule at the target for a while.
func (r *cellRun) withRule(ctx context.Context, added rule) {
	_ = r.target.Faults(ctx, []rule{added})
	time.Sleep(outage)
	_ = r.target.Faults(ctx, []rule{})
}

// edit edits the tree at the target again and again.
func (r *cellRun) edit(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		value := json.RawMessage(fmt.Sprintf(`"%dms"`, 600+i))
		e := tree.Edit{ID: fmt.Sprint("edit-", i), Base: r.last(), Ops: []tree.Op{{Path: "nightly.estimate", Value: value}}}
		var entry tree.Entry
		short, cancel := context.WithTimeout(ctx, 3*time.Second)
		err := r.editor.Client().Do(short, http.MethodPost, "/v1/tree/edits", e, &entry)
		cancel()
		r.mu.Lock()
		if err == nil {
			r.accepted = append(r.accepted, entry.Version)
		}
		r.mu.Unlock()
		time.Sleep(editEvery)
	}
}

// last returns the last version that this operator saw accepted.
func (r *cellRun) last() uint64 {
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

// recover brings back what was ended and waits until all is up.
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

// check holds what was said against the workers' and the table's records.
func (r *cellRun) check(ctx context.Context, said []load.Said) []string {
	starts := func(tag string) int {
		tags, err := r.b.Starts(ctx)
		if err != nil {
			return -1
		}
		return tags[tag]
	}
	settling, cancel := context.WithTimeout(ctx, settleWithin)
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
			return []string{fmt.Sprint("edits accepted as ", r.accepted)}
		}
	}
	if len(r.accepted) == 0 {
		return nil
	}
	if err := r.b.AwaitTree(ctx, r.accepted[len(r.accepted)-1]); err != nil {
		return []string{"an accepted edit is not in force: " + err.Error()}
	}
	return nil
}
