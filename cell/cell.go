// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"math"
	"strings"
	"time"

	"dewpass.org/flow"
	"dewpass.org/sched"
)

// Queue is the configuration of a queue of jobs.
type Queue struct {
	Name string
	// Pool names the workers that run the queue's tasks.
	Pool string
	// Priority orders the queues; 0 is the most urgent.
	Priority int
	// MaxAttempts is the number of failures of one task that fails its job.
	MaxAttempts int
	// The objective of a job is Stretch times its longest chain of steps, plus Target.
	Stretch float64
	Target  time.Duration
	// Open means that calls need no key of a client account.
	Open bool
	// Advice is nil unless a policy decides which workers may run a step.
	Advice *Advice
}

// Advice describes the cost of asking the policy of a queue and the lifetime of its tickets.
type Advice struct {
	// An answer takes Decide plus Each for every worker that is asked about.
	Decide, Each time.Duration
	// Valid is the lifetime of a ticket.
	Valid time.Duration
}

// Cell holds the jobs and workers of a data hall. Use New to make one.
type Cell struct {
	// Name identifies the cell; it selects the cell's share of jobs that are split between cells. A
	// cell without a name runs whole jobs.
	Name string
	// FairSharing divides full pools fairly between client accounts.
	FairSharing bool
	// Headroom means that pools keep room for their most urgent queues. It is set before Configure.
	Headroom bool
	// CellCount is the number of cells of the deployment, over which the limits of client accounts hold;
	// 0 counts as 1. It is set before jobs are added.
	CellCount int
	// QuotaDamaged reports whether the stored shares of an account cannot be read; nil stands for none.
	QuotaDamaged func(account string) bool

	queues map[string]*Queue
	// firstPriority is the priority of the most urgent queue.
	firstPriority int
	workers       map[string]*worker
	// configured holds the client accounts of the configuration, accounts those that have or had
	// jobs here.
	configured map[string]Account
	accounts   map[string]*account
	// sharers holds the accounts by pool, openSharers, during Place, those with open stages, and
	// sharedPools the pools by name.
	sharers     map[sharerKey]*sharer
	openSharers []*sharer
	sharedPools map[string]*sharedPool
	// headrooms holds the pools that keep room for urgent tasks.
	headrooms map[string]*poolHeadroom
	// sortedWorkers holds the workers ordered by id, so that decisions are deterministic.
	sortedWorkers []*worker
	jobs          map[string]*job
	// finished holds the jobs whose end Ended has not returned yet.
	finished []*job
	// retired holds the end states of jobs whose tasks have been forgotten.
	retired map[string]retiredJob
	// unmatchedEnds holds the ends that workers listed for jobs that are not known yet.
	unmatchedEnds []unmatchedEnd
	// openStages holds the stages that have waiting tasks or soon will.
	openStages []*stage
	// runBase is added to the number of every run, so that run numbers are above all numbers that a
	// former owner gave.
	runBase int
	dirty   []*job
	// asks counts the questions in flight, longAsks the long ones among them, and oldestAsks those
	// of the long ones that were asked because their step had waited longest. maxAsks is the limit
	// on questions in flight that the last Place was given.
	asks, longAsks, oldestAsks, maxAsks int
	// oldestNext means that the last long question was sent for its step's rank. With one long
	// question at a time, the next one is for the step that has waited longest.
	oldestNext bool
	// dirtyQuotas are the accounts whose shares have to be saved.
	dirtyQuotas []string
	// policyStats holds statistics of the policies' answers, by queue.
	policyStats map[string]*policyStats
	// unasked collects, during Place, the steps that were left without a question, and tooEarly those
	// for which there is no room that a question before them is not about.
	unasked, tooEarly []unasked
	// shortages collects, during Place, the searches for unclaimed room that found too little.
	shortages []shortage
	// noRooms collects, during Place, the demands for which no worker has room.
	noRooms []noRoom
	// mostFree is, for each pool and dimension, the largest amount free on any usable worker at the
	// beginning of Place.
	mostFree map[string]sched.Vec
	counts   Counts
	// speeds holds what is learned of the speeds of the workers.
	speeds speeds
	// changes collects the events of runs of long-running tasks until Changes returns them.
	changes []RunChange
	// unsent holds the runs whose orders wait for the store.
	unsent []*run
	// recentLosses holds the workers lost within lossRetention.
	recentLosses []workerLoss
	// activeTrials is the number of trials that have just begun, and watchedTrials that of all under
	// watch; maxTrials and maxWatched are their limits. All are set by Place.
	activeTrials, watchedTrials, maxTrials, maxWatched int
	// inheritedWorkersLost are, by hall, the workers of former owners that were lost with runs that may
	// not be on record.
	inheritedWorkersLost map[string][]string
	givenUps             []GivenUpTask
	// lostRuns, startedCopies and inheritedLosses collect what LostRuns, StartedCopies and
	// InheritedLosses return.
	lostRuns        []LostRun
	startedCopies   []StartedCopy
	inheritedLosses []InheritedLoss
	// examined counts the workers that were examined in the present Place, and crowded means that the
	// last Place examined many.
	examined int
	crowded  bool
	// unlimited removes the bound on examined, for comparisons in tests.
	unlimited bool
	// places counts the calls of Place.
	places int
	// candidateBuffer is reused by newPlacement.
	candidateBuffer []candidate
	// sendBudget is the number of bytes that the starts of the next decision may take,
	// sendBudgetLeft what is left of it during Place. textShared means that the starts of a step
	// share their text on the link.
	sendBudget, sendBudgetLeft int
	textShared                 bool
	// sendLimited means that the last Place left out starts because the send budget was used up.
	sendLimited bool
	// listSeq counts the lists that workers have sent.
	listSeq int
	// runsNeedCheck means that there may be runs to stop. runsCheckedAt is when all runs were last
	// checked.
	runsNeedCheck bool
	runsCheckedAt time.Time
	// attemptsNeedCheck means that jobs may have failed by the present limits of their queues.
	attemptsNeedCheck bool
	// completed is the work completed lately, and queueLoads the last result of QueueLoads.
	completed  completedWork
	queueLoads QueueLoads
}

// Counts are totals of runs since the cell was made.
type Counts struct {
	Started, Done, Failed, Stopped, Lapsed uint64
}

// New returns an empty cell whose runs are numbered above firstRun.
func New(firstRun int) *Cell {
	return &Cell{
		queues:      make(map[string]*Queue),
		workers:     make(map[string]*worker),
		jobs:        make(map[string]*job),
		accounts:    make(map[string]*account),
		sharers:     make(map[sharerKey]*sharer),
		sharedPools: make(map[string]*sharedPool),
		policyStats: make(map[string]*policyStats),
		retired:     make(map[string]retiredJob),
		runBase:     firstRun,
		sendBudget:  math.MaxInt,
	}
}

// Configure replaces the queues and the client accounts. Jobs of a queue that is no longer
// configured start nothing more.
func (c *Cell) Configure(queues []Queue, accounts ...Account) {
	c.setAccounts(accounts)
	c.queues = make(map[string]*Queue, len(queues))
	for i := range queues {
		c.queues[queues[i].Name] = &queues[i]
	}
	c.attemptsNeedCheck = true
	c.firstPriority = c.mostUrgent()
	c.configureHeadroom()
}

func (c *Cell) Counts() Counts { return c.counts }

// Load summarizes a cell for choosing between cells.
type Load struct {
	// Room is the capacity of the attached workers, Free the part of it that is unused.
	Room, Free sched.Vec
	// Halls is the free processor capacity of each hall, in thousandths of a processor, without
	// workers of which it is uncertain whether they answer.
	Halls map[string]int64
	// Waiting is the estimated work of waiting tasks, in milliseconds of one processor.
	Waiting int64
	// Pending counts the accepted jobs of which no task has begun, by queue.
	Pending map[string]int
	// Workers and Attached count all workers and the attached ones.
	Workers, Attached int
	// Stages counts the steps that have waiting tasks.
	Stages int
}

// Load returns the current load.
func (c *Cell) Load() Load {
	l := Load{Pending: make(map[string]int), Halls: make(map[string]int64)}
	for _, w := range c.sortedWorkers {
		l.Workers++
		if !w.inService() {
			continue
		}
		l.Attached++
		l.Room = l.Room.Add(w.Room)
		l.Free = l.Free.Add(w.free)
		if !w.unschedulable {
			l.Halls[w.Hall] += max(w.free[sched.MilliCPU], 0)
		}
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
		if j.stored && !j.began && j.spec.RepeatCount == 0 && !j.share.OwnedElsewhere() {
			l.Pending[j.spec.Queue]++
		}
		l.Waiting += j.waitingWork()
	}
	return l
}

func compareWorkerID(w *worker, id string) int { return strings.Compare(w.ID, id) }

func (c *Cell) stage(id flow.StepID) *stage {
	j := c.jobs[id.Job]
	if j == nil || j.movingTo != "" {
		return nil
	}
	return j.stage(id.Round, id.Step)
}
