// SPDX-License-Identifier: Apache-2.0

package ports_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/kind"
	"dewpass.org/ports"
)

func TestPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(30 * time.Second)
	RunSpecs(t, "platform")
}

var _ = Describe("the table's client", func() {
	It("finds out by reads alone whether a silent table is back", func(ctx context.Context) {
		var writes atomic.Int32
		var down atomic.Bool
		down.Store(true)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/table/commit" {
				writes.Add(1)
			}
			if down.Load() {
				panic(http.ErrAbortHandler)
			}
			_, _ = w.Write([]byte("null"))
		}))
		DeferCleanup(s.Close)
		c := ports.NewClient(s.URL)
		commit := func() error {
			_, err := c.Commit(ctx, ports.Txn{})
			return err
		}
		read := func() error {
			_, err := c.Get(ctx, "k")
			return err
		}
		Eventually(func() error { return commit() }).Should(Satisfy(func(err error) bool {
			return kind.Is(err, kind.Unavailable)
		}), "the breaker should open")
		before := writes.Load()
		Consistently(commit, 3*time.Second, 50*time.Millisecond).ShouldNot(Succeed())
		Expect(writes.Load()).To(Equal(before), "no write should be sent to probe whether the table is back")
		down.Store(false)
		Eventually(read).Should(Succeed())
		Expect(commit()).To(Succeed())
	})
})
