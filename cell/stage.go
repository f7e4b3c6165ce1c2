// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"slices"
	"time"

	"dewpass.org/flow"
	"dewpass.org/speed"
)

// taskState says what is to be done for a task.
type taskState uint8

const (
	taskWaiting taskState = iota
	taskActive
	taskDone
	// taskElsewhere is the state of a task that another cell runs.
	taskElsewhere
	// taskGivenUp is the state of a task of another cell's job that is not started any more because
	// its workers crashed.
	taskGivenUp
)

// task is a task of a stage.
type task struct {
	state taskState
	// lastRun is the number of the last run, less the cell's runBase.
	lastRun int
	runs    []*run
	// failedRuns holds the numbers of the runs that failed.
	failedRuns []int
	checkpoint string
	// yieldCount counts how often the task was stopped for a task of a more urgent queue.
	yieldCount int
	// avoidWorkers lists the workers on which the task failed or stalled.
	avoidWorkers []string
	// crashes are the runs that were lost with their workers since the last run that went well.
	// lostRacks are the racks of those workers.
	crashes   []flow.Crash
	lostRacks []string
	// inStore means that the job's stored record has starts, losses or failures of the task, and
	// accounted that this owner knows what became of all starts by former owners.
	inStore, accounted bool
}

// stage is one step of one repetition of a job.
type stage struct {
	job  *job
	time int
	step int
	def  *flow.Step
	// unknown marks a placeholder for a step of a job that the cell does not know.
	unknown bool

	tasks     []task
	tasksLeft int
	waiting   int
	// pendingDeps counts the steps before this one that are not done yet.
	pendingDeps int
	due         time.Time

	runsByWorker map[*worker]int
	advice       stageAdvice
	// speeds compares the durations of the stage's runs, and speedWeight is what the bonus for a
	// worker's speed counts for its tasks.
	speeds      speed.Step
	speedWeight float64
	// gangFailedRuns holds the numbers of a gang's runs that failed, and gangLastRun the number of
	// its last run.
	gangFailedRuns map[int]bool
	gangLastRun    int
	// reservation is the room held for the stage's tasks while they wait.
	reservation reservation
	// waitingSince is when the current wait of the stage's tasks began, and doneAt when its last
	// task was done.
	waitingSince time.Time
	doneAt       time.Time
	// chain is the estimated duration of the work from this step to the end of its job.
	chain time.Duration
	// waitTimes is the time spent waiting so far, by reason.
	waitTimes waitTimes
	// reportedAt is when the stage's wait was last reported.
	reportedAt time.Time
	// open means that the stage is in Cell.openStages.
	open bool
	// rank is the stage's place in the current order.
	rank rank
	// examinedAt is when the stage was last examined, and backoff when it is examined again.
	examinedAt time.Time
	backoff    backoff
	// needsMove means that a task has to leave its worker, or is about to be lost with it, and no
	// other worker has room for it yet.
	needsMove bool
	// storedHalls are the halls, besides the job's own, of which the store has recorded that tasks
	// may have been started there. hallsToStore are those still to be recorded.
	storedHalls, hallsToStore []string
	// blamedLosses counts the workers whose loss was blamed on tasks of the stage since one of its
	// trials last went well.
	blamedLosses int
	// inheritedHalls are the halls that a former owner had recorded.
	inheritedHalls []string
}

func (s *stage) id() flow.StepID {
	return flow.StepID{Job: s.job.spec.ID, Round: s.time, Step: s.step}
}

func (s *stage) taskID(i int) flow.TaskID {
	return flow.TaskID{Job: s.job.spec.ID, Round: s.time, Step: s.step, Index: i}
}

// ready reports whether the steps before s are done and the job has not ended.
func (s *stage) ready() bool { return s.pendingDeps == 0 && !s.job.state.Final() }

// setWaiting lets t wait for a start, or no longer.
func (s *stage) setWaiting(t *task, waits bool) {
	if waits {
		t.state = taskWaiting
		s.waiting++
	} else {
		s.waiting--
	}
}

// countRunOn adds to the number of runs on a worker.
func (s *stage) countRunOn(w *worker, by int) {
	if s.runsByWorker == nil {
		s.runsByWorker = make(map[*worker]int)
	}
	s.runsByWorker[w] += by
	if s.runsByWorker[w] <= 0 {
		delete(s.runsByWorker, w)
	}
}

// newStage returns a stage of j as its record, if there is one, says.
func newStage(j *job, k, step int, rec *flow.Record) *stage {
	def := &j.spec.Steps[step]
	s := &stage{job: j, time: k, step: step, def: def, due: j.spec.Due(k), chain: j.spec.CriticalPath(step)}
	j.longestChain = max(j.longestChain, s.chain)
	s.tasks = make([]task, def.Count)
	for i := range s.tasks {
		if !j.share.Contains(i) {
			s.tasks[i].state = taskElsewhere
			continue
		}
		s.tasksLeft++
		s.waiting++
	}
	at := k*len(j.spec.Steps) + step
	if rec == nil || at >= len(rec.Stages) {
		return s
	}
	old := &rec.Stages[at]
	s.storedHalls = rec.HallsOf(at)
	s.inheritedHalls = s.storedHalls
	for i := range s.tasks {
		t := &s.tasks[i]
		t.checkpoint, t.failedRuns = old.Checkpoints[i], old.FailedRuns[i]
		t.crashes = old.Crashes[i]
		t.inStore = old.Names(i)
		t.accounted = t.inStore
		s.blamedLosses = max(s.blamedLosses, len(t.crashes))
		if old.Done.Has(i) {
			t.state = taskDone
			s.tasksLeft--
			s.waiting--
		} else if t.state == taskWaiting && j.share.OwnedElsewhere() && mustGiveUp(t.crashes) {
			t.state = taskGivenUp
			s.waiting--
		}
	}
	if def.Gang {
		s.gangFailedRuns = make(map[int]bool)
		for i := range s.tasks {
			for _, n := range s.tasks[i].failedRuns {
				s.gangFailedRuns[n] = true
			}
		}
	}
	return s
}

// mayStartIn reports whether tasks of s may start on the workers of a hall. Those of the job's own
// hall may start at once, as every owner takes that hall into account; any other hall is recorded
// in the store first.
func (c *Cell) mayStartIn(s *stage, hall string) bool {
	if (hall != "" && hall == s.job.spec.Hall) || slices.Contains(s.storedHalls, hall) {
		return true
	}
	if !slices.Contains(s.hallsToStore, hall) {
		s.hallsToStore = append(s.hallsToStore, hall)
		c.markDirty(s.job)
	}
	return false
}
