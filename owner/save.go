// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log/level"

	"dewpass.org/commit"
	"dewpass.org/hall"
	"dewpass.org/internal/clock"
	"dewpass.org/job"
	"dewpass.org/kind"
	"dewpass.org/ports"
	"dewpass.org/retry"
	"dewpass.org/wire"
)

type ack struct {
	worker  ports.Worker
	id      string
	attempt uint32
}

// rowChecks returns the conditions for writing a job's row: this owner still has the rack, and
// the row is unchanged.
func (o *Owner) rowChecks(js *jobState) []ports.Check {
	return []ports.Check{
		{Key: hall.RackKey(o.Hall, js.rack.name), Version: js.rack.rowVersion},
		{Key: job.RowKey(js.row.ID), Version: js.version},
	}
}

func rowPuts(row job.Job) []ports.Put {
	out := []ports.Put{{Key: job.RowKey(row.ID), Value: job.Encode(row)}}
	index := ports.Put{Key: job.IndexKey(row.Rack, row.ID)}
	if !row.State.Final() {
		index.Value = []byte("{}")
		return append(out, index)
	}
	index.Delete = true
	return append(out, index, job.ExpiryOf(row).Put())
}

// withKeyRow adds the row of the request key to the change that creates a job.
func withKeyRow(c commit.Change, row job.Job, digest string) commit.Change {
	if row.Key == "" {
		return c
	}
	key := job.RequestKeyRowKey(row.Account, row.Key)
	c.Checks = append(c.Checks, ports.Check{Key: key})
	value := job.Encode(job.RequestKey{ID: row.ID, Digest: digest})
	c.Puts = append(c.Puts, ports.Put{Key: key, Value: value})
	return c
}

// createRows writes the rows of a new job.
func (o *Owner) createRows(ctx context.Context, js *jobState) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	digest := job.RequestDigest(js.row.Workload, js.row.Payload)
	change := withKeyRow(commit.Change{Checks: o.rowChecks(js), Puts: rowPuts(js.row)}, js.row, digest)
	if err := o.beginCreating(js); err != nil {
		return err
	}
	version, err := o.Journal.Commit(ctx, change)
	if kind.Is(err, kind.Lost) {
		go o.recoverCreate(js)
	}
	if err != nil {
		if !kind.Is(err, kind.Lost) {
			o.endCreating(js.row.ID)
		}
		return createError(err, js)
	}
	js.version = version
	return nil
}

// beginCreating records that the rows of a job are being written. It fails if the rack is being
// handed over.
func (o *Owner) beginCreating(js *jobState) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if js.rack.closing {
		return kind.New(kind.Fenced, "the rack is being handed over")
	}
	o.creating[js.row.ID] = js.rack
	return nil
}

func (o *Owner) endCreating(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.creating, id)
}

// recoverCreate determines the result of a transaction that creates a job and whose result is
// unknown. The caller has been told that the result is unknown, and nothing was sent. If the
// row of a job exists, the job is queued. If the row of a call exists, the call is refused. If
// there is no row, one is written with the state Refused, so that a query for the ID has an
// answer.
func (o *Owner) recoverCreate(js *jobState) {
	defer o.endCreating(js.row.ID)
	ctx := js.rack.ctx
	// The journal commits transactions in order: when this empty one has been committed, all
	// earlier ones have ended.
	if _, err := o.Journal.Commit(ctx, commit.Change{}); err != nil {
		return
	}
	row, err := o.readRow(ctx, job.RowKey(js.row.ID))
	if err != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.racks[js.rack.name] != js.rack || o.jobs[js.row.ID] != nil {
		return
	}
	js.version = row.Version
	js.task = nil
	o.jobs[js.row.ID] = js
	if row.Version > 0 && !js.row.Call {
		o.enqueue(js)
		o.schedule()
		return
	}
	js.row.State = job.Dispatched
	o.endJob(js, job.Refused, func(j *job.Job) { j.Why = "the table did not answer in time" })
}

// readRow reads a row, with retries until the table answers or ctx ends.
func (o *Owner) readRow(ctx context.Context, key string) (ports.Row, error) {
	for {
		rows, err := o.Table.Get(ctx, key)
		if err == nil {
			return rows[0], nil
		}
		select {
		case <-time.After(maxBackoff):
		case <-ctx.Done():
			return ports.Row{}, ctx.Err()
		}
	}
}

func createError(err error, js *jobState) error {
	switch kind.Of(err).Kind {
	case kind.Unavailable:
		return kind.Wrap(kind.CutOff, err, "").WithRetryAfter(retry.MinDelay)
	case kind.Lost:
		return kind.Of(err).WithUnknownOutcome(js.row.ID)
	}
	return err
}

// writeIntent writes the row of a call that must not be repeated, before the call is sent.
func (o *Owner) writeIntent(ctx context.Context, t *task, req *wire.Call) error {
	o.mu.Lock()
	r := t.rack
	row := job.Job{
		ID: req.Id, Account: req.Account, Key: req.Key, Workload: req.Workload, Payload: req.Payload,
		Repeat: ports.RepeatNever, Call: true, Hall: o.Hall, Rack: r.name,
		State: job.Dispatched, Attempt: 1, Worker: t.worker.name, Incarnation: t.worker.incarnation,
		Submitted: clock.Wall().UTC(),
	}
	js := newJobState(row, 0, r)
	js.task = t
	withoutTable := r.rowVersion == 0
	o.mu.Unlock()
	if withoutTable {
		return kind.New(kind.CutOff, "the rack was taken without the table").WithRetryAfter(retry.MinDelay)
	}
	ctx, cancel := context.WithTimeout(ctx, intentTimeout)
	defer cancel()
	if err := o.createRows(ctx, js); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.creating, req.Id)
	if o.racks[r.name] != r {
		return kind.New(kind.Lost, "another owner took the rack while the call was being recorded").WithUnknownOutcome(req.Id)
	}
	t.job = js
	o.jobs[row.ID] = js
	return nil
}

// writeDispatch writes to the row where a job that must not be repeated is about to be sent. It
// returns false if the job must not be sent.
func (o *Owner) writeDispatch(ctx context.Context, t *task) bool {
	o.mu.Lock()
	js := t.job
	if t.worker == nil || js.saving {
		o.requeue(t)
		o.mu.Unlock()
		return false
	}
	row, err := js.row.Transition(job.Dispatched)
	if err != nil {
		o.removeTask(t)
		o.mu.Unlock()
		return false
	}
	row.Worker, row.Incarnation, row.Attempt = t.worker.name, t.worker.incarnation, t.spec.Attempt
	js.saving = true
	checks := o.rowChecks(js)
	o.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	version, err := o.Journal.Commit(ctx, commit.Change{Checks: checks, Puts: rowPuts(row)})
	o.mu.Lock()
	defer o.mu.Unlock()
	defer o.endSaving(js)
	if err != nil {
		o.handleConflict(js, err)
		o.requeue(t)
		return false
	}
	js.version, js.stored = version, row
	row.Cancelling = js.row.Cancelling
	js.row = row
	return o.tasksByRef[t.ref] == t
}

// persist marks the row of a job as out of date and starts to write it. The lock is held.
func (o *Owner) persist(js *jobState) {
	js.dirty = true
	if js.saving || js.rack.rowVersion == 0 {
		return
	}
	js.saving = true
	go o.save(js)
}

// endSaving ends a write of a job's row that save did not make, and starts to write what has
// changed in the meantime. The lock is held.
func (o *Owner) endSaving(js *jobState) {
	js.saving = false
	if js.dirty {
		o.persist(js)
	}
}

// save writes the row of a job until the table has the latest state.
func (o *Owner) save(js *jobState) {
	for {
		o.mu.Lock()
		if !js.dirty || js.rack.ctx.Err() != nil || js.rack.rowVersion == 0 {
			js.saving = false
			o.mu.Unlock()
			return
		}
		js.dirty = false
		row, checks, acks := js.row, o.rowChecks(js), js.acks
		js.acks = nil
		ctx := js.rack.ctx
		o.mu.Unlock()
		o.saveOnce(ctx, js, row, checks, acks)
	}
}

func (o *Owner) saveOnce(ctx context.Context, js *jobState, row job.Job, checks []ports.Check, acks []ack) {
	row, err := o.storeLargeAnswer(ctx, row)
	var version uint64
	if err == nil {
		version, err = o.Journal.Commit(ctx, commit.Change{Checks: checks, Puts: rowPuts(row)})
	}
	if err != nil {
		o.handleSaveError(ctx, js, acks, err)
		return
	}
	o.mu.Lock()
	js.version, js.stored = version, row
	if row.State.Final() {
		js.finish(nil)
	}
	if js.row.State.Final() && !js.dirty {
		o.depart(js, version)
	}
	o.mu.Unlock()
	for _, a := range acks {
		o.acknowledge(a)
	}
}

func (o *Owner) handleSaveError(ctx context.Context, js *jobState, acks []ack, err error) {
	o.mu.Lock()
	js.dirty = true
	js.acks = append(acks, js.acks...)
	o.handleConflict(js, err)
	o.mu.Unlock()
	select {
	case <-time.After(maxBackoff):
	case <-ctx.Done():
	}
}

// handleConflict handles a conflict in writing a job's row: if only that row has changed, it
// adopts the row's version or drops a job that was moved; otherwise another owner may have the
// rack. The lock is held.
func (o *Owner) handleConflict(js *jobState, err error) {
	var c *commit.Conflict
	if !errors.As(err, &c) {
		return
	}
	for _, r := range c.Rows {
		if r.Key != job.RowKey(js.row.ID) {
			o.OnOwnershipDoubt()
			continue
		}
		if j, err := job.Decode(r.Value); err == nil && r.Version > 0 && j.Rack != js.rack.name {
			o.dropMovedJob(js, r.Version)
			return
		}
		js.version = r.Version
	}
}

// storeLargeAnswer moves a large answer from the row to the object store.
func (o *Owner) storeLargeAnswer(ctx context.Context, row job.Job) (job.Job, error) {
	if row.Answer == nil || len(row.Answer.Body) <= maxInlineAnswer || row.AnswerObject != "" {
		return row, nil
	}
	key := "answer/" + row.ID
	if err := o.Objects.PutObject(ctx, key, row.Answer.Body); err != nil {
		return row, err
	}
	small := *row.Answer
	small.Body = nil
	row.Answer, row.AnswerObject = &small, key
	return row, nil
}

func (o *Owner) acknowledge(a ack) {
	ctx, cancel := context.WithTimeout(o.instanceCtx, writeTimeout)
	defer cancel()
	if err := a.worker.Ack(ctx, a.id, a.attempt); err != nil {
		level.Debug(o.Log).Log("msg", "acknowledging an attempt to its worker failed", "task", a.id, "err", err)
	}
}
