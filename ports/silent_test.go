// SPDX-License-Identifier: Apache-2.0

package ports_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/ports"
	"dewpass.org/test/mute"
)

// The connections to a worker went silent together, without a reset, while new ones
// worked. Each call that timed out threw one away and the next took another one: four idle
// ones cost 2 s each, more than half of a lease, in which the worker could not be reached.
var _ = Describe("the connections to a worker that go silent", func() {
	It("cost one call, and not one call each", func(ctx context.Context) {
		const idle = 4
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(50 * time.Millisecond)
			_, _ = w.Write([]byte("{}"))
		}))
		DeferCleanup(s.CloseClientConnections)
		m, err := mute.Listen(s.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(m.Close)
		workers := ports.NewWorkers()
		DeferCleanup(workers.Close)
		w := workers.At(m.Addr())
		var all sync.WaitGroup
		for range idle {
			all.Go(func() {
				defer GinkgoRecover()
				Expect(w.Ack(ctx, "t", 1)).To(Succeed())
			})
		}
		all.Wait()
		Expect(m.Silence()).To(Equal(idle))
		Expect(w.Ack(ctx, "t", 1)).NotTo(Succeed())
		Expect(w.Ack(ctx, "t", 1)).To(Succeed())
	})
})
