// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/rows"
)

// readCounter counts the reads of the store below it.
type readCounter struct {
	rows.Store
	reads atomic.Int32
}

func (s *readCounter) Get(ctx context.Context, r rows.Range) (rows.Page, error) {
	s.reads.Add(1)
	return s.Store.Get(ctx, r)
}

// Guards against needless reads at a start of all: while one of 584 instances counted the workers, each
// of the others read the division row 1.6 times a second to see whether the store answers, beside the
// reads that wait for the division.
var _ = Describe("an instance that waits for another one to decide the division", func() {
	It("reads nothing else to see that the store answers", func(ctx context.Context) {
		n := testInstance(&fakePolicy{})
		store := newFleetStore()
		counting, err := json.Marshal(divisionRow{CountedBy: "other"})
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Tx(ctx, rows.Tx{Put: []rows.Row{{Key: divisionKey, Value: counting}}})
		Expect(err).NotTo(HaveOccurred())
		counted := &readCounter{Store: store}
		n.storeClient.Direct = counted
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		go n.probeStore(ctx)
		go n.learnDivision(ctx)
		Eventually(n.storeClient.DirectlyReachable).Should(BeTrue())
		const observed = 1800 * time.Millisecond
		Consistently(n.storeClient.DirectlyReachable, observed, "20ms").Should(BeTrue())
		Expect(counted.reads.Load()).To(BeNumerically("<=", 2+int32(observed/countWaitInterval)))
	})
})
