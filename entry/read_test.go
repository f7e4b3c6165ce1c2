// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/link"
	"dewpass.org/tree"
	"dewpass.org/wire"
)

// slowPeer delays each reply with a tree and counts the requests.
type slowPeer struct{ asked atomic.Int32 }

func (p *slowPeer) Handle(context.Context, *wire.Request) *wire.Reply {
	p.asked.Add(1)
	time.Sleep(300 * time.Millisecond)
	return &wire.Reply{Body: &wire.Reply_Tree{Tree: &wire.Tree{}}}
}

var _ = ginkgo.Describe("a newer tree that many peers announce", func() {
	ginkgo.It("is fetched from one peer at a time", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		peer := &slowPeer{}
		server := &link.Server{Handler: peer}
		go server.Serve(l)
		ginkgo.DeferCleanup(server.Close)
		e := &Entry{register: &tree.Register{}, dialer: &link.Dialer{}}
		ginkgo.DeferCleanup(e.dialer.Close)
		var all sync.WaitGroup
		for range 10 {
			all.Go(func() { e.fetchNewerTree(l.Addr().String()) })
		}
		all.Wait()
		Expect(peer.asked.Load()).To(BeEquivalentTo(1))
		e.fetchNewerTree(l.Addr().String())
		Expect(peer.asked.Load()).To(BeEquivalentTo(2))
	})
})
