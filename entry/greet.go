// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"dewpass.org/internal/clock"
	"dewpass.org/job"
	"dewpass.org/kind"
	"dewpass.org/ports"
	"dewpass.org/telemetry"
	"dewpass.org/wire"
)

const (
	helloInterval = 500 * time.Millisecond
	// localIdleRounds and remoteIdleRounds are the numbers of rounds between two
	// hellos without news, to a peer of this hall and to one of another hall.
	localIdleRounds  = 2
	remoteIdleRounds = 10
	helloTimeout     = 700 * time.Millisecond
	fetchTimeout     = 2 * time.Second
)

// rackSummaries holds the summaries of this instance's racks that peers are sent,
// under a sequence number.
type rackSummaries struct {
	boot string

	mu    sync.Mutex
	round uint64
	seq   uint64
	racks []*wire.Rack
	// updatedAt is when the summaries last got a new sequence number.
	updatedAt time.Time
	// ownershipSeq is the sequence number of the last change to the set of racks,
	// their epochs or their readiness.
	ownershipSeq uint64
}

// summaryInterval is how often peers are sent changes that are too small to affect
// their choice of an owner.
const summaryInterval = 5 * time.Second

// update returns the sequence number of the given summaries. It is a new one if
// they changed enough to affect the choices of peers, or if they changed at all
// and the last number is older than summaryInterval.
func (s *rackSummaries) update(racks []*wire.Rack, now time.Time) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seq > 0 && similarSummaries(s.racks, racks) && now.Sub(s.updatedAt) < summaryInterval {
		return s.seq
	}
	if s.seq == 0 || !equalSummaries(s.racks, racks) {
		s.seq++
		if !matchRacks(s.racks, racks, sameOwner) {
			s.ownershipSeq = s.seq
		}
		s.racks, s.updatedAt = racks, now
	}
	return s.seq
}

// lastOwnershipSeq returns the sequence number that peers of other halls must have
// seen: with an older one they may send work to a rack that has another owner by
// now.
func (s *rackSummaries) lastOwnershipSeq() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ownershipSeq
}

// sameOwner reports whether two summaries of a rack have the same epoch and readiness.
func sameOwner(a, b *wire.Rack) bool {
	return a.EpochTable == b.EpochTable && a.EpochLocal == b.EpochLocal && a.Ready == b.Ready
}

// current returns the summaries under the latest sequence number.
func (s *rackSummaries) current() []*wire.Rack {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.racks
}

// nextRound returns the number of a new round of hellos.
func (s *rackSummaries) nextRound() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.round++
	return s.round
}

// equalSummaries reports whether two lists of summaries are equal.
func equalSummaries(a, b []*wire.Rack) bool {
	return matchRacks(a, b, func(a, b *wire.Rack) bool { return proto.Equal(a, b) })
}

// similarSummaries reports whether two lists of summaries differ so little that
// peers choose equally well by either.
func similarSummaries(a, b []*wire.Rack) bool { return matchRacks(a, b, similarRack) }

// matchRacks reports whether two lists have the same racks and f holds for each
// pair.
func matchRacks(a, b []*wire.Rack, f func(a, b *wire.Rack) bool) bool {
	if len(a) != len(b) {
		return false
	}
	byName := make(map[string]*wire.Rack, len(a))
	for _, r := range a {
		byName[r.Rack] = r
	}
	for _, r := range b {
		if before := byName[r.Rack]; before == nil || !f(before, r) {
			return false
		}
	}
	return true
}

// roomChangeDivisor sets how much the room of a rack may change before peers are
// sent it: 1/8 of the rack's capacity. Summaries may lag since an owner without
// room refuses the work and the next owner is tried.
const roomChangeDivisor = 8

// similarRack is similarSummaries for one rack.
func similarRack(a, b *wire.Rack) bool {
	plain := a.EpochTable == b.EpochTable && a.EpochLocal == b.EpochLocal && a.Ready == b.Ready &&
		a.Workers == b.Workers && a.Attached == b.Attached && a.WaitMs == b.WaitMs &&
		(a.Queued == 0) == (b.Queued == 0)
	return plain && slices.Equal(a.Capacity, b.Capacity) &&
		similarRoom(a.Free, b.Free, b.Capacity) && similarRoom(a.Hole, b.Hole, b.Capacity)
}

// similarRoom reports whether room changed by little and neither became nor ceased
// to be zero.
func similarRoom(a, b, capacity []int64) bool {
	if len(a) != len(b) || len(b) != len(capacity) {
		return false
	}
	for i := range b {
		if (a[i] > 0) != (b[i] > 0) || max(a[i]-b[i], b[i]-a[i])*roomChangeDivisor > capacity[i] {
			return false
		}
	}
	return true
}

// sendHellos sends hellos to peers periodically until ctx ends.
func (e *Entry) sendHellos(ctx context.Context) {
	t := time.NewTicker(helloInterval)
	defer t.Stop()
	for {
		e.sendHelloRound(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// sendHelloRound sends a hello to every target with news or whose hello is due. It
// does not wait for replies.
func (e *Entry) sendHelloRound(ctx context.Context) {
	racks := e.owner.Summary()
	seq := e.summaries.update(racks, clock.Now())
	round := e.summaries.nextRound()
	version := e.register.Current().Version
	views, ownershipSeq := e.peerViews(), e.summaries.lastOwnershipSeq()
	for _, addr := range e.peers.HelloTargets(clock.Now()) {
		if addr == e.settings.Listen.Peer {
			continue
		}
		view, live := views[addr]
		local := view.hall == e.settings.Hall
		news := local && view.seenSeq != seq || view.seenSeq < ownershipSeq || view.treeVersion < version || e.leaving.Load()
		if live && !news && !e.helloDue(view, round) {
			continue
		}
		go e.sendHello(ctx, addr, e.newHello(racks, seq, view))
	}
}

// helloDue reports whether a live peer without news gets a hello in this round. Of
// two peers in a hall only one sends hellos; the reply carries the other's state.
func (e *Entry) helloDue(v peerView, round uint64) bool {
	if v.hall != e.settings.Hall {
		return round%remoteIdleRounds == 0
	}
	return round%localIdleRounds == 0 && e.settings.Instance < v.instance
}

// peerView holds what a peer has received from this instance and this instance
// from it.
type peerView struct {
	instance, hall string
	seenSeq        uint64
	racksSeq       uint64
	treeVersion    uint64
}

// peerViews returns the views of the live peers by address.
func (e *Entry) peerViews() map[string]peerView {
	out := make(map[string]peerView)
	for _, p := range e.peers.Live("", clock.Now()) {
		out[p.Addr] = peerView{
			instance: p.Instance, hall: p.Hall,
			seenSeq: p.SeenRacks, racksSeq: p.RacksSeq, treeVersion: p.TreeVersion,
		}
	}
	return out
}

// sendHello sends a hello to a peer and processes the reply.
func (e *Entry) sendHello(ctx context.Context, addr string, h *wire.Hello) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	reply, err := e.dialer.Do(ctx, addr, &wire.Request{Body: &wire.Request_Hello{Hello: h}})
	if err != nil {
		return
	}
	e.receiveHello(reply.GetHello())
}

// newHello returns a hello for a peer. Racks that the peer has already are left out.
func (e *Entry) newHello(racks []*wire.Rack, seq uint64, view peerView) *wire.Hello {
	h := &wire.Hello{
		Instance: e.settings.Instance, Hall: e.settings.Hall, Boot: e.boot,
		PeerAddr: e.settings.Listen.Peer, Leaving: e.leaving.Load(),
		TreeVersion: e.register.Current().Version, RacksSeq: seq, SeenRacksSeq: view.racksSeq,
		LeavingWorkers: e.owner.LeavingWorkers(), Refusals: e.front.Refusals(),
		CutOff:  e.cutOff(),
		Members: uint32(len(e.peers.Live(e.settings.Hall, clock.Now())) + 1),
	}
	if view.seenSeq == seq {
		h.RacksOmitted = true
	} else {
		h.Racks = racks
	}
	return h
}

// receiveHello processes a hello of a peer.
func (e *Entry) receiveHello(h *wire.Hello) {
	if h == nil {
		return
	}
	_, known := e.peers.Get(h.Instance)
	e.peers.HandleHello(h, clock.Now())
	if h.Hall == e.settings.Hall {
		e.owner.MarkLeaving(h.LeavingWorkers)
	}
	e.front.AddRefusals(h.Refusals)
	if h.TreeVersion > e.register.Current().Version {
		go e.fetchNewerTree(h.PeerAddr)
	}
	if !known && len(e.coordinator.Directory()) == 0 {
		go e.fetchDirectory(h.PeerAddr)
	}
}

// fetchDirectory gets the list of instances from a peer. A new instance of a hall
// that is cut off finds its workers in this way.
func (e *Entry) fetchDirectory(addr string) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	body := &wire.Request_Directory{Directory: &wire.DirectoryQuery{}}
	reply, err := e.dialer.Do(ctx, addr, &wire.Request{Body: body})
	if err != nil {
		return
	}
	var list []ports.Instance
	if err := json.Unmarshal(reply.GetDirectory().GetInstances(), &list); err == nil {
		e.coordinator.Offer(list)
	}
}

// Handle implements link.Handler.
func (e *Entry) Handle(ctx context.Context, req *wire.Request) *wire.Reply {
	ctx = telemetry.Extract(ctx, req.Traceparent)
	reply, err := e.handle(ctx, req)
	if err != nil {
		return &wire.Reply{Error: wire.ToError(err)}
	}
	return reply
}

func (e *Entry) handle(ctx context.Context, req *wire.Request) (*wire.Reply, error) {
	switch b := req.Body.(type) {
	case *wire.Request_Hello:
		return e.handleHello(b.Hello), nil
	case *wire.Request_Call:
		out, err := e.owner.Call(ctx, b.Call)
		return &wire.Reply{Body: &wire.Reply_Call{Call: out}}, err
	case *wire.Request_Submit:
		return e.handleSubmit(ctx, b.Submit)
	case *wire.Request_Job:
		return e.handleJob(ctx, b.Job)
	case *wire.Request_Tree:
		return e.handleTree(b.Tree)
	case *wire.Request_Handover:
		e.coordinator.RequestAudit()
		return &wire.Reply{Body: &wire.Reply_Handover{Handover: &wire.HandoverReply{}}}, nil
	case *wire.Request_Status:
		raw, err := json.Marshal(e.front.HallStatus())
		return &wire.Reply{Body: &wire.Reply_Status{Status: &wire.Status{Status: raw}}}, err
	case *wire.Request_Directory:
		raw, err := json.Marshal(e.coordinator.Directory())
		return &wire.Reply{Body: &wire.Reply_Directory{Directory: &wire.Directory{Instances: raw}}}, err
	}
	return nil, kind.New(kind.BadRequest, "unknown request type, possibly of a newer version")
}

func (e *Entry) handleHello(h *wire.Hello) *wire.Reply {
	e.receiveHello(h)
	racks := e.owner.Summary()
	view := peerView{seenSeq: h.SeenRacksSeq}
	if p, ok := e.peers.Get(h.Instance); ok {
		view.racksSeq = p.RacksSeq
	}
	mine := e.newHello(racks, e.summaries.update(racks, clock.Now()), view)
	return &wire.Reply{Body: &wire.Reply_Hello{Hello: mine}}
}

func (e *Entry) handleSubmit(ctx context.Context, s *wire.Submit) (*wire.Reply, error) {
	row, err := job.Decode(s.Row)
	if err != nil {
		return nil, err
	}
	if s.Moved > 0 {
		e.owner.AddMovedJob(ctx, row, s.Moved)
		return jobReply(row), nil
	}
	row, err = e.owner.Submit(ctx, row)
	if err != nil {
		return nil, err
	}
	return jobReply(row), nil
}

func jobReply(row job.Job) *wire.Reply {
	return &wire.Reply{Body: &wire.Reply_Job{Job: &wire.JobReply{Row: job.Encode(row)}}}
}

func (e *Entry) handleJob(ctx context.Context, q *wire.JobQuery) (*wire.Reply, error) {
	if q.Cancel {
		row, err := e.owner.Cancel(ctx, q.Id)
		if err != nil {
			return nil, err
		}
		return jobReply(row), nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(q.WaitMs)*time.Millisecond)
	defer cancel()
	row, ok := e.owner.Job(ctx, q.Id)
	if !ok {
		return nil, kind.New(kind.NotFound, q.Id)
	}
	return jobReply(row), nil
}

func (e *Entry) handleTree(q *wire.TreeQuery) (*wire.Reply, error) {
	now := e.register.Current()
	t := &wire.Tree{Version: now.Version}
	if now.Version > q.Above {
		raw, err := json.Marshal(now.Doc)
		if err != nil {
			return nil, kind.Wrap(kind.Internal, err, "encode")
		}
		t.Doc = raw
	}
	return &wire.Reply{Body: &wire.Reply_Tree{Tree: t}}, nil
}
