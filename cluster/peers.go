// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"dewpass.org/flow"
	"dewpass.org/internal/clock"
	"dewpass.org/kind"
	"dewpass.org/wire"
)

// Handle implements link.Handler.
func (n *Instance) Handle(ctx context.Context, req *wire.Request) *wire.Reply {
	reply, err := n.handle(ctx, req)
	if err != nil {
		return &wire.Reply{Error: wire.ToError(err)}
	}
	return reply
}

func (n *Instance) handle(ctx context.Context, req *wire.Request) (*wire.Reply, error) {
	switch b := req.Body.(type) {
	case *wire.Request_Greeting:
		return n.handleGreeting(b.Greeting), nil
	case *wire.Request_SubmitJob:
		return n.handleSubmit(b.SubmitJob)
	case *wire.Request_AskJob:
		return n.handleAsk(ctx, b.AskJob)
	case *wire.Request_Advice:
		return n.handleAdvice(ctx, b.Advice)
	case *wire.Request_Starts:
		return n.handleStarts(ctx, b.Starts)
	case *wire.Request_Hold:
		return n.handleHold(ctx, b.Hold), nil
	case *wire.Request_Workers:
		return n.handleWorkers(ctx, b.Workers)
	case *wire.Request_Quota:
		return n.handleQuota(ctx, b.Quota)
	case *wire.Request_QuotaGifts:
		return n.handleGifts(ctx, b.QuotaGifts)
	case *wire.Request_Takeover:
		return n.handleTakeover(b.Takeover), nil
	case *wire.Request_Store:
		answer, err := n.storeClient.ServeRelayed(ctx, b.Store.Call)
		return &wire.Reply{Body: &wire.Reply_Store{Store: &wire.StoreAnswer{Answer: answer}}}, err
	case *wire.Request_Config:
		doc := &wire.ConfigDoc{}
		if c := n.config.Load(); c != nil && c.Version > b.Config.Above {
			doc.Doc = c.Compressed()
		}
		return &wire.Reply{Body: &wire.Reply_Config{Config: doc}}, nil
	}
	return nil, kind.New(kind.BadRequest, "unknown type of peer request")
}

// handleGreeting answers a greeting. A sender that was not known is told addresses of some of the
// others.
func (n *Instance) handleGreeting(g *wire.Greeting) *wire.Reply {
	now := clock.Now()
	own := n.greeting()
	if !n.members.knowsBoot(g.Instance, g.Boot) {
		for _, addr := range n.members.addrsAfter(g.Addr, now) {
			own.Peers = append(own.Peers, &wire.Peer{Addr: addr})
		}
	}
	n.applyGreeting(g)
	// After the sender was heard: a takeover that begins later finds it active.
	own.Contested = n.contested(g.Cells)
	return &wire.Reply{Body: &wire.Reply_Greeting{Greeting: own}}
}

func (n *Instance) handleSubmit(s *wire.JobSubmit) (*wire.Reply, error) {
	d := n.ownDriver(s.Cell)
	if d == nil {
		return nil, kind.New(kind.Unavailable, "this instance does not own the cell")
	}
	spec, err := flow.DecodeSpec(s.Spec)
	if err != nil {
		return nil, kind.Wrap(kind.BadRequest, err, "job")
	}
	return &wire.Reply{Body: &wire.Reply_JobState{JobState: &wire.JobState{}}}, d.Adopt(spec, s.Ver)
}

func (n *Instance) handleAsk(ctx context.Context, a *wire.JobAsk) (*wire.Reply, error) {
	d := n.ownDriver(a.Cell)
	if d == nil || !d.Ready() {
		return nil, kind.New(kind.Unavailable, "this instance does not own the cell or has not loaded its jobs")
	}
	exclusive, err := authorizeInCell(d, a.Id, a.Account, a.Checked)
	if err != nil {
		return nil, err
	}
	if a.Cancel {
		ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
		defer cancel()
		return &wire.Reply{Body: &wire.Reply_JobState{JobState: &wire.JobState{}}}, d.Cancel(ctx, a.Id)
	}
	s, ok := d.State(a.Id)
	if !ok {
		return nil, kind.New(kind.NotFound, "the cell has no such job")
	}
	if s.Final() && n.endsTold.note(a.Id) {
		level.Info(n.kit.Log).Log("event", "end_told", "job", a.Id, "state", s, "cell", a.Cell, "epoch", d.Claim.Epoch())
	}
	return &wire.Reply{Body: &wire.Reply_JobState{JobState: &wire.JobState{State: string(s), Account: &exclusive}}}, nil
}

// relayStoreCall sends a call to the store through a peer that reaches it.
func (n *Instance) relayStoreCall(ctx context.Context, call []byte) ([]byte, error) {
	peers := n.members.list(clock.Now(), func(k *member) bool { return k.storeOK })
	slices.SortStableFunc(peers, func(a, b member) int {
		return cmp.Compare(n.hallDistance(a), n.hallDistance(b))
	})
	for _, p := range peers[:min(len(peers), maxStoreRelays)] {
		callCtx, cancel := context.WithTimeout(ctx, storeRelayTimeout)
		reply, err := n.dialer.Do(callCtx, p.addr, &wire.Request{Body: &wire.Request_Store{Store: &wire.StoreCall{Call: call}}})
		cancel()
		if err == nil {
			return reply.GetStore().GetAnswer(), nil
		}
		if !kind.Is(err, kind.Unavailable) {
			return nil, err
		}
	}
	return nil, kind.New(kind.Unavailable, "no peer reaches the store")
}

const (
	maxStoreRelays    = 3
	storeRelayTimeout = 900 * time.Millisecond
)

// hallDistance is 0 for a member of this instance's hall, and 1 for one of another hall.
func (n *Instance) hallDistance(m member) int {
	if m.hall == n.settings.Hall {
		return 0
	}
	return 1
}

// tieBreak orders equal candidates differently on each instance, so that several owners spread
// their choices over the same instances.
func (n *Instance) tieBreak(name string) uint32 { return hash32(n.settings.Instance + "/" + name) }

// hash32 returns a well-mixed hash of a text.
func hash32(text string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(text))
	// FNV alone leaves the high bits alike for texts that differ only in the last bytes.
	x := h.Sum32()
	x ^= x >> 16
	x *= 0x7feb352d
	x ^= x >> 15
	x *= 0x846ca68b
	return x ^ x>>16
}
