// SPDX-License-Identifier: Apache-2.0

package front

import (
	"context"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"dewpass.org/hall"
	"dewpass.org/internal/clock"
	"dewpass.org/internal/fault"
	"dewpass.org/internal/uid"
	"dewpass.org/job"
	"dewpass.org/kind"
	"dewpass.org/sched"
	"dewpass.org/tree"
	"dewpass.org/wire"
)

const (
	maxSubmitAttempts = 4
	submitTimeout     = 4 * time.Second
	defaultPageSize   = 100
	maxPageSize       = 1000
	jobRowPrefix      = "job/"
	// maxWait bounds the wait of a query for the end of a job.
	maxWait = 30 * time.Second
	// replyMargin is the time that a reply may take in addition to the wait.
	replyMargin = time.Second
)

func (f *Front) submit(r *http.Request) (*response, error) {
	req, err := decodeRequest(r)
	if err != nil {
		return nil, err
	}
	f.Confirm(r.Context())
	if err := f.refusals.check(req); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), submitTimeout)
	defer cancel()
	row, err := f.bindAndAccept(ctx, req)
	if err != nil {
		return nil, err
	}
	return &response{status: http.StatusAccepted, body: publicView(row)}, nil
}

// bindAndAccept accepts a job if it fits the tree, or else returns the job of an earlier request
// with the same key if there is one.
func (f *Front) bindAndAccept(ctx context.Context, req *request) (job.Job, error) {
	w, err := req.bind(f.Tree.Current(), clock.Wall(), tree.Batch)
	switch {
	case err == nil:
		return f.acceptJob(ctx, req, w)
	case req.Key == "":
		return job.Job{}, err
	}
	return f.settleKeyed(ctx, req, err)
}

// acceptJob admits a job and has the owner of a rack write it to the table.
func (f *Front) acceptJob(ctx context.Context, req *request, w *tree.Workload) (job.Job, error) {
	row := f.newJob(req, w, clock.Wall())
	err := f.rates.allow(w, f.instances())
	if err == nil {
		fault.At(fault.Admitted)
		row, err = f.Place(ctx, row, w)
	}
	if err == nil || req.Key == "" {
		return row, err
	}
	if kind.Is(err, kind.Conflict) {
		earlier, found, findErr := f.findByKey(ctx, req, job.RequestDigest(req.Workload, req.Payload))
		if found || findErr != nil {
			return earlier, findErr
		}
		// The row that changed is that of the rack.
	}
	return f.settleKeyed(ctx, req, err)
}

func (f *Front) newJob(req *request, w *tree.Workload, now time.Time) job.Job {
	row := job.Job{
		ID: uid.New(), Account: req.Account, Key: req.Key, Workload: w.Path,
		Payload: req.Payload, Repeat: req.repeat(), Submitted: now.UTC(),
		Deadline: req.Deadline,
	}
	if w.Window != nil {
		from, to := w.Window.Next(now)
		row.NotBefore = &from
		if row.Deadline == nil || to.Before(*row.Deadline) {
			row.Deadline = &to
		}
	}
	if row.Deadline == nil && w.Deadline > 0 {
		by := now.Add(w.Deadline).UTC()
		row.Deadline = &by
	}
	return row
}

// Place submits a job to the owner of a rack, which writes it to the table. It
// prefers racks of this hall to those of others.
func (f *Front) Place(ctx context.Context, row job.Job, w *tree.Workload) (job.Job, error) {
	now := clock.Now()
	list := orderByTwoChoices(f.candidates(f.Hall, now), w.Demand)
	list = append(list, orderByTwoChoices(f.candidates("", now), w.Demand)...)
	var lastErr error = kind.New(kind.NoCapacity, "no owner can be reached")
	for i := 0; i < len(list) && i < maxSubmitAttempts; i++ {
		row.Hall = list[i].hall
		row.Rack = bestRack(list[i], w)
		out, err := f.submitTo(ctx, list[i], row)
		if err == nil || !mayTryNext(err) {
			return out, err
		}
		lastErr = err
	}
	return row, lastErr
}

// FindRackElsewhere returns another rack with room for a demand, in this hall if
// possible. It is called by the owner of the rack without room, which passes the
// summaries of its own racks.
func (f *Front) FindRackElsewhere(own []*wire.Rack, d sched.Vec, exclude string) (hallName, rack string, ok bool) {
	list := []candidate{{hall: f.Hall, racks: own}}
	for _, p := range f.Peers.Live("", clock.Now()) {
		if !p.Leaving {
			list = append(list, candidate{hall: p.Hall, racks: p.Racks})
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].hall == f.Hall && list[j].hall != f.Hall })
	for _, p := range list {
		for _, r := range p.racks {
			if r.Rack != exclude && r.Ready && fits(r, d) {
				return p.hall, r.Rack, true
			}
		}
	}
	return "", "", false
}

// NotifyMoved tells the owner of a job's rack that the job was moved there. If that
// fails, the owner finds the job in the index of the rack.
func (f *Front) NotifyMoved(ctx context.Context, row job.Job, version uint64) error {
	peer, err := f.ownerOf(row)
	if err != nil {
		return err
	}
	body := &wire.Submit{Rack: row.Rack, Row: job.Encode(row), Moved: version}
	_, err = f.Send.Do(ctx, peer.Addr, &wire.Request{Body: &wire.Request_Submit{Submit: body}})
	return err
}

// BestOwnRack returns the rack of this instance that is best for a workload.
func (f *Front) BestOwnRack(w *tree.Workload) (string, bool) {
	rack := bestRack(candidate{racks: f.Owner.Summary()}, w)
	return rack, rack != ""
}

// bestRack returns the rack of a candidate with the most free slots, preferring
// racks where the job fits now.
func bestRack(p candidate, w *tree.Workload) string {
	best, most := "", int64(-1)
	for _, r := range p.racks {
		if !r.Ready {
			continue
		}
		free := int64(0)
		if fits(r, w.Demand) {
			free = 1 + r.Free[0]
		}
		if free > most {
			best, most = r.Rack, free
		}
	}
	return best
}

// submitTo submits a job to the owner of its rack.
func (f *Front) submitTo(ctx context.Context, p candidate, row job.Job) (job.Job, error) {
	if p.self {
		return f.Owner.Submit(ctx, row)
	}
	body := &wire.Submit{Rack: row.Rack, Row: job.Encode(row)}
	reply, err := f.Send.Do(ctx, p.addr, &wire.Request{Body: &wire.Request_Submit{Submit: body}})
	if err != nil {
		if e := kind.Of(err); e.Outcome == kind.Unknown {
			return row, e.WithUnknownOutcome(row.ID)
		}
		return row, err
	}
	return job.Decode(reply.GetJob().GetRow())
}

// cancelledContext returns a cancelled copy of ctx, for queries that must not wait.
func cancelledContext(ctx context.Context) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	cancel()
	return ctx
}

// findJob returns a job by its id: from the local owner, from the table, or from a
// peer while the table cannot be reached.
func (f *Front) findJob(ctx context.Context, id string) (job.Job, error) {
	if row, ok := f.Owner.Job(cancelledContext(ctx), id); ok {
		return row, nil
	}
	rows, err := f.Table.Get(ctx, job.RowKey(id))
	if err == nil && rows[0].Version == 0 {
		return job.Job{}, kind.New(kind.NotFound, id)
	}
	if err == nil {
		return job.Decode(rows[0].Value)
	}
	for _, p := range f.Peers.Live(f.Hall, clock.Now()) {
		if row, queryErr := f.queryPeer(ctx, p.Addr, &wire.JobQuery{Id: id}); queryErr == nil {
			return row, nil
		}
	}
	return job.Job{}, err
}

// queryPeer sends a job query to a peer.
func (f *Front) queryPeer(ctx context.Context, addr string, q *wire.JobQuery) (job.Job, error) {
	reply, err := f.Send.Do(ctx, addr, &wire.Request{Body: &wire.Request_Job{Job: q}})
	if err != nil {
		return job.Job{}, err
	}
	return job.Decode(reply.GetJob().GetRow())
}

// loadAnswer completes a job whose answer is in the object store.
func (f *Front) loadAnswer(ctx context.Context, row job.Job) (job.Job, error) {
	if row.AnswerObject == "" || row.Answer == nil {
		return row, nil
	}
	body, err := f.Objects.GetObject(ctx, row.AnswerObject)
	if err != nil {
		return row, kind.Of(err).WithUnknownOutcome(row.ID)
	}
	full := *row.Answer
	full.Body = body
	if err := full.Verify(row.ID, full.Attempt); err != nil {
		return row, kind.Of(err).WithUnknownOutcome(row.ID)
	}
	row.Answer = &full
	return row, nil
}

// publicView returns a job without the fields that are internal to the owner.
func publicView(row job.Job) job.Job {
	row.Incarnation = ""
	row.Payload = nil
	return row
}

func (f *Front) job(r *http.Request) (*response, error) {
	wait, err := parseWait(r)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	row, err := f.waitForJob(ctx, mux.Vars(r)["id"])
	if err != nil {
		return nil, err
	}
	row, err = f.loadAnswer(r.Context(), row)
	if err != nil {
		return nil, err
	}
	return ok(publicView(row))
}

// parseWait returns how long the caller is willing to wait for the end of a job.
func parseWait(r *http.Request) (time.Duration, error) {
	s := r.URL.Query().Get("wait")
	if s == "" {
		return 0, nil
	}
	wait, err := time.ParseDuration(s)
	if err != nil || wait < 0 || wait > maxWait {
		return 0, kind.At(kind.BadRequest, "?wait", "must be a duration up to "+maxWait.String())
	}
	return wait, nil
}

func (f *Front) cancel(r *http.Request) (*response, error) {
	row, err := f.Cancel(r.Context(), mux.Vars(r)["id"])
	if err != nil {
		return nil, err
	}
	return &response{status: http.StatusAccepted, body: publicView(row)}, nil
}

// Cancel asks the owner of a job's rack to cancel the job.
func (f *Front) Cancel(ctx context.Context, id string) (job.Job, error) {
	row, err := f.findJob(ctx, id)
	if err != nil || row.State.Final() {
		return row, err
	}
	if _, here := f.Owner.Job(cancelledContext(ctx), id); here {
		return f.Owner.Cancel(ctx, id)
	}
	peer, err := f.ownerOf(row)
	if err != nil {
		return row, err
	}
	return f.queryPeer(ctx, peer.Addr, &wire.JobQuery{Id: id, Rack: row.Rack, Cancel: true})
}

// ownerOf returns the peer that owns the rack of a job.
func (f *Front) ownerOf(row job.Job) (hall.Peer, error) {
	claim, claimed := f.Peers.Claims(row.Hall, clock.Now())[row.Rack]
	peer, known := f.Peers.Get(claim.Owner)
	if !claimed || !known {
		return peer, kind.New(kind.Unavailable, "the owner of the job's rack cannot be reached")
	}
	return peer, nil
}

// waitForJob returns a job once it is over, or its present state when ctx ends. The
// owner delays its reply until then, so that nobody has to poll.
func (f *Front) waitForJob(ctx context.Context, id string) (job.Job, error) {
	if row, ok := f.Owner.Job(ctx, id); ok {
		return row, nil
	}
	detached := context.WithoutCancel(ctx)
	row, err := f.findJob(detached, id)
	if err != nil || row.State.Final() {
		return row, err
	}
	deadline, _ := ctx.Deadline()
	remaining := time.Until(deadline)
	if peer, ownerErr := f.ownerOf(row); ownerErr == nil && remaining > 0 {
		q := &wire.JobQuery{Id: id, Rack: row.Rack, WaitMs: remaining.Milliseconds()}
		queryCtx, cancel := context.WithTimeout(detached, remaining+replyMargin)
		defer cancel()
		if row, err := f.queryPeer(queryCtx, peer.Addr, q); err == nil {
			return row, nil
		}
	}
	return f.findJob(detached, id)
}

// JobList is one page of jobs.
type JobList struct {
	Jobs []job.Job `json:"jobs"`
	// After is the id after which the next page begins, "" on the last page.
	After string `json:"after,omitempty"`
}

func (f *Front) list(r *http.Request) (*response, error) {
	q := r.URL.Query()
	limit := defaultPageSize
	if s := q.Get("limit"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil || n < 1 || n > maxPageSize {
			return nil, kind.At(kind.BadRequest, "?limit", "must be from 1 to 1000")
		}
		limit = n
	}
	var out JobList
	after := ""
	if a := q.Get("after"); a != "" {
		after = jobRowPrefix + a
	}
	for len(out.Jobs) < limit {
		rows, err := f.Table.Scan(r.Context(), jobRowPrefix, after, maxPageSize)
		if err != nil {
			return nil, err
		}
		if len(rows) == 0 {
			return ok(out)
		}
		for _, raw := range rows {
			after = raw.Key
			row, err := job.Decode(raw.Value)
			if err != nil || !matches(row, q.Get("state"), q.Get("workload")) {
				continue
			}
			out.Jobs = append(out.Jobs, publicView(row))
			if len(out.Jobs) == limit {
				break
			}
		}
	}
	out.After = strings.TrimPrefix(after, jobRowPrefix)
	return ok(out)
}

func matches(row job.Job, state, workload string) bool {
	if state != "" && string(row.State) != state {
		return false
	}
	return workload == "" || row.Workload == workload
}
