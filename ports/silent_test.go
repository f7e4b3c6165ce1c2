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

// Guards against a fault in which all idle connections to a worker stopped delivering at once,
// without a reset, while new connections worked. Each call that timed out discarded only one
// of them and the next call took another: four idle connections cost 2 s each, during which the
// worker could not be reached for more than half of a lease.
var _ = Describe("idle connections to a worker that stop delivering", func() {
	It("fail one call in total, not one call each", func(ctx context.Context) {
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
