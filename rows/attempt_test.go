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

// mute is a store whose answers to writes come after a while, or never if that is 0.
type mute struct {
	rows.Store
	after time.Duration
}

func (m mute) Tx(ctx context.Context, _ rows.Tx) (rows.Result, error) {
	if m.after > 0 {
		time.Sleep(m.after)
		return rows.Result{Ver: 7}, nil
	}
	<-ctx.Done()
	return rows.Result{}, kind.Wrap(kind.Lost, ctx.Err(), "no answer")
}

var _ = Describe("an attempt to write", func() {
	const every = 10 * time.Millisecond
	unknown := func(context.Context) (rows.Result, bool, error) { return rows.Result{}, false, nil }

	It("returns the store's answer", func(ctx context.Context) {
		a := rows.Attempt{Store: mute{after: 3 * every}, Look: unknown, Every: every, Limit: time.Minute}
		res, answered, err := a.Send(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(answered).To(BeTrue())
		Expect(res.Ver).To(Equal(uint64(7)))
	})

	It("is over as soon as the store shows what became of it", func(ctx context.Context) {
		looks := 0
		look := func(context.Context) (rows.Result, bool, error) {
			looks++
			return rows.Result{Ver: 9}, looks == 3, nil
		}
		a := rows.Attempt{Store: mute{}, Look: look, Every: every, Limit: time.Minute}
		res, answered, err := a.Send(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(answered).To(BeFalse())
		Expect(res.Ver).To(Equal(uint64(9)))
		Expect(looks).To(Equal(3))
	})

	It("is given up as lost when it is not there in time", func(ctx context.Context) {
		a := rows.Attempt{Store: mute{}, Look: unknown, Every: every, Limit: 3 * every}
		_, answered, err := a.Send(ctx)
		Expect(answered).To(BeFalse())
		Expect(kind.Is(err, kind.Lost)).To(BeTrue())
	})
})
