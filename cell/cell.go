// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"math"
	"strings"
	"time"

	"dewpass.org/flow"
	"dewpass.org/sched"
)

// Queue is what the configuration says of a queue of jobs.
type Queue struct {
	Name string
	// Pool names the workers that run the queue's tasks.
	Pool string
	// Priority orders queues, 0 first.
	Priority int
	// MaxAttempts is how many failures of a task end its job.
	MaxAttempts int
	// A job is in time within Stretch times its longest chain plus Target.
	Stretch float64
	Target  time.Duration
	// Open says that calls need no key of a client account.
	Open bool
	// Advice is nil unless a policy says which workers may run a step.
	Advice *Advice
}

// Advice says what asking the policy of a queue takes.
type Advice struct {
	// Decide and Each are how long one answer takes: once, and for each worker
	// that is asked about.
	Decide, Each time.Duration
	// Valid is how long a ticket holds.
	Valid time.Duration
}

// Cell holds the jobs and workers of a hall. Make one with New.
type Cell struct {
	// Name is the cell's, by which it knows its share of jobs that several cells run. Without
	// one it runs whole jobs.
	Name string

	queues  map[string]*Queue
	workers map[string]*worker
	// configured holds the client accounts of the configuration, accounts those that have or
	// had jobs here.
	configured map[string]Account
	accounts   map[string]*account
	// sortedWorkers holds the workers by their id, so that decisions repeat.
	sortedWorkers []*worker
	jobs          map[string]*job
	// finished holds the jobs whose end was not told by Ended yet.
	finished []*job
	// unstoredSuccesses holds the jobs that have succeeded and of which the store may not know yet.
	unstoredSuccesses map[string]*job
	// retired holds the jobs that were retired.
	retired map[string]retiredJob
	// unmatchedEnds holds the ends that workers listed of jobs that are not known yet.
	unmatchedEnds []unmatchedEnd
	// openStages holds the stages that have tasks waiting or soon will have.
	openStages []*stage
	// runBase is added to the number of every run, so that it is above all
	// that a former owner gave.
	runBase int
	dirty   []*job
	// asks counts the questions under way, longAsks the long ones among them and oldestAsks those
	// of these that were asked for how long their steps had waited. maxAsks is how many there
	// may be by the last decision.
	asks, longAsks, oldestAsks, maxAsks int
	// policyStats is what is known of the policyStats of queues, by queue.
	policyStats map[string]*policyStats
	// unasked are the steps that were left without a question during Place.
	unasked []unasked
	counts  Counts
	// changes are those of tasks that last, until Changes.
	changes []Change
	// recentLosses are the workers that were lost lately.
	recentLosses []workerLoss
	// activeTrials and maxTrials are how many tasks are being tried during Place, and may be.
	activeTrials, maxTrials int
	// inheritedWorkerLost says that a worker of a former owner was gone when this one came.
	inheritedWorkerLost bool
	givenUps            []GivenUp
	// lostRuns are the runs that were lost with their workers, until LostRuns.
	lostRuns []LostRun
	// sendBudget is how many bytes the starts of the next decision may have, sendBudgetLeft what is
	// left of that during Place, and sendShared says that those of a step share their text.
	sendBudget, sendBudgetLeft int
	textShared                 bool
	// sendLimited says that the last Place left out starts for want of room to send.
	sendLimited bool
	// listSeq counts the lists that were taken in.
	listSeq int
	// runsNeedCheck says that there may be runs to stop, and looked when all runs were
	// last looked over.
	runsNeedCheck bool
	runsCheckedAt time.Time
}

// Counts are totals since the cell was made.
type Counts struct {
	Started, Done, Failed, Stopped, Lapsed uint64
}

// New returns an empty cell whose runs are numbered above firstRun.
func New(firstRun int) *Cell {
	return &Cell{
		queues:            make(map[string]*Queue),
		workers:           make(map[string]*worker),
		jobs:              make(map[string]*job),
		accounts:          make(map[string]*account),
		policyStats:       make(map[string]*policyStats),
		retired:           make(map[string]retiredJob),
		unstoredSuccesses: make(map[string]*job),
		runBase:           firstRun,
		sendBudget:        math.MaxInt,
	}
}

// Configure sets the queues and the client accounts. A queue that is left out starts nothing
// any more.
func (c *Cell) Configure(queues []Queue, accounts ...Account) {
	c.setAccounts(accounts)
	c.queues = make(map[string]*Queue, len(queues))
	for i := range queues {
		c.queues[queues[i].Name] = &queues[i]
	}
}

// Counts returns the totals.
func (c *Cell) Counts() Counts { return c.counts }

// Load sums up a cell for those who choose between cells.
type Load struct {
	// Room is what the attached workers have, Free what of it nobody takes.
	Room, Free sched.Vec
	// Halls is the free processor of each hall, in thousandths.
	Halls map[string]int64
	// Waiting is the work that waits, in milliseconds of one processor.
	Waiting int64
	// Pending counts the accepted jobs of which no task has begun, by queue.
	Pending map[string]int
	// Workers and Attached count the workers.
	Workers, Attached int
	// Stages counts the steps with tasks that wait.
	Stages int
}

// Load returns the present load.
func (c *Cell) Load() Load {
	l := Load{Pending: make(map[string]int), Halls: make(map[string]int64)}
	for _, w := range c.sortedWorkers {
		l.Workers++
		if !w.attached || w.leaving() || w.Gone || !w.described() {
			continue
		}
		l.Attached++
		l.Room = l.Room.Add(w.Room)
		l.Free = l.Free.Add(w.free)
		l.Halls[w.Hall] += max(w.free[sched.Milli], 0)
	}
	for _, s := range c.openStages {
		if s.waiting > 0 && s.ready() {
			l.Stages++
		}
	}
	for _, j := range c.jobs {
		if j.state.Final() {
			continue
		}
		if j.stored && !j.began && j.spec.Times == 0 && !j.share.Foreign() {
			l.Pending[j.spec.Queue]++
		}
		l.Waiting += j.waitingWork()
	}
	return l
}

func compareWorkerID(w *worker, id string) int { return strings.Compare(w.ID, id) }

func (c *Cell) stage(id flow.StepID) *stage {
	j := c.jobs[id.Job]
	if j == nil {
		return nil
	}
	return j.stage(id.Time, id.Step)
}
