// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/wire"
)

func TestEntry(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "entry")
}

var _ = ginkgo.Describe("the summaries that peers are told", func() {
	now := time.Now()
	rack := func(slots, hole int64) []*wire.Rack {
		return []*wire.Rack{{
			Rack: "r", Ready: true, Workers: 8, Attached: 8,
			Capacity: []int64{128000, 64}, Free: []int64{64000, slots}, Hole: []int64{8000, hole},
		}}
	}
	ginkgo.DescribeTable("are news", func(before, after []*wire.Rack, later time.Duration, news bool) {
		var s spread
		first := s.number(before, now)
		Expect(s.number(after, now.Add(later)) != first).To(Equal(news))
	},
		ginkgo.Entry("not if nothing changed", rack(32, 8), rack(32, 8), time.Hour, false),
		ginkgo.Entry("not if room changed by little", rack(32, 8), rack(29, 7), time.Second, false),
		ginkgo.Entry("if room changed by much", rack(32, 8), rack(20, 8), time.Second, true),
		ginkgo.Entry("if there is none any more", rack(2, 1), rack(0, 0), time.Second, true),
		ginkgo.Entry("if there is some again", rack(0, 0), rack(1, 1), time.Second, true),
		ginkgo.Entry("if a small change has stood for some time", rack(32, 8), rack(31, 8), refreshEvery, true),
		ginkgo.Entry("if a rack was handed on", rack(32, 8), nil, time.Second, true),
	)
})

var _ = ginkgo.Describe("the summaries that another hall must have", func() {
	ginkgo.It("are those since a rack last changed hands", func() {
		now := time.Now()
		rack := func(epoch uint64, slots int64) []*wire.Rack {
			return []*wire.Rack{{Rack: "r", EpochTable: epoch, Ready: true, Capacity: []int64{64}, Free: []int64{slots}, Hole: []int64{8}}}
		}
		var s spread
		first := s.number(rack(1, 64), now)
		Expect(s.ownedAt()).To(Equal(first))
		s.number(rack(1, 10), now)
		Expect(s.ownedAt()).To(Equal(first), "room alone can wait")
		Expect(s.number(rack(2, 10), now)).To(Equal(s.ownedAt()))
	})
})

var _ = ginkgo.Describe("the collector's target", func() {
	ginkgo.It("is large while there is much to collect, and small again once that is over", func() {
		var c collector
		Expect(c.percent(1)).To(Equal(idlePercent))
		Expect(c.percent(busyCycles)).To(Equal(busyPercent))
		for range calmAfter - 1 {
			Expect(c.percent(1)).To(Equal(busyPercent))
		}
		Expect(c.percent(2)).To(Equal(busyPercent), "not calm yet")
		for range calmAfter - 1 {
			c.percent(0)
		}
		Expect(c.percent(0)).To(Equal(idlePercent))
	})
})
