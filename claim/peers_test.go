// SPDX-License-Identifier: Apache-2.0

package claim

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("an owner whose lease has expired", func() {
	const greetInterval = 250 * time.Millisecond
	begun := time.Unix(1000, 0)
	last := Write{Begun: begun, Ver: 7, Valid: MinValidity}
	var peers Peers
	now := begun

	answer := func(name, boot string, contested ...string) {
		peers.Answered(Answer{Instance: name, Hall: name[:1], Boot: boot, Sent: now, StatesContests: true, Contested: contested}, now)
	}
	// pass has so much time pass, in which instances answer all greetings.
	pass := func(d time.Duration, answering ...string) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(greetInterval)
			for _, name := range answering {
				answer(name, "first")
			}
		}
	}
	objection := func() Objection { return peers.Objection("c", last, now) }

	BeforeEach(func() {
		peers, now = Peers{Hall: "n"}, begun
		pass(0)
		for _, name := range []string{"n2", "s1", "s2"} {
			answer(name, "first")
		}
	})

	It("goes on while all others answer", func() {
		pass(time.Minute, "n2", "s1", "s2")
		Expect(objection()).To(BeZero())
	})

	It("stops for good when the other hall falls silent, however long that is ago", func() {
		for range 10 {
			pass(30*time.Second, "n2")
			Expect(objection().Reason).To(Equal(Silent))
		}
	})

	It("stops if nobody else is known", func() {
		peers = Peers{}
		Expect(objection().Reason).To(Equal(NoPeers))
	})

	It("does not go on when all answer again and one of them contests the cell", func() {
		pass(5*time.Second, "n2")
		pass(greetInterval, "n2", "s2")
		answer("s1", "first", "c")
		Expect(objection()).To(Equal(Objection{Peer: "s1", Reason: Contested}))
		pass(AnswerMaxAge+1, "n2", "s2")
		Expect(objection().Reason).To(Equal(Contested), "it has not taken that back")
		answer("s1", "first")
		Expect(objection()).To(BeZero(), "its takeover has failed")
	})

	It("goes on when all answer again whose processes have been there all the time", func() {
		pass(5*time.Second, "n2")
		pass(greetInterval, "n2", "s1", "s2")
		Expect(objection()).To(BeZero())
	})

	It("does not go on when processes answer that may have followed ones that took the cell", func() {
		pass(5*time.Second, "n2")
		now = now.Add(greetInterval)
		for _, name := range []string{"n2", "s1", "s2"} {
			answer(name, "second")
		}
		Expect(objection().Reason).To(Equal(Unaccounted))
		last = Write{Begun: now, Ver: 8, Valid: MinValidity}
		DeferCleanup(func() { last = Write{Begun: begun, Ver: 7, Valid: MinValidity} })
		Expect(objection()).To(BeZero(), "the owner has written the lease since")
	})

	It("goes on without one that is silent while another of its hall has answered all the time", func() {
		pass(40*time.Second, "n2", "s2")
		Expect(objection()).To(BeZero())
		pass(40*time.Second, "s2")
		Expect(objection().Reason).To(Equal(MostSilent))
	})

	It("goes on after most instances were replaced by others", func() {
		for _, name := range []string{"n2", "s1", "s2"} {
			peers.Leaving(name)
		}
		for _, name := range []string{"n3", "s3", "s4"} {
			answer(name, "first")
		}
		pass(10*time.Second, "n3", "s3", "s4")
		Expect(peers.Absent(now, time.Second)).To(Equal([]string{"n2", "s1", "s2"}))
		Expect(objection()).To(BeZero())
		for _, name := range []string{"n2", "s1", "s2"} {
			peers.Heard(name, name[:1], "second", now.Add(-2*time.Second))
		}
		Expect(peers.Absent(now, time.Second)).To(BeEmpty(), "they are back, and silent")
		Expect(objection().Reason).NotTo(BeEmpty())
	})

	It("goes on without one of its own hall while others have answered all the time", func() {
		pass(40*time.Second, "s1", "s2")
		Expect(objection()).To(BeZero())
	})

	It("does not go on without one that the other of its hall may not have been there to answer", func() {
		pass(5*time.Second, "n2", "s2")
		pass(5*time.Second, "n2")
		pass(greetInterval, "n2", "s2")
		Expect(objection()).To(Equal(Objection{Peer: "s1", Reason: Silent}))
	})

	It("does not go on without one of an earlier build, which would not ask the others of its hall", func() {
		peers.Answered(Answer{Instance: "s1", Hall: "s", Boot: "old", Sent: now}, now)
		pass(5*time.Second, "n2", "s2")
		Expect(objection()).To(Equal(Objection{Peer: "s1", Reason: Silent}))
	})

	It("goes on while one of an earlier build answers, until it was silent once", func() {
		old := func() { peers.Answered(Answer{Instance: "s1", Hall: "s", Boot: "old", Sent: now}, now) }
		old()
		for range 20 {
			pass(greetInterval, "n2", "s2")
			old()
		}
		Expect(objection()).To(BeZero())
		pass(2*AnswerMaxAge, "n2", "s2")
		old()
		Expect(objection()).To(Equal(Objection{Peer: "s1", Reason: Unaccounted}))
	})

	It("does not go on without a hall that it has never heard, but that the store lists", func() {
		peers.Listed("w1", "w", now)
		pass(5*time.Second, "n2", "s1", "s2")
		Expect(objection()).To(Equal(Objection{Peer: "w1", Reason: Silent}))
	})

	It("goes on without instances that were gone for long when it last wrote the lease", func() {
		peers.Heard("w1", "w", "first", now.Add(-PeerRetention-1))
		pass(5*time.Second, "n2", "s1", "s2")
		Expect(objection()).To(BeZero())
	})
})

var _ = Describe("an instance", func() {
	It("contests a cell while its takeover may take effect, or after a newer epoch, but not against a later write", func() {
		var c Contests
		Expect(c.Contested("c", 1, 7)).To(BeFalse())
		c.Attempt("c", 7)
		Expect(c.Contested("c", 1, 7)).To(BeTrue())
		Expect(c.Contested("c", 1, 8)).To(BeFalse(), "the owner has written a version since")
		Expect(c.Contested("other", 1, 7)).To(BeFalse())
		c.Settled("c")
		Expect(c.Contested("c", 1, 7)).To(BeFalse())
		c.Possible("c", 7)
		c.Possible("c", 5)
		c.Attempt("c", 7)
		c.Settled("c")
		Expect(c.Contested("c", 1, 7)).To(BeTrue(), "another's may follow at any time")
		Expect(c.Contested("c", 1, 8)).To(BeFalse())
		c.Learned("c", 2)
		Expect(c.Contested("c", 1, 9)).To(BeTrue())
		Expect(c.Contested("c", 2, 9)).To(BeFalse())
	})
})
