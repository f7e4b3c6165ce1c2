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
	submitTries  = 4
	submitTime   = 4 * time.Second
	defaultLimit = 100
	maxLimit     = 1000
	jobRows      = "job/"
	// maxWait bounds how long the answer to a question for a job is held back.
	maxWait = 30 * time.Second
	// replyTime is what a reply may take beyond the time that it was held.
	replyTime = time.Second
)

func (f *Front) submit(r *http.Request) (*response, error) {
	req, err := decodeRequest(r)
	if err != nil {
		return nil, err
	}
	f.Confirm(r.Context())
	w, err := req.bind(f.Tree.Now(), clock.Wall(), tree.Batch)
	if err != nil {
		return nil, err
	}
	if err := f.refusals.check(req); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), submitTime)
	defer cancel()
	row, err := f.accept(ctx, req, w)
	if err != nil {
		return nil, err
	}
	return &response{status: http.StatusAccepted, body: shown(row)}, nil
}

// accept admits a job and has it written down.
func (f *Front) accept(ctx context.Context, req *request, w *tree.Workload) (job.Job, error) {
	row := f.newJob(req, w, clock.Wall())
	err := f.limits.allow(w, f.instances())
	if err == nil {
		fault.At(fault.Admitted)
		row, err = f.Place(ctx, row, w)
	}
	if err == nil || req.Key == "" {
		return row, err
	}
	if kind.Is(err, kind.Conflict) {
		return f.earlier(ctx, req, job.RequestDigest(req.Workload, req.Payload), err)
	}
	return f.settleKeyed(ctx, req, err)
}

func (f *Front) newJob(req *request, w *tree.Workload, now time.Time) job.Job {
	row := job.Job{
		ID: uid.New(), Shop: req.Shop, Key: req.Key, Workload: w.Path,
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

// Place has a job written down by the owner of a rack. The hall of this
// instance is its home, unless none of its racks can take it.
func (f *Front) Place(ctx context.Context, row job.Job, w *tree.Workload) (job.Job, error) {
	now := clock.Now()
	list := order(f.places(f.Hall, now), w.Demand)
	list = append(list, order(f.places("", now), w.Demand)...)
	var last error = kind.New(kind.NoCapacity, "no owner can be reached")
	for i := 0; i < len(list) && i < submitTries; i++ {
		row.Hall = list[i].hall
		row.Rack = bestRack(list[i], w)
		out, err := f.submitTo(ctx, list[i], row)
		if err == nil || !passedBy(err) {
			return out, err
		}
		last = err
	}
	return row, last
}

// Elsewhere returns another rack on which a demand fits now: of this hall, or
// else of another one. It is asked by the owner of the full rack, whose own
// summaries it is given.
func (f *Front) Elsewhere(own []*wire.Rack, d sched.Vec, not string) (hallName, rack string, ok bool) {
	list := []place{{hall: f.Hall, racks: own}}
	for _, p := range f.Peers.Live("", clock.Now()) {
		if !p.Leaving {
			list = append(list, place{hall: p.Hall, racks: p.Racks})
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].hall == f.Hall && list[j].hall != f.Hall })
	for _, p := range list {
		for _, r := range p.racks {
			if r.Rack != not && r.Ready && fits(r, d) {
				return p.hall, r.Rack, true
			}
		}
	}
	return "", "", false
}

// Tell tells the owner of a job's rack that the job was moved there. If that
// fails, the owner finds it in the index of the rack.
func (f *Front) Tell(ctx context.Context, row job.Job, version uint64) error {
	peer, err := f.ownerOf(row)
	if err != nil {
		return err
	}
	body := &wire.Submit{Rack: row.Rack, Row: job.Encode(row), Moved: version}
	_, err = f.Send.Do(ctx, peer.Addr, &wire.Request{Body: &wire.Request_Submit{Submit: body}})
	return err
}

// OwnRack returns the rack of this instance that can best take a workload.
func (f *Front) OwnRack(w *tree.Workload) (string, bool) {
	rack := bestRack(place{racks: f.Owner.Summary()}, w)
	return rack, rack != ""
}

// bestRack returns the rack of a place with the most free slots, preferring
// those where the job fits now.
func bestRack(p place, w *tree.Workload) string {
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

func (f *Front) submitTo(ctx context.Context, p place, row job.Job) (job.Job, error) {
	if p.self {
		return f.Owner.Submit(ctx, row)
	}
	body := &wire.Submit{Rack: row.Rack, Row: job.Encode(row)}
	reply, err := f.Send.Do(ctx, p.addr, &wire.Request{Body: &wire.Request_Submit{Submit: body}})
	if err != nil {
		if e := kind.Of(err); e.Outcome == kind.Unknown {
			return row, e.Uncertain(row.ID)
		}
		return row, err
	}
	return job.Decode(reply.GetJob().GetRow())
}

// now is a context that waits for nothing.
func now(ctx context.Context) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	cancel()
	return ctx
}

// find returns a job by its id: from the table, or from a peer while the table
// cannot be asked.
func (f *Front) find(ctx context.Context, id string) (job.Job, error) {
	if row, ok := f.Owner.Job(now(ctx), id); ok {
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
		if row, asked := f.ask(ctx, p.Addr, &wire.JobQuery{Id: id}); asked == nil {
			return row, nil
		}
	}
	return job.Job{}, err
}

func (f *Front) ask(ctx context.Context, addr string, q *wire.JobQuery) (job.Job, error) {
	reply, err := f.Send.Do(ctx, addr, &wire.Request{Body: &wire.Request_Job{Job: q}})
	if err != nil {
		return job.Job{}, err
	}
	return job.Decode(reply.GetJob().GetRow())
}

// whole fetches an answer that is kept in the object store.
func (f *Front) whole(ctx context.Context, row job.Job) (job.Job, error) {
	if row.AnswerObject == "" || row.Answer == nil {
		return row, nil
	}
	body, err := f.Objects.GetObject(ctx, row.AnswerObject)
	if err != nil {
		return row, kind.Of(err).Uncertain(row.ID)
	}
	full := *row.Answer
	full.Body = body
	if err := full.Whole(row.ID, full.Attempt); err != nil {
		return row, kind.Of(err).Uncertain(row.ID)
	}
	row.Answer = &full
	return row, nil
}

// shown leaves out what only concerns the owner.
func shown(row job.Job) job.Job {
	row.Incarnation = ""
	row.Payload = nil
	return row
}

func (f *Front) job(r *http.Request) (*response, error) {
	wait, err := waitOf(r)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	row, err := f.until(ctx, mux.Vars(r)["id"])
	if err != nil {
		return nil, err
	}
	row, err = f.whole(r.Context(), row)
	if err != nil {
		return nil, err
	}
	return ok(shown(row))
}

// waitOf reads how long the caller lets the answer be held back.
func waitOf(r *http.Request) (time.Duration, error) {
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
	return &response{status: http.StatusAccepted, body: shown(row)}, nil
}

// Cancel asks the owner of a job's rack to end it.
func (f *Front) Cancel(ctx context.Context, id string) (job.Job, error) {
	row, err := f.find(ctx, id)
	if err != nil || row.State.Over() {
		return row, err
	}
	if _, here := f.Owner.Job(now(ctx), id); here {
		return f.Owner.Cancel(id)
	}
	peer, err := f.ownerOf(row)
	if err != nil {
		return row, err
	}
	return f.ask(ctx, peer.Addr, &wire.JobQuery{Id: id, Rack: row.Rack, Cancel: true})
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

// until returns a job once it is over, or as it stands when ctx ends. Its
// owner holds the question, so that nobody has to ask again and again.
func (f *Front) until(ctx context.Context, id string) (job.Job, error) {
	if row, ok := f.Owner.Job(ctx, id); ok {
		return row, nil
	}
	asking := context.WithoutCancel(ctx)
	row, err := f.find(asking, id)
	if err != nil || row.State.Over() {
		return row, err
	}
	deadline, _ := ctx.Deadline()
	left := time.Until(deadline)
	if peer, gone := f.ownerOf(row); gone == nil && left > 0 {
		q := &wire.JobQuery{Id: id, Rack: row.Rack, WaitMs: left.Milliseconds()}
		asking, cancel := context.WithTimeout(asking, left+replyTime)
		defer cancel()
		if row, err := f.ask(asking, peer.Addr, q); err == nil {
			return row, nil
		}
	}
	return f.find(asking, id)
}

// JobList is the body of a list of jobs.
type JobList struct {
	Jobs []job.Job `json:"jobs"`
	// After is where the next page begins, "" at the end.
	After string `json:"after,omitempty"`
}

func (f *Front) list(r *http.Request) (*response, error) {
	q := r.URL.Query()
	limit := defaultLimit
	if s := q.Get("limit"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil || n < 1 || n > maxLimit {
			return nil, kind.At(kind.BadRequest, "?limit", "must be from 1 to 1000")
		}
		limit = n
	}
	var out JobList
	after := ""
	if a := q.Get("after"); a != "" {
		after = jobRows + a
	}
	for len(out.Jobs) < limit {
		rows, err := f.Table.Scan(r.Context(), jobRows, after, maxLimit)
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
			out.Jobs = append(out.Jobs, shown(row))
			if len(out.Jobs) == limit {
				break
			}
		}
	}
	out.After = strings.TrimPrefix(after, jobRows)
	return ok(out)
}

func matches(row job.Job, state, workload string) bool {
	if state != "" && string(row.State) != state {
		return false
	}
	return workload == "" || row.Workload == workload
}
