// SPDX-License-Identifier: Apache-2.0

package rows_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/kind"
	"dewpass.org/rows"
)

// slowStore responds to writes after a delay, or never if that is 0.
type slowStore struct {
	rows.Store
	after time.Duration
}

func (m slowStore) Tx(ctx context.Context, _ rows.Tx) (rows.Result, error) {
	if m.after > 0 {
		time.Sleep(m.after)
		return rows.Result{Ver: 7}, nil
	}
	<-ctx.Done()
	return rows.Result{}, kind.Wrap(kind.Lost, ctx.Err(), "no answer")
}

var _ = Describe("a write attempt", func() {
	const every = 10 * time.Millisecond
	unknown := func(context.Context) (rows.Result, bool, error) { return rows.Result{}, false, nil }

	It("returns the store's response", func(ctx context.Context) {
		a := rows.WriteAttempt{Store: slowStore{after: 3 * every}, Lookup: unknown, Interval: every, Timeout: time.Minute}
		res, answered, err := a.Send(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(answered).To(BeTrue())
		Expect(res.Ver).To(Equal(uint64(7)))
	})

	It("ends as soon as a look-up shows its result", func(ctx context.Context) {
		looks := 0
		look := func(context.Context) (rows.Result, bool, error) {
			looks++
			return rows.Result{Ver: 9}, looks == 3, nil
		}
		a := rows.WriteAttempt{Store: slowStore{}, Lookup: look, Interval: every, Timeout: time.Minute}
		res, answered, err := a.Send(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(answered).To(BeFalse())
		Expect(res.Ver).To(Equal(uint64(9)))
		Expect(looks).To(Equal(3))
	})

	It("returns an error of kind Lost if the write does not appear in time", func(ctx context.Context) {
		a := rows.WriteAttempt{Store: slowStore{}, Lookup: unknown, Interval: every, Timeout: 3 * every}
		_, answered, err := a.Send(ctx)
		Expect(answered).To(BeFalse())
		Expect(kind.Is(err, kind.Lost)).To(BeTrue())
	})
})
