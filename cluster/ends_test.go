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

var _ = Describe("a job that an owner reports as succeeded", func() {
	It("is reported to the next owner a few times, and not to the one that reported it", func() {
		var e reportedSuccesses
		now := time.Now()
		e.add([]string{"j"}, "first", now)
		Expect(e.forOwner("first", now)).To(BeEmpty())
		for range successRepeats {
			Expect(e.forOwner("second", now)).To(Equal([]string{"j"}))
		}
		Expect(e.forOwner("second", now)).To(BeEmpty())
		Expect(e.forOwner("third", now)).To(Equal([]string{"j"}))
		Expect(e.all()).To(Equal([]string{"j"}))
		for _, age := range []time.Duration{successRetention + 1, 2*successRetention + 2} {
			e.forOwner("third", now.Add(age))
		}
		Expect(e.all()).To(BeEmpty(), "the store has the end by now")
	})

	It("is reported in the answer to an owner's greeting", func() {
		n := testInstance(&fakePolicy{})
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

	It("is shown as succeeded while its owner is not heard", func(ctx context.Context) {
		n := testInstance(&fakePolicy{})
		n.division.set(1)
		n.storeClient.Direct = unavailableStore{}
		n.storeClient.Relay = nil
		n.applySuccesses([]string{"j"}, "owner")
		Expect(n.State(ctx, "j")).To(Equal(flow.Succeeded))
	})

	It("is evicted when there are too many, the oldest first", func() {
		var e reportedSuccesses
		now := time.Now()
		for i := range maxSuccesses/2 + 1 {
			e.add([]string{fmt.Sprint(i)}, "o", now)
		}
		Expect(e.has("0")).To(BeTrue())
		for i := range maxSuccesses / 2 {
			e.add([]string{fmt.Sprint("more", i)}, "o", now)
		}
		Expect(e.has("0")).To(BeFalse())
		Expect(len(e.all())).To(BeNumerically("<=", maxSuccesses))
	})
})

// Guards against one lost instance stopping an owner. An owner that the store does not answer
// continues to give orders as long as all instances it has heard answer it, since any of them could
// take its cell. An instance was lost for good, and 15 s later the store did not answer for 4.2 s:
// the lost instance did not answer, so that nothing started and no lease was renewed until the
// store was back.
var _ = Describe("an instance that is lost before the store is unavailable", func() {
	instanceAfterLoss := func() (*Instance, time.Time) {
		n := testInstance(&fakePolicy{})
		now := time.Now()
		for _, name := range []string{"a", "b", "gone"} {
			n.members.applyGreeting(&wire.Greeting{Instance: name, Hall: "h", Boot: name, Addr: name}, now.Add(-10*time.Second))
		}
		for _, name := range []string{"a", "b"} {
			n.members.applyGreeting(&wire.Greeting{Instance: name, Hall: "h", Boot: name, Addr: name}, now)
			n.members.markAnswered(name, now)
		}
		return n, now
	}

	It("is named in the cell lease as absent, and need not answer for a while", func() {
		n, now := instanceAfterLoss()
		Expect(n.members.absent(now)).To(Equal([]string{"gone"}))
		Expect(n.members.allAnswered(now, nil)).To(BeFalse())
		last := claim.Write{Begun: now.Add(-claim.AbsentTakeoverDelay / 2), Absent: []string{"gone"}}
		Expect(n.answeredByAll(last)).To(BeTrue())
		last.Begun = now.Add(-claim.AbsentTakeoverDelay)
		Expect(n.answeredByAll(last)).To(BeFalse(), "the absent instance may take the cell from now on")
	})

	It("is not named if half of the instances are not heard, as the owner may be cut off", func() {
		n, now := instanceAfterLoss()
		Expect(n.members.absent(now.Add(absentAfter + 1))).To(BeEmpty())
	})

	It("is not named by an owner that has not greeted for long enough to know", func() {
		n, _ := instanceAfterLoss()
		Expect(n.newClaim("c").Absent()).To(BeEmpty())
	})

	It("may take the cell only long after the instances that were heard", func(ctx context.Context) {
		n := testInstance(&fakePolicy{})
		lease := claim.Lease{Owner: "other", Boot: "b", Addr: "127.0.0.1:1", ValidMS: 400, Absent: []string{"me"}}
		Expect(n.vacancyReason(ctx, lease, lease.Expiry()+1)).To(BeEmpty(), "though nobody listens at its owner's address")
		Expect(n.vacancyReason(ctx, lease, lease.Expiry()+claim.AbsentTakeoverDelay+1)).To(Equal(reasonOwnerSilent))
		lease.Absent = []string{"x"}
		Expect(n.vacancyReason(ctx, lease, lease.Expiry()+1)).To(Equal(reasonOwnerSilent))
	})
})

// ownerOnFullStore returns an instance that owns a cell with one job, on a store that accepts no
// more writes. done says whether all tasks of the job are done.
func ownerOnFullStore(ctx context.Context, done bool) (*Instance, *driver.Driver) {
	GinkgoHelper()
	n, s := instanceOnOwnedStore()
	s.fullAfter = 1
	rec := &flow.Record{State: flow.Running, Stages: make([]flow.StageRecord, 1)}
	if done {
		rec.Stages[0].Done.Set(0)
	}
	s.staticStore[driver.SpecKey("a1")] = flow.Encode(&flow.Spec{ID: "a1", Cell: "cell-0", Steps: []flow.Step{{Count: 1}}})
	s.staticStore[driver.RecordKey("cell-0", "a1")] = flow.Encode(rec)
	n.takeLease(ctx, "cell-0", 0)
	d := n.ownDriver("cell-0")
	Expect(d).NotTo(BeNil())
	DeferCleanup(func() { n.dropDriver("cell-0", d) })
	Eventually(d.Loaded).Should(BeTrue())
	return n, d
}

// answeringPeer records the jobs that greetings report as succeeded. It answers greetings only
// while answers is true.
type answeringPeer struct {
	reported chan []string
	answers  *atomic.Bool
}

func (a answeringPeer) Handle(_ context.Context, req *wire.Request) *wire.Reply {
	if ids := req.GetGreeting().GetSucceeded(); len(ids) > 0 {
		select {
		case a.reported <- ids:
		default:
		}
	}
	if !a.answers.Load() {
		return &wire.Reply{Error: wire.ToError(errBusy)}
	}
	return &wire.Reply{Body: &wire.Reply_Greeting{Greeting: &wire.Greeting{Instance: "peer", Hall: "h", Boot: "b"}}}
}

var _ = Describe("an owner whose store accepts no writes", func() {
	state := func(d *driver.Driver) func() flow.State {
		return func() flow.State {
			s, _ := d.State("a1")
			return s
		}
	}

	It("shows that a job has succeeded when a peer reports it", func(ctx context.Context) {
		n, d := ownerOnFullStore(ctx, false)
		Expect(state(d)()).To(Equal(flow.Running))
		n.applySuccesses([]string{"a1"}, "peer")
		Expect(state(d)()).To(Equal(flow.Succeeded))
	})

	It("shows that a job has succeeded once a peer has answered the greeting that reports it", func(ctx context.Context) {
		n, d := ownerOnFullStore(ctx, true)
		a := answeringPeer{reported: make(chan []string, 1), answers: new(atomic.Bool)}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := &link.Server{Handler: a}
		go server.Serve(l)
		DeferCleanup(server.Close)
		n.members.applyGreeting(&wire.Greeting{Instance: "peer", Hall: "h", Boot: "b", Addr: l.Addr().String()}, time.Now())
		// The cell lease expires soon; the owner stays active as long as its only peer answers.
		greet := func() {
			n.members.markAnswered("peer", time.Now())
			n.greet(ctx)
		}
		Eventually(func() []string { greet(); return n.unstoredSuccesses(time.Now()) }).Should(Equal([]string{"a1"}))
		Eventually(func() chan []string { greet(); return a.reported }).Should(Receive(Equal([]string{"a1"})))
		Expect(state(d)()).To(Equal(flow.Running), "no peer is known to have received the report")
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
		n.members.applyGreeting(g, time.Now().Add(-ownerActiveTime/2))
		n.takeLease(ctx, "cell-0", 0)
		Expect(n.ownDriver("cell-0")).To(BeNil(), "the store may be unavailable to the owner alone")
		n.members.applyGreeting(g, time.Now().Add(-ownerActiveTime))
		n.takeLease(ctx, "cell-0", 0)
		Expect(n.ownDriver("cell-0")).NotTo(BeNil())
		n.dropDriver("cell-0", n.ownDriver("cell-0"))
	})

	It("does not name instances as absent that it has heard lately, though they answer rarely", func() {
		n := testInstance(&fakePolicy{})
		now := time.Now()
		for _, name := range []string{"a", "b", "c"} {
			n.members.applyGreeting(&wire.Greeting{Instance: name, Hall: "h", Boot: name, Addr: name}, now.Add(-absentAfter/2))
		}
		n.members.markAnswered("a", now)
		n.members.markAnswered("b", now)
		Expect(n.members.absent(now)).To(BeEmpty())
		Expect(n.members.absent(now.Add(absentAfter - 1))).To(Equal([]string{"c"}))
		n.members.applyGreeting(&wire.Greeting{Instance: "long gone", Hall: "h", Boot: "g", Addr: "g"}, now.Add(-memberWindow))
		Expect(n.members.absent(now.Add(absentAfter-1))).To(Equal([]string{"c"}), "its answer is not needed anyway")
	})
})
