// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"bytes"
	"context"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/claim"
	"dewpass.org/driver"
	"dewpass.org/flow"
	"dewpass.org/wire"
)

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
			n.members.markAnswered(&wire.Greeting{Instance: name, Hall: "h", Boot: name, StatesContests: true}, now, now)
		}
		return n, now
	}

	It("is named in the cell lease as absent, and need not answer for a while", func() {
		n, now := instanceAfterLoss()
		Expect(n.members.absent(now)).To(Equal([]string{"gone"}))
		last := claim.Write{Begun: now.Add(-claim.AbsentTakeoverDelay / 2)}
		Expect(n.members.objection("c", last, now)).To(Equal(claim.Objection{Peer: "gone", Reason: claim.Silent}))
		last.Absent = []string{"gone"}
		Expect(n.members.objection("c", last, now)).To(BeZero())
		last.Begun = now.Add(-claim.AbsentTakeoverDelay)
		Expect(n.members.objection("c", last, now)).NotTo(BeZero(), "the absent instance may take the cell from now on")
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

// Guards against showing an end that only instances and a worker know: once all of them were lost, the
// next owner ran the job again.
var _ = Describe("an owner whose store accepts no writes", func() {
	It("shows a job whose tasks are done as running, whoever answers it, until the store has the end", func(ctx context.Context) {
		n, s := instanceOnOwnedStore()
		s.fullAfter = 1
		rec := &flow.Record{State: flow.Running, Stages: make([]flow.StageRecord, 1)}
		rec.Stages[0].Done.Set(0)
		s.staticStore[driver.SpecKey("a1")] = flow.Encode(&flow.Spec{ID: "a1", Cell: "cell-0", Steps: []flow.Step{{Count: 1}}})
		s.staticStore[driver.RecordKey("cell-0", "a1")] = flow.Encode(rec)
		n.takeLease(ctx, "cell-0", 0)
		d := n.ownDriver("cell-0")
		Expect(d).NotTo(BeNil())
		DeferCleanup(func() { n.dropDriver("cell-0", d) })
		Eventually(d.Loaded).Should(BeTrue())
		states := func() []flow.State {
			// The cell lease expires soon; the owner stays active as long as its only peer answers.
			peer := &wire.Greeting{Instance: "peer", Hall: "h", Boot: "p", Addr: "127.0.0.1:1", StatesContests: true}
			n.members.applyGreeting(peer, time.Now())
			n.members.markAnswered(peer, time.Now(), time.Now())
			own, err := n.State(ctx, "a1")
			Expect(err).NotTo(HaveOccurred())
			asked := n.Handle(ctx, &wire.Request{Body: &wire.Request_AskJob{AskJob: &wire.JobAsk{Cell: "cell-0", Id: "a1"}}})
			Expect(asked.GetError()).To(BeNil())
			return []flow.State{own, flow.State(asked.GetJobState().GetState())}
		}
		Consistently(states, time.Second, 50*time.Millisecond).Should(HaveEach(flow.Running))
		atomic.StoreInt32(&s.txCount, -1<<20)
		Eventually(states).Should(HaveEach(flow.Succeeded))
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
		n.members.applyGreeting(g, time.Now().Add(-claim.OwnerActiveTime/2))
		n.takeLease(ctx, "cell-0", 0)
		Expect(n.ownDriver("cell-0")).To(BeNil(), "the store may be unavailable to the owner alone")
		n.members.applyGreeting(g, time.Now().Add(-claim.OwnerActiveTime))
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
		for _, name := range []string{"a", "b"} {
			n.members.markAnswered(&wire.Greeting{Instance: name, Hall: "h", Boot: name, StatesContests: true}, now, now)
		}
		Expect(n.members.absent(now)).To(BeEmpty())
		Expect(n.members.absent(now.Add(absentAfter - 1))).To(Equal([]string{"c"}))
		n.members.applyGreeting(&wire.Greeting{Instance: "long gone", Hall: "h", Boot: "g", Addr: "g"}, now.Add(-claim.PeerRetention))
		Expect(n.members.absent(now.Add(absentAfter-1))).To(Equal([]string{"c"}), "its answer is not needed anyway")
		last := claim.Write{Begun: now.Add(1), Valid: claim.MinValidity, Absent: []string{"c"}}
		Expect(n.members.objection("c", last, now.Add(claim.AnswerMaxAge))).To(BeZero(), "nor does it stop this instance")
	})
})

// Guards against a line in the log for each question while several instances are silent.
var _ = Describe("an owner that may not go on without its lease", func() {
	It("logs that once, whichever instance prevents it, and when it may go on", func() {
		n := testInstance(&fakePolicy{})
		var lines bytes.Buffer
		n.kit.Log = log.NewLogfmtLogger(&lines)
		n.cells["c"] = &ownCell{}
		for range 5 {
			n.logObjection("c", 1, time.Second, claim.Objection{Peer: "a", Reason: claim.Silent})
			n.logObjection("c", 1, time.Second, claim.Objection{Peer: "b", Reason: claim.Contested})
		}
		for range 5 {
			n.logObjection("c", 1, time.Second, claim.Objection{})
		}
		Expect(strings.Count(lines.String(), "event=orders_stopped")).To(Equal(1))
		Expect(strings.Count(lines.String(), "event=orders_without_lease")).To(Equal(1))
	})
})
