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
	greetEvery = 500 * time.Millisecond
	// nearEvery and farEvery are how many rounds pass between two hellos with
	// nothing new in them, to a peer of the own hall and to another hall.
	nearEvery    = 2
	farEvery     = 10
	greetTimeout = 700 * time.Millisecond
	pullTimeout  = 2 * time.Second
)

// spread keeps the number of this instance's rack summaries.
type spread struct {
	boot string

	mu    sync.Mutex
	round uint64
	seq   uint64
	racks []*wire.Rack
	// at is when the summaries were last given a new number.
	at time.Time
	// owned is the number at which it last changed which racks there are, under
	// which epochs, and whether they are ready.
	owned uint64
}

// refreshEvery is how often peers are told of changes by which they would not
// choose otherwise.
const refreshEvery = 5 * time.Second

// number returns the number of the given summaries: a new one if they changed
// by more than peers choose by, or at all and some time ago.
func (s *spread) number(racks []*wire.Rack, now time.Time) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seq > 0 && alike(s.racks, racks) && now.Sub(s.at) < refreshEvery {
		return s.seq
	}
	if s.seq == 0 || !same(s.racks, racks) {
		s.seq++
		if !pairwise(s.racks, racks, sameOwner) {
			s.owned = s.seq
		}
		s.racks, s.at = racks, now
	}
	return s.seq
}

// ownedAt returns the number of the summaries that peers of other halls must
// have, lest they send work to a rack that has another owner by now.
func (s *spread) ownedAt() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owned
}

func sameOwner(a, b *wire.Rack) bool {
	return a.EpochTable == b.EpochTable && a.EpochLocal == b.EpochLocal && a.Ready == b.Ready
}

// last returns the summaries that peers were last told.
func (s *spread) last() []*wire.Rack {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.racks
}

// next counts a round of hellos.
func (s *spread) next() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.round++
	return s.round
}

// same reports whether two lists of summaries are the same, and alike whether
// peers that have the one choose as well as with the other.
func same(a, b []*wire.Rack) bool {
	return pairwise(a, b, func(a, b *wire.Rack) bool { return proto.Equal(a, b) })
}

func alike(a, b []*wire.Rack) bool { return pairwise(a, b, alikeRack) }

// pairwise reports whether two lists are of the same racks and f holds for
// each.
func pairwise(a, b []*wire.Rack, f func(a, b *wire.Rack) bool) bool {
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

// newsPart is the part of a rack's capacity, as one in this many, by which its
// room may change before peers are told. An owner that turns out to be full
// says so, and the next one is asked.
const newsPart = 8

func alikeRack(a, b *wire.Rack) bool {
	plain := a.EpochTable == b.EpochTable && a.EpochLocal == b.EpochLocal && a.Ready == b.Ready &&
		a.Workers == b.Workers && a.Attached == b.Attached && a.WaitMs == b.WaitMs &&
		(a.Queued == 0) == (b.Queued == 0)
	return plain && slices.Equal(a.Capacity, b.Capacity) &&
		alikeRoom(a.Free, b.Free, b.Capacity) && alikeRoom(a.Hole, b.Hole, b.Capacity)
}

// alikeRoom reports whether room changed by little, and not from or to none.
func alikeRoom(a, b, capacity []int64) bool {
	if len(a) != len(b) || len(b) != len(capacity) {
		return false
	}
	for i := range b {
		if (a[i] > 0) != (b[i] > 0) || max(a[i]-b[i], b[i]-a[i])*newsPart > capacity[i] {
			return false
		}
	}
	return true
}

// greet says hello to peers again and again until ctx ends.
func (e *Entry) greet(ctx context.Context) {
	t := time.NewTicker(greetEvery)
	defer t.Stop()
	for {
		e.greetOnce(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// greetOnce says hello to every peer that is to be greeted, and does not wait
// for those that are slow.
func (e *Entry) greetOnce(ctx context.Context) {
	racks := e.owner.Summary()
	seq := e.spread.number(racks, clock.Now())
	round := e.spread.next()
	version := e.register.Now().Version
	seen, owned := e.seenBy(), e.spread.ownedAt()
	for _, addr := range e.peers.HelloTargets(clock.Now()) {
		if addr == e.settings.Listen.Peer {
			continue
		}
		view, live := seen[addr]
		near := view.hall == e.settings.Hall
		news := near && view.seen != seq || view.seen < owned || view.version < version || e.leaving.Load()
		if live && !news && !e.due(view, round) {
			continue
		}
		go e.greetPeer(ctx, addr, e.hello(racks, seq, view))
	}
}

// due reports whether a live peer to whom there is nothing new to say gets a
// hello in this round. Of two peers of a hall one says hello, and the answer
// serves the other.
func (e *Entry) due(v peerView, round uint64) bool {
	if v.hall != e.settings.Hall {
		return round%farEvery == 0
	}
	return round%nearEvery == 0 && e.settings.Instance < v.instance
}

// peerView is what a peer has of this instance, and this one of it.
type peerView struct {
	instance, hall string
	seen           uint64
	racks          uint64
	version        uint64
}

func (e *Entry) seenBy() map[string]peerView {
	out := make(map[string]peerView)
	for _, p := range e.peers.Live("", clock.Now()) {
		out[p.Addr] = peerView{
			instance: p.Instance, hall: p.Hall,
			seen: p.SeenRacks, racks: p.RacksSeq, version: p.TreeVersion,
		}
	}
	return out
}

func (e *Entry) greetPeer(ctx context.Context, addr string, h *wire.Hello) {
	ctx, cancel := context.WithTimeout(ctx, greetTimeout)
	defer cancel()
	reply, err := e.dialer.Do(ctx, addr, &wire.Request{Body: &wire.Request_Hello{Hello: h}})
	if err != nil {
		return
	}
	e.heard(reply.GetHello())
}

// hello makes a hello for a peer. Racks that it has already are left out.
func (e *Entry) hello(racks []*wire.Rack, seq uint64, view peerView) *wire.Hello {
	h := &wire.Hello{
		Instance: e.settings.Instance, Hall: e.settings.Hall, Boot: e.boot,
		PeerAddr: e.settings.Listen.Peer, Leaving: e.leaving.Load(),
		TreeVersion: e.register.Now().Version, RacksSeq: seq, SeenRacksSeq: view.racks,
		LeavingWorkers: e.owner.LeavingWorkers(), Refusals: e.front.Refusals(),
		CutOff:  e.cutOff(),
		Members: uint32(len(e.peers.Live(e.settings.Hall, clock.Now())) + 1),
	}
	if view.seen == seq {
		h.RacksOmitted = true
	} else {
		h.Racks = racks
	}
	return h
}

// heard takes in a hello.
func (e *Entry) heard(h *wire.Hello) {
	if h == nil {
		return
	}
	_, known := e.peers.Get(h.Instance)
	e.peers.HandleHello(h, clock.Now())
	if h.Hall == e.settings.Hall {
		e.owner.MarkLeaving(h.LeavingWorkers)
	}
	e.front.HeardRefusals(h.Refusals)
	if h.TreeVersion > e.register.Now().Version {
		go e.pullNewer(h.PeerAddr)
	}
	if !known && len(e.keeper.Directory()) == 0 {
		go e.askDirectory(h.PeerAddr)
	}
}

// askDirectory learns the list of instances from a peer: a new instance of a
// hall that is cut off finds its workers in this way.
func (e *Entry) askDirectory(addr string) {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	body := &wire.Request_Directory{Directory: &wire.DirectoryQuery{}}
	reply, err := e.dialer.Do(ctx, addr, &wire.Request{Body: body})
	if err != nil {
		return
	}
	var list []ports.Instance
	if err := json.Unmarshal(reply.GetDirectory().GetInstances(), &list); err == nil {
		e.keeper.Offer(list)
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
		e.keeper.RequestAudit()
		return &wire.Reply{Body: &wire.Reply_Handover{Handover: &wire.HandoverReply{}}}, nil
	case *wire.Request_Status:
		raw, err := json.Marshal(e.front.HallStatus())
		return &wire.Reply{Body: &wire.Reply_Status{Status: &wire.Status{Status: raw}}}, err
	case *wire.Request_Directory:
		raw, err := json.Marshal(e.keeper.Directory())
		return &wire.Reply{Body: &wire.Reply_Directory{Directory: &wire.Directory{Instances: raw}}}, err
	}
	return nil, kind.New(kind.BadRequest, "a message of a newer version")
}

func (e *Entry) handleHello(h *wire.Hello) *wire.Reply {
	e.heard(h)
	racks := e.owner.Summary()
	view := peerView{seen: h.SeenRacksSeq}
	if p, ok := e.peers.Get(h.Instance); ok {
		view.racks = p.RacksSeq
	}
	mine := e.hello(racks, e.spread.number(racks, clock.Now()), view)
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
		row, err := e.owner.Cancel(q.Id)
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
	now := e.register.Now()
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
