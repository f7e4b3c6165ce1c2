// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/claim"
	"dewpass.org/driver"
	"dewpass.org/flow"
	"dewpass.org/link"
	"dewpass.org/wire"
)

var _ = Describe("the end of a job that an owner tells of", func() {
	It("is passed on to the next owner, a few times, and not to the one that said it", func() {
		var e ends
		now := time.Now()
		e.hear([]string{"j"}, "first", now)
		Expect(e.forOwner("first", now)).To(BeEmpty())
		for range endTold {
			Expect(e.forOwner("second", now)).To(Equal([]string{"j"}))
		}
		Expect(e.forOwner("second", now)).To(BeEmpty())
		Expect(e.forOwner("third", now)).To(Equal([]string{"j"}))
		Expect(e.all()).To(Equal([]string{"j"}))
		for _, age := range []time.Duration{endsKept + 1, 2*endsKept + 2} {
			e.forOwner("third", now.Add(age))
		}
		Expect(e.all()).To(BeEmpty(), "the store knows by now")
	})

	It("is passed on in the answer to an owner's greeting", func() {
		n := testInstance(&policy{})
		owner := func(boot string) *wire.Greeting {
			return &wire.Greeting{Instance: boot, Hall: "h", Boot: boot, Addr: boot, Cells: []*wire.CellSummary{{Name: "cell-0"}}}
		}
		g := owner("first")
		g.Succeeded = []string{"j"}
		Expect(n.handleGreeting(g).GetGreeting().GetSucceeded()).To(BeEmpty())
		Expect(n.handleGreeting(owner("second")).GetGreeting().GetSucceeded()).To(Equal([]string{"j"}))
		other := &wire.Greeting{Instance: "x", Hall: "h", Boot: "x", Addr: "x"}
		Expect(n.handleGreeting(other).GetGreeting().GetSucceeded()).To(BeEmpty(), "it owns nothing")
	})

	It("is shown while its owner is not heard", func(ctx context.Context) {
		n := testInstance(&policy{})
		n.division.set(1)
		n.storeClient.Direct = busy{}
		n.storeClient.Carry = nil
		n.heardEnds([]string{"j"}, "owner")
		Expect(n.State(ctx, "j")).To(Equal(flow.Succeeded))
	})

	It("is forgotten when there are too many, the oldest first", func() {
		var e ends
		now := time.Now()
		for i := range endsMost/2 + 1 {
			e.hear([]string{fmt.Sprint(i)}, "o", now)
		}
		Expect(e.has("0")).To(BeTrue())
		for i := range endsMost / 2 {
			e.hear([]string{fmt.Sprint("more", i)}, "o", now)
		}
		Expect(e.has("0")).To(BeFalse())
		Expect(len(e.all())).To(BeNumerically("<=", endsMost))
	})
})

// What happened: an instance was lost for good, and 15 s later the store gave no answers for
// 4.2 s. The owner goes on through that as long as all whom it has heard answer it, since
// any of them could take its cell. The lost one did not, so that nothing started and no
// lease was renewed until the store was back.
var _ = Describe("an instance that is lost before the store is", func() {
	lost := func() (*Instance, time.Time) {
		n := testInstance(&policy{})
		now := time.Now()
		for _, name := range []string{"a", "b", "gone"} {
			n.members.heard(&wire.Greeting{Instance: name, Hall: "h", Boot: name, Addr: name}, now.Add(-10*time.Second))
		}
		for _, name := range []string{"a", "b"} {
			n.members.heard(&wire.Greeting{Instance: name, Hall: "h", Boot: name, Addr: name}, now)
			n.members.answer(name, now)
		}
		return n, now
	}

	It("is named in the cell lease as absent, and need not answer for a while", func() {
		n, now := lost()
		Expect(n.members.absent(now)).To(Equal([]string{"gone"}))
		Expect(n.members.allAnswer(now, nil)).To(BeFalse())
		last := claim.Write{Begun: now.Add(-claim.AbsentWait / 2), Absent: []string{"gone"}}
		Expect(n.heardByAll(last)).To(BeTrue())
		last.Begun = now.Add(-claim.AbsentWait)
		Expect(n.heardByAll(last)).To(BeFalse(), "it may take the cell from now on")
	})

	It("is not named where half of the instances are not heard: the owner may be cut off", func() {
		n, now := lost()
		Expect(n.members.absent(now.Add(absentAfter + 1))).To(BeEmpty())
	})

	It("is not named by an owner that has not greeted for long enough to know", func() {
		n, _ := lost()
		Expect(n.newClaim("c").Absent()).To(BeEmpty())
	})

	It("takes the cell only long after those that were heard", func(ctx context.Context) {
		n := testInstance(&policy{})
		lease := claim.Lease{Owner: "other", Boot: "b", Addr: "127.0.0.1:1", ValidMS: 400, Absent: []string{"me"}}
		Expect(n.vacant(ctx, lease, lease.Silence()+1)).To(BeEmpty(), "though nobody listens at its owner's address")
		Expect(n.vacant(ctx, lease, lease.Silence()+claim.AbsentWait+1)).To(Equal(whySilent))
		lease.Absent = []string{"x"}
		Expect(n.vacant(ctx, lease, lease.Silence()+1)).To(Equal(whySilent))
	})
})

// fullOwner returns an instance that owns a cell with a job, on a store that takes nothing
// more. done says whether all tasks of the job are done.
func fullOwner(ctx context.Context, done bool) (*Instance, *driver.Driver) {
	GinkgoHelper()
	n, s := instanceOnOwnedStore()
	s.full = 1
	rec := &flow.Record{State: flow.Running, Stages: make([]flow.StageRecord, 1)}
	if done {
		rec.Stages[0].Done.Set(0)
	}
	s.table[driver.SpecKey("a1")] = flow.Encode(&flow.Spec{ID: "a1", Cell: "cell-0", Steps: []flow.Step{{Count: 1}}})
	s.table[driver.RecordKey("cell-0", "a1")] = flow.Encode(rec)
	n.tryTake(ctx, "cell-0")
	d := n.own("cell-0")
	Expect(d).NotTo(BeNil())
	DeferCleanup(func() { n.dropDriver("cell-0", d) })
	Eventually(d.Loaded).Should(BeTrue())
	return n, d
}

// answering is a peer that answers greetings once it is told to, and keeps what they tell of.
type answering struct {
	told    chan []string
	answers *atomic.Bool
}

func (a answering) Handle(_ context.Context, req *wire.Request) *wire.Reply {
	if ids := req.GetGreeting().GetSucceeded(); len(ids) > 0 {
		select {
		case a.told <- ids:
		default:
		}
	}
	if !a.answers.Load() {
		return &wire.Reply{Error: wire.ToError(errBusy)}
	}
	return &wire.Reply{Body: &wire.Reply_Greeting{Greeting: &wire.Greeting{Instance: "peer", Hall: "h", Boot: "b"}}}
}

var _ = Describe("an owner whose store takes nothing", func() {
	state := func(d *driver.Driver) func() flow.State {
		return func() flow.State {
			s, _ := d.State("a1")
			return s
		}
	}

	It("shows that a job has succeeded when a peer says so", func(ctx context.Context) {
		n, d := fullOwner(ctx, false)
		Expect(state(d)()).To(Equal(flow.Running))
		n.heardEnds([]string{"a1"}, "peer")
		Expect(state(d)()).To(Equal(flow.Succeeded))
	})

	It("shows that a job has succeeded once a peer has answered the greeting that tells it", func(ctx context.Context) {
		n, d := fullOwner(ctx, true)
		a := answering{told: make(chan []string, 1), answers: new(atomic.Bool)}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := &link.Server{Handler: a}
		go server.Serve(l)
		DeferCleanup(server.Close)
		n.members.heard(&wire.Greeting{Instance: "peer", Hall: "h", Boot: "b", Addr: l.Addr().String()}, time.Now())
		// The cell lease is over soon: the owner goes on as long as its only peer answers.
		greet := func() {
			n.members.answer("peer", time.Now())
			n.greet(ctx)
		}
		Eventually(func() []string { greet(); return n.unkept(time.Now()) }).Should(Equal([]string{"a1"}))
		Eventually(func() chan []string { greet(); return a.told }).Should(Receive(Equal([]string{"a1"})))
		Expect(state(d)()).To(Equal(flow.Running), "no peer is known to have heard it")
		a.answers.Store(true)
		Eventually(func() flow.State { greet(); return state(d)() }).Should(Equal(flow.Succeeded))
	})
})

var _ = Describe("an owner that is heard", func() {
	It("keeps its cell, however long its lease has gone unwritten", func(ctx context.Context) {
		n, s := instanceOnOwnedStore()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		n.listed.Store(true)
		s.lease = claim.Lease{Owner: "other", Boot: "b", Addr: l.Addr().String(), ValidMS: 400, WrittenMS: 7000}
		s.clock = 60_000
		g := &wire.Greeting{Instance: "other", Hall: "h", Boot: "b", Addr: l.Addr().String(), Cells: []*wire.CellSummary{{Name: "cell-0"}}}
		n.members.heard(g, time.Now().Add(-ownerGoesOn/2))
		n.tryTake(ctx, "cell-0")
		Expect(n.own("cell-0")).To(BeNil(), "the store may be away for it alone")
		n.members.heard(g, time.Now().Add(-ownerGoesOn))
		n.tryTake(ctx, "cell-0")
		Expect(n.own("cell-0")).NotTo(BeNil())
		n.dropDriver("cell-0", n.own("cell-0"))
	})

	It("does not name as absent whom it has heard lately, though they answer seldom", func() {
		n := testInstance(&policy{})
		now := time.Now()
		for _, name := range []string{"a", "b", "c"} {
			n.members.heard(&wire.Greeting{Instance: name, Hall: "h", Boot: name, Addr: name}, now.Add(-absentAfter/2))
		}
		n.members.answer("a", now)
		n.members.answer("b", now)
		Expect(n.members.absent(now)).To(BeEmpty())
		Expect(n.members.absent(now.Add(absentAfter - 1))).To(Equal([]string{"c"}))
		n.members.heard(&wire.Greeting{Instance: "long gone", Hall: "h", Boot: "g", Addr: "g"}, now.Add(-answerWhile))
		Expect(n.members.absent(now.Add(absentAfter-1))).To(Equal([]string{"c"}), "its answer is not waited for anyway")
	})
})
