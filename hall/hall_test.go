// SPDX-License-Identifier: Apache-2.0

package hall_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"dewpass.org/hall"
	"dewpass.org/internal/standin"
	"dewpass.org/kind"
	"dewpass.org/lease"
	"dewpass.org/ports"
	"dewpass.org/wire"
)

func TestHall(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(30 * time.Second)
	RunSpecs(t, "hall")
}

func numbered(prefix string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("%s%d", prefix, i)
	}
	return out
}

var _ = Describe("the assignment of racks", func() {
	It("is even and complete, and moves few racks for a new member", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			racks := numbered("r", rapid.IntRange(0, 60).Draw(t, "racks"))
			members := numbered("m", rapid.IntRange(1, 10).Draw(t, "members"))
			before := hall.Assign(racks, members, nil)
			load := map[string]int{}
			for _, r := range racks {
				load[before[r]]++
			}
			most, least := 0, len(racks)
			for _, m := range members {
				most, least = max(most, load[m]), min(least, load[m])
			}
			if len(before) != len(racks) || most-least > 1 {
				t.Fatalf("%d of %d racks, loads %v", len(before), len(racks), load)
			}
			after := hall.Assign(racks, append(members, "new"), before)
			moved := 0
			for _, r := range racks {
				if after[r] != before[r] {
					moved++
				}
			}
			if share := len(racks)/(len(members)+1) + 1; moved > share {
				t.Fatalf("%d racks moved for one new member, at most %d are its share", moved, share)
			}
		})
	})
})

var _ = Describe("peers", func() {
	now := time.Now()
	It("return the claim with the higher epoch", func() {
		p := hall.NewPeers("me", "h", nil)
		for i, epoch := range []uint64{4, 6, 5} {
			p.HandleHello(&wire.Hello{
				Instance: fmt.Sprint(i), Hall: "h", PeerAddr: fmt.Sprint("a", i), RacksSeq: 1,
				Racks: []*wire.Rack{{Rack: "r", EpochTable: epoch}},
			}, now)
		}
		Expect(p.Claims("h", now)["r"].Owner).To(Equal("1"))
		Expect(p.Claims("h", now.Add(time.Minute))).To(BeEmpty(), "claims of silent peers do not count")
	})

	It("of another hall are retried after all of them fell silent", func() {
		p := hall.NewPeers("me", "h", nil)
		for _, name := range []string{"x1", "x2"} {
			p.HandleHello(&wire.Hello{Instance: name, Hall: "x", PeerAddr: "addr-" + name}, now)
		}
		Expect(p.HelloTargets(now)).To(HaveLen(1), "one peer of another hall is enough")
		later := now.Add(time.Hour)
		Expect(p.HelloTargets(later)).To(ConsistOf("addr-x1", "addr-x2"))
		Expect(p.HelloTargets(later.Add(time.Second))).To(BeEmpty(), "not before the retry interval is over")
	})

	It("count the instances of halls of which they greet only one", func() {
		p := hall.NewPeers("me", "h", nil)
		p.HandleHello(&wire.Hello{Instance: "a", Hall: "h", Members: 2}, now)
		p.HandleHello(&wire.Hello{Instance: "x1", Hall: "x", Members: 7}, now)
		p.HandleHello(&wire.Hello{Instance: "x2", Hall: "x", Members: 6}, now)
		Expect(p.Instances(now)).To(Equal(1 + 1 + 7))
		Expect(p.Instances(now.Add(time.Hour))).To(Equal(1))
	})

	It("keep the racks of a hello that leaves them out", func() {
		p := hall.NewPeers("me", "h", nil)
		p.HandleHello(&wire.Hello{Instance: "a", Hall: "h", RacksSeq: 1, Racks: []*wire.Rack{{Rack: "r"}}}, now)
		p.HandleHello(&wire.Hello{Instance: "a", Hall: "h", RacksSeq: 1, RacksOmitted: true}, now)
		Expect(p.Claims("h", now)).To(HaveKey("r"))
		p.HandleHello(&wire.Hello{Instance: "a", Hall: "h", RacksSeq: 2}, now)
		Expect(p.Claims("h", now)).To(BeEmpty())
	})
})

// fakeRacks stands in for the owner of racks.
type fakeRacks struct {
	mu    sync.Mutex
	owned map[string]lease.Epoch
	// adopted counts every call of Adopt, also for racks that were handed over later.
	adopted int
	// busy makes Close fail; opened counts the calls of Open.
	busy   bool
	opened int
}

func (r *fakeRacks) adoptions() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.adopted
}

func (r *fakeRacks) Adopt(name string, e lease.Epoch, _ uint64, _ []ports.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.owned[name] = e
	r.adopted++
}

func (r *fakeRacks) Close(context.Context, string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.busy
}

func (r *fakeRacks) Open(string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opened++
}

func (r *fakeRacks) setBusy(busy bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.busy = busy
}

func (r *fakeRacks) openings() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opened
}

func (r *fakeRacks) Drop(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.owned, name)
}

func (r *fakeRacks) Owned() map[string]lease.Epoch {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]lease.Epoch)
	for k, v := range r.owned {
		out[k] = v
	}
	return out
}

func (r *fakeRacks) SetWorkers([]ports.Instance) {}

// fixedInstances is a list of instances that never changes.
type fixedInstances []ports.Instance

func (l fixedInstances) List(context.Context, string, string) (ports.Listing, error) {
	return ports.Listing{Version: "1", Instances: l}, nil
}

// unreachableSender fails every request.
type unreachableSender struct{}

func (unreachableSender) Do(context.Context, string, *wire.Request) (*wire.Reply, error) {
	return nil, kind.New(kind.Unavailable, "test")
}

var _ = Describe("a coordinator", func() {
	var table *standin.Local
	workers := fixedInstances{
		{ID: "w1", Role: ports.RoleWorker, Hall: "h", Rack: "r1"},
		{ID: "w2", Role: ports.RoleWorker, Hall: "h", Rack: "r2"},
	}
	start := func(instance string, peers *hall.Peers) (*hall.Coordinator, *fakeRacks, context.CancelFunc) {
		r := &fakeRacks{owned: make(map[string]lease.Epoch)}
		k := &hall.Coordinator{
			Instance: instance, Boot: "b", Hall: "h", Table: table, List: workers,
			Peers: peers, Racks: r, Send: unreachableSender{}, Log: log.NewNopLogger(),
		}
		k.Init()
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go k.Run(ctx)
		return k, r, cancel
	}
	owner := func(rack string) hall.RackRow {
		row, err := hall.DecodeRack(table.Table.Get(hall.RackKey("h", rack))[0].Value)
		Expect(err).NotTo(HaveOccurred())
		return row
	}
	BeforeEach(func() { table = standin.NewLocal() })

	It("takes racks without an owner, and those of a stopped instance after its lease", func() {
		_, first, stop := start("one", hall.NewPeers("one", "h", nil))
		Eventually(first.Owned).Should(HaveLen(2))
		stop()
		_, second, _ := start("two", hall.NewPeers("two", "h", nil))
		Consistently(second.Owned, hall.MemberLease/2).Should(BeEmpty(), "the lease is not over yet")
		Eventually(second.Owned, 3*hall.MemberLease).Should(HaveLen(2))
		Expect(owner("r1").Epoch).To(BeEquivalentTo(2))
	})

	It("never takes a rack from an owner that sends heartbeats to the table", func() {
		_, first, _ := start("one", hall.NewPeers("one", "h", nil))
		Eventually(first.Owned).Should(HaveLen(2))
		_, second, _ := start("two", hall.NewPeers("two", "h", nil))
		Consistently(second.Owned, hall.MemberLease+hall.MemberLease/2).Should(BeEmpty())
		Expect(owner("r1").Owner).To(Equal("one@b"))
	})

	It("takes a rack without waiting from an instance that has left", func(ctx context.Context) {
		k, first, stop := start("one", hall.NewPeers("one", "h", nil))
		Eventually(first.Owned).Should(HaveLen(2))
		stop()
		k.Leave(ctx)
		_, second, _ := start("two", hall.NewPeers("two", "h", nil))
		Eventually(second.Owned, hall.MemberLease/2).Should(HaveLen(2))
	})

	It("drops a rack that belongs to another instance by the table", func() {
		k, first, _ := start("one", hall.NewPeers("one", "h", nil))
		Eventually(first.Owned).Should(HaveLen(2))
		key := hall.RackKey("h", "r1")
		table.Table.Commit(ports.Txn{Puts: []ports.Put{
			{Key: key, Value: []byte(`{"owner":"x@y","epoch":9}`)},
			{Key: "member/h/x@y", Value: []byte(`{}`)},
		}})
		k.RequestAudit()
		Eventually(first.Owned).Should(HaveLen(1))
	})

	It("takes a rack that was handed to it even if it is assigned to another instance by now", func() {
		peers := hall.NewPeers("two", "h", nil)
		start("one", hall.NewPeers("one", "h", nil))
		key := hall.RackKey("h", "r1")
		Eventually(func() string { return owner("r1").Owner }).Should(Equal("one@b"))
		stop := make(chan struct{})
		defer close(stop)
		go func() {
			// "one" sends hellos and claims nothing, so that racks may be assigned to either.
			for {
				peers.HandleHello(&wire.Hello{Instance: "one", Hall: "h", Boot: "b", PeerAddr: "x"}, time.Now())
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
			}
		}()
		table.Table.Commit(ports.Txn{Puts: []ports.Put{
			{Key: key, Value: []byte(`{"owner":"two@b","epoch":9}`)},
			{Key: hall.RackKey("h", "r2"), Value: []byte(`{"owner":"two@b","epoch":9}`)},
		}})
		_, second, _ := start("two", peers)
		Eventually(second.adoptions).Should(Equal(2), "both, though one of them is then handed over")
	})

	It("hands no rack over to level the load before the work placed on it is sent", func() {
		peers := hall.NewPeers("one", "h", nil)
		_, first, _ := start("one", peers)
		Eventually(first.Owned).Should(HaveLen(2))
		first.setBusy(true)
		stop := make(chan struct{})
		defer close(stop)
		go func() {
			for {
				peers.HandleHello(&wire.Hello{Instance: "two", Hall: "h", Boot: "b", PeerAddr: "x"}, time.Now())
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
			}
		}()
		Eventually(first.openings).Should(BeNumerically(">", 0), "the rack that could not be closed is opened again")
		Expect(first.Owned()).To(HaveLen(2))
		Consistently(first.openings, 3*time.Second).Should(Equal(1), "no other attempt before closeRetryDelay")
		first.setBusy(false)
		Eventually(first.Owned).Should(HaveLen(1))
	})

	// Guards against a rack that refuses batch jobs for good with "the rack was taken without
	// the table", although the table is back (seen for 13 s). An owner is paused; the table
	// does not answer its neighbour for 3 s, which takes the rack under epoch 1.1; the owner
	// resumes, hears of the higher epoch and drops the rack. The row still named the owner,
	// which was live, so the neighbour never wrote its own name. In the logs: "rack taken
	// without the table", "rack lost", and no "rack taken" after it.
	It("records in the table a rack that it took without it, also while the former owner lives", func() {
		peers := hall.NewPeers("two", "h", nil)
		_, first, stopFirst := start("one", hall.NewPeers("one", "h", nil))
		Eventually(first.Owned).Should(HaveLen(2))
		stopFirst()
		sendHello := func(seq uint64, racks ...*wire.Rack) {
			peers.HandleHello(&wire.Hello{Instance: "one", Hall: "h", Boot: "b", PeerAddr: "x", RacksSeq: seq, Racks: racks}, time.Now())
		}
		sendHello(1, &wire.Rack{Rack: "r1", EpochTable: 1}, &wire.Rack{Rack: "r2", EpochTable: 1})
		fail := func() error { return kind.New(kind.Unavailable, "test") }
		table.Set(func(l *standin.Local) {
			l.BeforeCommit = func(ports.Txn) error { return fail() }
			l.BeforeRead = fail
		})
		_, second, _ := start("two", peers)
		Eventually(second.Owned, 4*hall.MemberLease).Should(HaveLen(2))

		stop := make(chan struct{})
		DeferCleanup(func() { close(stop) })
		go func() {
			// The former owner is back, sends heartbeats and claims no rack.
			for beat := 0; ; beat++ {
				sendHello(2)
				table.Table.Commit(ports.Txn{Puts: []ports.Put{{Key: "member/h/one@b", Value: []byte(fmt.Sprintf(`{"beat":%d}`, beat))}}})
				select {
				case <-stop:
					return
				case <-time.After(200 * time.Millisecond):
				}
			}
		}()
		table.Set(func(l *standin.Local) { l.BeforeCommit, l.BeforeRead = nil, nil })
		Eventually(func() string { return owner("r1").Owner }, 4*hall.MemberLease).Should(Equal("two@b"))
		Eventually(second.Owned).Should(HaveKeyWithValue("r1", lease.Epoch{Table: 2}))
	})

	It("keeps its racks without the table, and takes over that of a silent peer", func() {
		peers := hall.NewPeers("one", "h", nil)
		other := &wire.Hello{
			Instance: "two", Hall: "h", Boot: "b", PeerAddr: "x", RacksSeq: 1,
			Racks: []*wire.Rack{{Rack: "r1", EpochTable: 5}},
		}
		peers.HandleHello(other, time.Now())
		_, first, _ := start("one", peers)
		Eventually(first.Owned).Should(HaveKey("r2"))
		fail := func() error { return kind.New(kind.Unavailable, "test") }
		table.Set(func(l *standin.Local) {
			l.BeforeCommit = func(ports.Txn) error { return fail() }
			l.BeforeRead = fail
		})
		Eventually(first.Owned, 4*hall.MemberLease).Should(HaveKeyWithValue("r1", lease.Epoch{Table: 5, Local: 1}))
		Expect(first.Owned()).To(HaveKey("r2"))
	})
})
