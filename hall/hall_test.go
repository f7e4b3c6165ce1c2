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

func named(prefix string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("%s%d", prefix, i)
	}
	return out
}

var _ = Describe("the assignment of racks", func() {
	It("is even, complete, and moves few racks", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			racks := named("r", rapid.IntRange(0, 60).Draw(t, "racks"))
			members := named("m", rapid.IntRange(1, 10).Draw(t, "members"))
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
	It("believe the higher of two claims", func() {
		p := hall.NewPeers("me", "h", nil)
		for i, epoch := range []uint64{4, 6, 5} {
			p.Heard(&wire.Hello{
				Instance: fmt.Sprint(i), Hall: "h", PeerAddr: fmt.Sprint("a", i), RacksSeq: 1,
				Racks: []*wire.Rack{{Rack: "r", EpochTable: epoch}},
			}, now)
		}
		Expect(p.Claims("h", now)["r"].Owner).To(Equal("1"))
		Expect(p.Claims("h", now.Add(time.Minute))).To(BeEmpty(), "the silent claim nothing")
	})

	It("of another hall are tried again after all of them fell silent", func() {
		p := hall.NewPeers("me", "h", nil)
		for _, name := range []string{"x1", "x2"} {
			p.Heard(&wire.Hello{Instance: name, Hall: "x", PeerAddr: "addr-" + name}, now)
		}
		Expect(p.Greet(now)).To(HaveLen(1), "one of a hall is enough")
		later := now.Add(time.Hour)
		Expect(p.Greet(later)).To(ConsistOf("addr-x1", "addr-x2"))
		Expect(p.Greet(later.Add(time.Second))).To(BeEmpty(), "not all the time")
	})

	It("count the instances of halls of which they greet only one", func() {
		p := hall.NewPeers("me", "h", nil)
		p.Heard(&wire.Hello{Instance: "a", Hall: "h", Members: 2}, now)
		p.Heard(&wire.Hello{Instance: "x1", Hall: "x", Members: 7}, now)
		p.Heard(&wire.Hello{Instance: "x2", Hall: "x", Members: 6}, now)
		Expect(p.Instances(now)).To(Equal(1 + 1 + 7))
		Expect(p.Instances(now.Add(time.Hour))).To(Equal(1))
	})

	It("keep the racks of a hello that leaves them out", func() {
		p := hall.NewPeers("me", "h", nil)
		p.Heard(&wire.Hello{Instance: "a", Hall: "h", RacksSeq: 1, Racks: []*wire.Rack{{Rack: "r"}}}, now)
		p.Heard(&wire.Hello{Instance: "a", Hall: "h", RacksSeq: 1, RacksOmitted: true}, now)
		Expect(p.Claims("h", now)).To(HaveKey("r"))
		p.Heard(&wire.Hello{Instance: "a", Hall: "h", RacksSeq: 2}, now)
		Expect(p.Claims("h", now)).To(BeEmpty())
	})
})

// racks is what a keeper is given in place of an owner.
type racks struct {
	mu    sync.Mutex
	owned map[string]lease.Epoch
	// adopted counts every adoption, also of racks that were handed on.
	adopted int
	// busy keeps racks from closing; opened counts those that were kept.
	busy   bool
	opened int
}

func (r *racks) adoptions() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.adopted
}

func (r *racks) Adopt(name string, e lease.Epoch, _ uint64, _ []ports.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.owned[name] = e
	r.adopted++
}

func (r *racks) Close(context.Context, string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.busy
}

func (r *racks) Open(string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opened++
}

func (r *racks) set(busy bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.busy = busy
}

func (r *racks) openings() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opened
}

func (r *racks) Drop(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.owned, name)
}

func (r *racks) Owned() map[string]lease.Epoch {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]lease.Epoch)
	for k, v := range r.owned {
		out[k] = v
	}
	return out
}

func (r *racks) Workers([]ports.Instance) {}

// list is a list of instances that never changes.
type list []ports.Instance

func (l list) List(context.Context, string, string) (ports.Listing, error) {
	return ports.Listing{Version: "1", Instances: l}, nil
}

// silentSender reaches nobody.
type silentSender struct{}

func (silentSender) Do(context.Context, string, *wire.Request) (*wire.Reply, error) {
	return nil, kind.New(kind.Unavailable, "test")
}

var _ = Describe("a keeper", func() {
	var table *standin.Local
	workers := list{
		{ID: "w1", Role: ports.RoleWorker, Hall: "h", Rack: "r1"},
		{ID: "w2", Role: ports.RoleWorker, Hall: "h", Rack: "r2"},
	}
	start := func(instance string, peers *hall.Peers) (*hall.Keeper, *racks, context.CancelFunc) {
		r := &racks{owned: make(map[string]lease.Epoch)}
		k := &hall.Keeper{
			Instance: instance, Boot: "b", Hall: "h", Table: table, List: workers,
			Peers: peers, Racks: r, Send: silentSender{}, Log: log.NewNopLogger(),
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

	It("takes racks that nobody owns, and those of an instance that is gone", func() {
		_, first, stop := start("one", hall.NewPeers("one", "h", nil))
		Eventually(first.Owned).Should(HaveLen(2))
		stop()
		_, second, _ := start("two", hall.NewPeers("two", "h", nil))
		Consistently(second.Owned, hall.MemberLease/2).Should(BeEmpty(), "not before the lease is over")
		Eventually(second.Owned, 3*hall.MemberLease).Should(HaveLen(2))
		Expect(owner("r1").Epoch).To(BeEquivalentTo(2))
	})

	It("never takes a rack from an owner that shows itself in the table", func() {
		_, first, _ := start("one", hall.NewPeers("one", "h", nil))
		Eventually(first.Owned).Should(HaveLen(2))
		_, second, _ := start("two", hall.NewPeers("two", "h", nil))
		Consistently(second.Owned, hall.MemberLease+hall.MemberLease/2).Should(BeEmpty())
		Expect(owner("r1").Owner).To(Equal("one@b"))
	})

	It("takes a rack at once from an instance that took its leave", func(ctx context.Context) {
		k, first, stop := start("one", hall.NewPeers("one", "h", nil))
		Eventually(first.Owned).Should(HaveLen(2))
		stop()
		k.Leave(ctx)
		_, second, _ := start("two", hall.NewPeers("two", "h", nil))
		Eventually(second.Owned, hall.MemberLease/2).Should(HaveLen(2))
	})

	It("drops a rack that the table says is another's", func() {
		k, first, _ := start("one", hall.NewPeers("one", "h", nil))
		Eventually(first.Owned).Should(HaveLen(2))
		key := hall.RackKey("h", "r1")
		table.Table.Commit(ports.Txn{Puts: []ports.Put{
			{Key: key, Value: []byte(`{"owner":"x@y","epoch":9}`)},
			{Key: "member/h/x@y", Value: []byte(`{}`)},
		}})
		k.Nudge()
		Eventually(first.Owned).Should(HaveLen(1))
	})

	It("takes what was handed to it though another should own it by now", func() {
		peers := hall.NewPeers("two", "h", nil)
		start("one", hall.NewPeers("one", "h", nil))
		key := hall.RackKey("h", "r1")
		Eventually(func() string { return owner("r1").Owner }).Should(Equal("one@b"))
		stop := make(chan struct{})
		defer close(stop)
		go func() {
			// One says hello and claims nothing, so that either may be assigned.
			for {
				peers.Heard(&wire.Hello{Instance: "one", Hall: "h", Boot: "b", PeerAddr: "x"}, time.Now())
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
		Eventually(second.adoptions).Should(Equal(2), "one of them is handed on again")
	})

	It("hands no rack over to level the load before what was placed on it is sent", func() {
		peers := hall.NewPeers("one", "h", nil)
		_, first, _ := start("one", peers)
		Eventually(first.Owned).Should(HaveLen(2))
		first.set(true)
		stop := make(chan struct{})
		defer close(stop)
		go func() {
			for {
				peers.Heard(&wire.Hello{Instance: "two", Hall: "h", Boot: "b", PeerAddr: "x"}, time.Now())
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
			}
		}()
		Eventually(first.openings).Should(BeNumerically(">", 0), "it is opened again")
		Expect(first.Owned()).To(HaveLen(2))
		Consistently(first.openings, 3*time.Second).Should(Equal(1), "and left alone for some time")
		first.set(false)
		Eventually(first.Owned).Should(HaveLen(1))
	})

	// A batch was refused with "the rack was taken without the table" 13 s after the table
	// was back, and would have been for good. Sequence: an owner is paused; the table gives
	// no answer to its neighbour for 3 s, which takes the rack under epoch 1.1; the owner
	// wakes, hears of the higher epoch and drops the rack. Cause: the row still named the
	// owner, which lived, so that the neighbour never wrote its own name there. Logs:
	// "rack taken without the table", "rack lost", no "rack taken" after it.
	It("writes down a rack that it took without the table also while the former owner lives", func() {
		peers := hall.NewPeers("two", "h", nil)
		_, first, stopFirst := start("one", hall.NewPeers("one", "h", nil))
		Eventually(first.Owned).Should(HaveLen(2))
		stopFirst()
		says := func(seq uint64, racks ...*wire.Rack) {
			peers.Heard(&wire.Hello{Instance: "one", Hall: "h", Boot: "b", PeerAddr: "x", RacksSeq: seq, Racks: racks}, time.Now())
		}
		says(1, &wire.Rack{Rack: "r1", EpochTable: 1}, &wire.Rack{Rack: "r2", EpochTable: 1})
		fail := func() error { return kind.New(kind.Unavailable, "test") }
		table.Set(func(l *standin.Local) {
			l.Before = func(ports.Txn) error { return fail() }
			l.Reading = fail
		})
		_, second, _ := start("two", peers)
		Eventually(second.Owned, 4*hall.MemberLease).Should(HaveLen(2))

		stop := make(chan struct{})
		DeferCleanup(func() { close(stop) })
		go func() {
			// The owner is back, shows itself and says that it owns nothing.
			for beat := 0; ; beat++ {
				says(2)
				table.Table.Commit(ports.Txn{Puts: []ports.Put{{Key: "member/h/one@b", Value: []byte(fmt.Sprintf(`{"beat":%d}`, beat))}}})
				select {
				case <-stop:
					return
				case <-time.After(200 * time.Millisecond):
				}
			}
		}()
		table.Set(func(l *standin.Local) { l.Before, l.Reading = nil, nil })
		Eventually(func() string { return owner("r1").Owner }, 4*hall.MemberLease).Should(Equal("two@b"))
		Eventually(second.Owned).Should(HaveKeyWithValue("r1", lease.Epoch{Table: 2}))
	})

	It("goes on without the table, and takes a silent peer's rack by itself", func() {
		peers := hall.NewPeers("one", "h", nil)
		other := &wire.Hello{
			Instance: "two", Hall: "h", Boot: "b", PeerAddr: "x", RacksSeq: 1,
			Racks: []*wire.Rack{{Rack: "r1", EpochTable: 5}},
		}
		peers.Heard(other, time.Now())
		_, first, _ := start("one", peers)
		Eventually(first.Owned).Should(HaveKey("r2"))
		fail := func() error { return kind.New(kind.Unavailable, "test") }
		table.Set(func(l *standin.Local) {
			l.Before = func(ports.Txn) error { return fail() }
			l.Reading = fail
		})
		Eventually(first.Owned, 4*hall.MemberLease).Should(HaveKeyWithValue("r1", lease.Epoch{Table: 5, Local: 1}))
		Expect(first.Owned()).To(HaveKey("r2"))
	})
})
