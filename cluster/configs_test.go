// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/config"
	"dewpass.org/kind"
	"dewpass.org/link"
	"dewpass.org/wire"
)

// source is a configuration of which each reading, and each wait for a change, is noted.
type source struct {
	mu      sync.Mutex
	version uint64
	raw     []byte
	reads   int
	places  []uint64
	fails   map[uint64]error
}

func (s *source) Get(context.Context) (*config.Config, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	return &config.Config{Version: s.version, Raw: s.raw}, 10 * s.version, nil
}

// Changes is an answer without changes, at the next place.
func (s *source) Changes(_ context.Context, ver uint64, _ time.Duration) (*config.Config, uint64, error) {
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.places = append(s.places, ver)
	if err := s.fails[ver]; err != nil {
		delete(s.fails, ver)
		return nil, ver, err
	}
	return nil, ver + 1, nil
}

func (s *source) seen() (int, []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, append([]uint64(nil), s.places...)
}

// followingInstance returns an instance that follows a source until the spec ends.
func followingInstance(s ConfigSource) *Instance {
	n := testInstance(&policy{})
	n.configs = s
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go n.followConfig(ctx)
	return n
}

// Instances with links of 10 Mbit/s read a configuration of 4,000 queues in whole every
// 0.9 s, and asked every peer that had a newer one besides: 1.2 MB a second, all that the
// link gives, without one transfer that ended.
var _ = Describe("the configuration", func() {
	It("is read in whole once, and then only what changes", func() {
		s := &source{version: 1, raw: make([]byte, 1<<20)}
		n := followingInstance(s)
		Eventually(n.config.Version).Should(BeEquivalentTo(1))
		Eventually(func() int { _, places := s.seen(); return len(places) }, 15*time.Second).Should(BeNumerically(">", 20))
		reads, places := s.seen()
		Expect(reads).To(Equal(1))
		Expect(places[:3]).To(Equal([]uint64{10, 11, 12}))
	})

	It("keeps its place in the feed when a call fails", func() {
		s := &source{version: 1, fails: map[uint64]error{11: kind.New(kind.Lost, "broken off")}}
		followingInstance(s)
		Eventually(func() []uint64 { _, places := s.seen(); return places }, 3*time.Second).Should(ContainElement(uint64(12)))
		reads, places := s.seen()
		Expect(reads).To(Equal(1))
		Expect(places[:4]).To(Equal([]uint64{10, 11, 11, 12}))
	})

	It("is read in whole again once the feed has forgotten its changes", func() {
		s := &source{version: 1, fails: map[uint64]error{11: kind.New(kind.Conflict, "forgotten")}}
		followingInstance(s)
		Eventually(func() int { reads, _ := s.seen(); return reads }, 3*time.Second).Should(Equal(2))
	})

	It("is read in whole again at a rate that does not grow with it", func() {
		Expect(auditAfter(nil)).To(Equal(auditLeast))
		Expect(auditAfter(&config.Config{Raw: make([]byte, 1000)})).To(Equal(auditLeast))
		Expect(auditAfter(&config.Config{Raw: make([]byte, 60*auditRate)})).To(Equal(time.Minute))
	})

	It("is asked of one peer at a time, and of none once the feed has brought it", func(ctx context.Context) {
		var mu sync.Mutex
		asked, most, now := 0, 0, 0
		n := instanceWithOwner(handler(func(req *wire.Request) *wire.Reply {
			mu.Lock()
			asked++
			now++
			most = max(most, now)
			mu.Unlock()
			time.Sleep(100 * time.Millisecond)
			mu.Lock()
			now--
			mu.Unlock()
			doc := (&config.Config{Raw: []byte("doc")}).Packed()
			return &wire.Reply{Body: &wire.Reply_Config{Config: &wire.ConfigDoc{Doc: doc}}}
		}))
		n.ParseConfig = func(raw []byte) (*config.Config, error) {
			Expect(string(raw)).To(Equal("doc"))
			return &config.Config{Version: 7, Raw: raw}, nil
		}
		greeting := &wire.Greeting{Instance: "owner", Hall: "h", Boot: "b", Addr: n.members.owner("cell-0", time.Now()).addr, ConfigVersion: 7}
		for range 10 {
			n.greeted(greeting)
		}
		Eventually(n.config.Version, 5*time.Second).Should(BeEquivalentTo(7))
		mu.Lock()
		Expect(asked).To(Equal(1))
		Expect(most).To(Equal(1))
		mu.Unlock()

		greeting.ConfigVersion = 8
		n.greeted(greeting)
		n.install(&config.Config{Version: 8}, "feed")
		Consistently(func() int {
			mu.Lock()
			defer mu.Unlock()
			return asked
		}, 2*fetchAfter).Should(Equal(1))
	})
})

// handler answers requests of peers.
type handler func(*wire.Request) *wire.Reply

func (h handler) Handle(_ context.Context, req *wire.Request) *wire.Reply { return h(req) }

// stuck is a source whose feed cannot be taken from one place: its answer is too large.
type stuck struct{ source }

func (s *stuck) Changes(_ context.Context, ver uint64, _ time.Duration) (*config.Config, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.places = append(s.places, ver)
	if s.reads > 1 {
		time.Sleep(5 * time.Millisecond)
		return nil, ver + 1, nil
	}
	return nil, ver, kind.New(kind.Damaged, "an answer with four versions is longer than 8 MB")
}

// conflicting is a source whose feed has always forgotten its changes.
type conflicting struct{ source }

func (s *conflicting) Get(context.Context) (*config.Config, uint64, error) {
	time.Sleep(2 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	return &config.Config{Version: 1, Raw: make([]byte, 1<<20)}, 10, nil
}

func (s *conflicting) Changes(_ context.Context, ver uint64, _ time.Duration) (*config.Config, uint64, error) {
	time.Sleep(2 * time.Millisecond)
	return nil, ver, kind.New(kind.Conflict, "forgotten")
}

// eager is a source whose feed does not wait.
type eager struct{ source }

func (s *eager) Get(context.Context) (*config.Config, uint64, error) {
	return &config.Config{Version: 1, Raw: make([]byte, 1<<20)}, 10, nil
}

func (s *eager) Changes(_ context.Context, ver uint64, _ time.Duration) (*config.Config, uint64, error) {
	time.Sleep(2 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.places = append(s.places, ver)
	return nil, ver, nil
}

var _ = Describe("the configuration, while something fails", func() {
	It("is read in whole when the feed fails at one place again and again", func() {
		s := &stuck{source{version: 1, raw: make([]byte, 1<<20)}}
		followingInstance(s)
		Eventually(func() int { reads, _ := s.seen(); return reads }, 5*time.Second).Should(BeNumerically(">", 1))
	})

	It("comes from a second peer within 2 s when the first one asked has paused", func() {
		// The bound of a configuration is 3 s, and the store turns this instance away.
		silent, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(silent.Close)
		good, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := &link.Server{Handler: handler(func(*wire.Request) *wire.Reply {
			return &wire.Reply{Body: &wire.Reply_Config{Config: &wire.ConfigDoc{Doc: (&config.Config{Raw: []byte("doc")}).Packed()}}}
		})}
		go server.Serve(good)
		DeferCleanup(server.Close)
		n := testInstance(&policy{})
		n.ParseConfig = func(raw []byte) (*config.Config, error) { return &config.Config{Version: 7, Raw: raw}, nil }
		n.greeted(&wire.Greeting{Instance: "a", Hall: "h", Boot: "b", Addr: silent.Addr().String(), ConfigVersion: 7})
		Eventually(n.fetching.Load).Should(BeTrue())
		stop := time.Now().Add(2 * time.Second)
		for time.Now().Before(stop) && n.config.Version() < 7 {
			n.greeted(&wire.Greeting{Instance: "b", Hall: "h", Boot: "b", Addr: good.Addr().String(), ConfigVersion: 7})
			time.Sleep(greetEvery)
		}
		Expect(n.config.Version()).To(BeEquivalentTo(7))
	})

	It("does not spin when the feed has forgotten its changes each time", func() {
		s := &conflicting{}
		followingInstance(s)
		time.Sleep(time.Second)
		reads, _ := s.seen()
		Expect(reads).To(BeNumerically("<", 20))
	})

	It("does not spin when the feed answers at once without a change", func() {
		s := &eager{}
		followingInstance(s)
		time.Sleep(time.Second)
		_, places := s.seen()
		Expect(len(places)).To(BeNumerically("<", 100))
	})
})

var _ = Describe("the position in the feed of the configuration", func() {
	now := time.Unix(1000, 0)
	small := &config.Config{Raw: make([]byte, 1000)}
	at := func(position uint64) feedState { return feedState{position: position, heard: now, read: now} }

	It("is kept when a call fails, for a while", func() {
		f := at(5)
		f.took(false, 5, kind.New(kind.Lost, "broken off"), now)
		Expect(f.whole(now.Add(positionKept), auditAfter(small))).To(BeFalse())
		Expect(f.whole(now.Add(positionKept+1), auditAfter(small))).To(BeTrue(), "the feed would bring each version that was missed")
	})

	It("is given up when the store has forgotten its changes", func() {
		f := at(5)
		f.took(false, 5, kind.New(kind.Conflict, "forgotten"), now)
		Expect(f.whole(now, auditAfter(small))).To(BeTrue())
	})

	It("passes a document that cannot be read", func() {
		f := at(5)
		f.took(false, 9, kind.New(kind.Damaged, "no document"), now)
		Expect(f.position).To(BeEquivalentTo(9))
	})

	It("is left now and then for a reading of the whole, also if that fails", func() {
		f := at(5)
		later := now.Add(auditLeast + 1)
		f.took(false, 6, nil, later)
		Expect(f.whole(later, auditAfter(small))).To(BeTrue())
		f.took(true, 0, kind.New(kind.Lost, "broken off"), later)
		Expect(f.whole(later, auditAfter(small))).To(BeFalse())
		Expect(f.position).To(BeEquivalentTo(6))
	})
})

var _ = Describe("a configuration that a peer asks for", func() {
	It("is passed on compressed, if the peer's is older", func(ctx context.Context) {
		n := testInstance(&policy{})
		raw := make([]byte, 100_000)
		n.install(&config.Config{Version: 7, Raw: raw}, "feed")
		ask := func(above uint64) []byte {
			reply, err := n.handle(ctx, &wire.Request{Body: &wire.Request_Config{Config: &wire.ConfigQuery{Above: above}}})
			Expect(err).NotTo(HaveOccurred())
			return reply.GetConfig().GetDoc()
		}
		Expect(len(ask(6))).To(BeNumerically("<", len(raw)/10))
		back, err := config.Unpack(ask(6))
		Expect(err).NotTo(HaveOccurred())
		Expect(back).To(Equal(raw))
		Expect(ask(7)).To(BeEmpty())
	})

	It("is not asked for while the store brings it", func() {
		asked := make(chan struct{}, 10)
		n := instanceWithOwner(handler(func(*wire.Request) *wire.Reply {
			asked <- struct{}{}
			return &wire.Reply{}
		}))
		stop := make(chan struct{})
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
					n.configArrives()
				}
			}
		}()
		greeting := &wire.Greeting{Instance: "owner", Hall: "h", Boot: "b", Addr: n.members.owner("cell-0", time.Now()).addr, ConfigVersion: 7}
		n.greeted(greeting)
		Consistently(asked, 3*fetchAfter).ShouldNot(Receive())
		close(stop)
		time.Sleep(2 * fetchAfter)
		n.greeted(greeting)
		Eventually(asked, 3*time.Second).Should(Receive())
	})
})
