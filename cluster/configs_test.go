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
	"dewpass.org/internal/pack"
	"dewpass.org/kind"
	"dewpass.org/link"
	"dewpass.org/wire"
)

// fakeConfigSource records each read of its configuration, and each wait for a change.
type fakeConfigSource struct {
	mu        sync.Mutex
	version   uint64
	raw       []byte
	reads     int
	positions []uint64
	fails     map[uint64]error
}

func (s *fakeConfigSource) Get(context.Context) (*config.Config, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	return &config.Config{Version: s.version, Raw: s.raw}, 10 * s.version, nil
}

// Changes answers with no change, and the next position.
func (s *fakeConfigSource) Changes(_ context.Context, ver uint64, _ time.Duration) (*config.Config, uint64, error) {
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.positions = append(s.positions, ver)
	if err := s.fails[ver]; err != nil {
		delete(s.fails, ver)
		return nil, ver, err
	}
	return nil, ver + 1, nil
}

func (s *fakeConfigSource) recorded() (int, []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, append([]uint64(nil), s.positions...)
}

// followingInstance returns an instance that follows a source until the spec ends.
func followingInstance(s ConfigSource) *Instance {
	n := testInstance(&fakePolicy{})
	n.configs = s
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go n.followConfig(ctx)
	return n
}

// Guards against transfers that together fill the link. Instances with links of 10 Mbit/s read a
// configuration of 4,000 queues in full every 0.9 s and also requested it from every peer with a
// newer one: 1.2 MB/s, the whole link, so that not a single transfer completed.
var _ = Describe("the configuration", func() {
	It("is read in full once, and then only its changes", func() {
		s := &fakeConfigSource{version: 1, raw: make([]byte, 1<<20)}
		n := followingInstance(s)
		Eventually(n.config.Version).Should(BeEquivalentTo(1))
		Eventually(func() int { _, places := s.recorded(); return len(places) }, 15*time.Second).Should(BeNumerically(">", 20))
		reads, places := s.recorded()
		Expect(reads).To(Equal(1))
		Expect(places[:3]).To(Equal([]uint64{10, 11, 12}))
	})

	It("continues at the same position of the feed after a failed call", func() {
		s := &fakeConfigSource{version: 1, fails: map[uint64]error{11: kind.New(kind.Lost, "broken off")}}
		followingInstance(s)
		Eventually(func() []uint64 { _, places := s.recorded(); return places }, 3*time.Second).Should(ContainElement(uint64(12)))
		reads, places := s.recorded()
		Expect(reads).To(Equal(1))
		Expect(places[:4]).To(Equal([]uint64{10, 11, 11, 12}))
	})

	It("is read in full again if the feed no longer has the changes", func() {
		s := &fakeConfigSource{version: 1, fails: map[uint64]error{11: kind.New(kind.Conflict, "forgotten")}}
		followingInstance(s)
		Eventually(func() int { reads, _ := s.recorded(); return reads }, 3*time.Second).Should(Equal(2))
	})

	It("is read in full again at a rate of bytes that does not grow with its size", func() {
		Expect(fullReadInterval(nil)).To(Equal(minFullReadInterval))
		Expect(fullReadInterval(&config.Config{Raw: make([]byte, 1000)})).To(Equal(minFullReadInterval))
		Expect(fullReadInterval(&config.Config{Raw: make([]byte, 60*fullReadRate)})).To(Equal(time.Minute))
	})

	It("is requested from one peer at a time, and from none once the feed has delivered it", func(ctx context.Context) {
		var mu sync.Mutex
		asked, most, now := 0, 0, 0
		n := instanceWithOwner(handlerFunc(func(req *wire.Request) *wire.Reply {
			mu.Lock()
			asked++
			now++
			most = max(most, now)
			mu.Unlock()
			time.Sleep(100 * time.Millisecond)
			mu.Lock()
			now--
			mu.Unlock()
			doc := (&config.Config{Raw: []byte("doc")}).Compressed()
			return &wire.Reply{Body: &wire.Reply_Config{Config: &wire.ConfigDoc{Doc: doc}}}
		}))
		n.ParseConfig = func(raw []byte) (*config.Config, error) {
			Expect(string(raw)).To(Equal("doc"))
			return &config.Config{Version: 7, Raw: raw}, nil
		}
		greeting := &wire.Greeting{Instance: "owner", Hall: "h", Boot: "b", Addr: n.members.owner("cell-0", time.Now()).addr, ConfigVersion: 7}
		for range 10 {
			n.applyGreeting(greeting)
		}
		Eventually(n.config.Version, 5*time.Second).Should(BeEquivalentTo(7))
		mu.Lock()
		Expect(asked).To(Equal(1))
		Expect(most).To(Equal(1))
		mu.Unlock()

		greeting.ConfigVersion = 8
		n.applyGreeting(greeting)
		n.install(&config.Config{Version: 8}, "feed")
		Consistently(func() int {
			mu.Lock()
			defer mu.Unlock()
			return asked
		}, 2*fetchDelay).Should(Equal(1))
	})
})

// handlerFunc answers requests of peers.
type handlerFunc func(*wire.Request) *wire.Reply

func (h handlerFunc) Handle(_ context.Context, req *wire.Request) *wire.Reply { return h(req) }

// oversizedFeed is a source whose feed fails at one position, as its answer there is too large.
type oversizedFeed struct{ fakeConfigSource }

func (s *oversizedFeed) Changes(_ context.Context, ver uint64, _ time.Duration) (*config.Config, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.positions = append(s.positions, ver)
	if s.reads > 1 {
		time.Sleep(5 * time.Millisecond)
		return nil, ver + 1, nil
	}
	return nil, ver, kind.New(kind.Damaged, "an answer with four versions is longer than 8 MB")
}

// expiredFeed is a source whose feed never has the changes since a position.
type expiredFeed struct{ fakeConfigSource }

func (s *expiredFeed) Get(context.Context) (*config.Config, uint64, error) {
	time.Sleep(2 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	return &config.Config{Version: 1, Raw: make([]byte, 1<<20)}, 10, nil
}

func (s *expiredFeed) Changes(_ context.Context, ver uint64, _ time.Duration) (*config.Config, uint64, error) {
	time.Sleep(2 * time.Millisecond)
	return nil, ver, kind.New(kind.Conflict, "forgotten")
}

// nonblockingFeed is a source whose feed does not wait for a change.
type nonblockingFeed struct{ fakeConfigSource }

func (s *nonblockingFeed) Get(context.Context) (*config.Config, uint64, error) {
	return &config.Config{Version: 1, Raw: make([]byte, 1<<20)}, 10, nil
}

func (s *nonblockingFeed) Changes(_ context.Context, ver uint64, _ time.Duration) (*config.Config, uint64, error) {
	time.Sleep(2 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.positions = append(s.positions, ver)
	return nil, ver, nil
}

var _ = Describe("the configuration, while something fails", func() {
	It("is read in full when the feed repeatedly fails at one position", func() {
		s := &oversizedFeed{fakeConfigSource{version: 1, raw: make([]byte, 1<<20)}}
		followingInstance(s)
		Eventually(func() int { reads, _ := s.recorded(); return reads }, 5*time.Second).Should(BeNumerically(">", 1))
	})

	It("arrives from a second peer within 2 s when the first one is paused", func() {
		// The configuration has to arrive within 3 s, and the store rejects the calls of this
		// instance.
		silent, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(silent.Close)
		good, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := &link.Server{Handler: handlerFunc(func(*wire.Request) *wire.Reply {
			return &wire.Reply{Body: &wire.Reply_Config{Config: &wire.ConfigDoc{Doc: (&config.Config{Raw: []byte("doc")}).Compressed()}}}
		})}
		go server.Serve(good)
		DeferCleanup(server.Close)
		n := testInstance(&fakePolicy{})
		n.ParseConfig = func(raw []byte) (*config.Config, error) { return &config.Config{Version: 7, Raw: raw}, nil }
		n.applyGreeting(&wire.Greeting{Instance: "a", Hall: "h", Boot: "b", Addr: silent.Addr().String(), ConfigVersion: 7})
		Eventually(n.fetchingConfig.Load).Should(BeTrue())
		stop := time.Now().Add(2 * time.Second)
		for time.Now().Before(stop) && n.config.Version() < 7 {
			n.applyGreeting(&wire.Greeting{Instance: "b", Hall: "h", Boot: "b", Addr: good.Addr().String(), ConfigVersion: 7})
			time.Sleep(ownerGreetInterval)
		}
		Expect(n.config.Version()).To(BeEquivalentTo(7))
	})

	It("is not read in a busy loop when the feed never has the changes", func() {
		s := &expiredFeed{}
		followingInstance(s)
		time.Sleep(time.Second)
		reads, _ := s.recorded()
		Expect(reads).To(BeNumerically("<", 20))
	})

	It("is not read in a busy loop when the feed answers at once without a change", func() {
		s := &nonblockingFeed{}
		followingInstance(s)
		time.Sleep(time.Second)
		_, places := s.recorded()
		Expect(len(places)).To(BeNumerically("<", 100))
	})
})

var _ = Describe("the position in the feed of the configuration", func() {
	now := time.Unix(1000, 0)
	small := &config.Config{Raw: make([]byte, 1000)}
	at := func(position uint64) feedState {
		return feedState{position: position, answeredAt: now, fullReadAt: now}
	}

	It("is kept when a call fails, for a while", func() {
		f := at(5)
		f.update(false, 5, kind.New(kind.Lost, "broken off"), now)
		Expect(f.needsFullRead(now.Add(positionTTL), fullReadInterval(small))).To(BeFalse())
		Expect(f.needsFullRead(now.Add(positionTTL+1), fullReadInterval(small))).To(BeTrue(), "the feed would deliver each version that was missed")
	})

	It("is discarded when the store no longer has the changes", func() {
		f := at(5)
		f.update(false, 5, kind.New(kind.Conflict, "forgotten"), now)
		Expect(f.needsFullRead(now, fullReadInterval(small))).To(BeTrue())
	})

	It("moves past a document that cannot be read", func() {
		f := at(5)
		f.update(false, 9, kind.New(kind.Damaged, "no document"), now)
		Expect(f.position).To(BeEquivalentTo(9))
	})

	It("is kept beside periodic full reads, also if such a read fails", func() {
		f := at(5)
		later := now.Add(minFullReadInterval + 1)
		f.update(false, 6, nil, later)
		Expect(f.needsFullRead(later, fullReadInterval(small))).To(BeTrue())
		f.update(true, 0, kind.New(kind.Lost, "broken off"), later)
		Expect(f.needsFullRead(later, fullReadInterval(small))).To(BeFalse())
		Expect(f.position).To(BeEquivalentTo(6))
	})
})

var _ = Describe("a configuration that a peer asks for", func() {
	It("is sent compressed, if the peer's is older", func(ctx context.Context) {
		n := testInstance(&fakePolicy{})
		raw := make([]byte, 100_000)
		n.install(&config.Config{Version: 7, Raw: raw}, "feed")
		ask := func(above uint64) []byte {
			reply, err := n.handle(ctx, &wire.Request{Body: &wire.Request_Config{Config: &wire.ConfigQuery{Above: above}}})
			Expect(err).NotTo(HaveOccurred())
			return reply.GetConfig().GetDoc()
		}
		Expect(len(ask(6))).To(BeNumerically("<", len(raw)/10))
		back, err := pack.Decompress(ask(6))
		Expect(err).NotTo(HaveOccurred())
		Expect(back).To(Equal(raw))
		Expect(ask(7)).To(BeEmpty())
	})

	It("is not requested while the store delivers it", func() {
		asked := make(chan struct{}, 10)
		n := instanceWithOwner(handlerFunc(func(*wire.Request) *wire.Reply {
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
					n.noteConfigData()
				}
			}
		}()
		greeting := &wire.Greeting{Instance: "owner", Hall: "h", Boot: "b", Addr: n.members.owner("cell-0", time.Now()).addr, ConfigVersion: 7}
		n.applyGreeting(greeting)
		Consistently(asked, 3*fetchDelay).ShouldNot(Receive())
		close(stop)
		time.Sleep(2 * fetchDelay)
		n.applyGreeting(greeting)
		Eventually(asked, 3*time.Second).Should(Receive())
	})
})
