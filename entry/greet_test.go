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

var _ = ginkgo.Describe("the rack summaries that peers are sent", func() {
	now := time.Now()
	rack := func(slots, hole int64) []*wire.Rack {
		return []*wire.Rack{{
			Rack: "r", Ready: true, Workers: 8, Attached: 8,
			Capacity: []int64{128000, 64}, Free: []int64{64000, slots}, Hole: []int64{8000, hole},
		}}
	}
	ginkgo.DescribeTable("get a new sequence number", func(before, after []*wire.Rack, later time.Duration, news bool) {
		var s rackSummaries
		first := s.update(before, now)
		Expect(s.update(after, now.Add(later)) != first).To(Equal(news))
	},
		ginkgo.Entry("not if nothing changed", rack(32, 8), rack(32, 8), time.Hour, false),
		ginkgo.Entry("not if room changed a little", rack(32, 8), rack(29, 7), time.Second, false),
		ginkgo.Entry("if room changed a lot", rack(32, 8), rack(20, 8), time.Second, true),
		ginkgo.Entry("if the room is used up", rack(2, 1), rack(0, 0), time.Second, true),
		ginkgo.Entry("if there is room again", rack(0, 0), rack(1, 1), time.Second, true),
		ginkgo.Entry("if a small change has lasted for summaryInterval", rack(32, 8), rack(31, 8), summaryInterval, true),
		ginkgo.Entry("if a rack was handed over", rack(32, 8), nil, time.Second, true),
	)
})

var _ = ginkgo.Describe("the sequence number that other halls must have seen", func() {
	ginkgo.It("is that of the last change of a rack's owner", func() {
		now := time.Now()
		rack := func(epoch uint64, slots int64) []*wire.Rack {
			return []*wire.Rack{{Rack: "r", EpochTable: epoch, Ready: true, Capacity: []int64{64}, Free: []int64{slots}, Hole: []int64{8}}}
		}
		var s rackSummaries
		first := s.update(rack(1, 64), now)
		Expect(s.lastOwnershipSeq()).To(Equal(first))
		s.update(rack(1, 10), now)
		Expect(s.lastOwnershipSeq()).To(Equal(first), "a change of room need not be sent at once")
		Expect(s.update(rack(2, 10), now)).To(Equal(s.lastOwnershipSeq()))
	})
})

var _ = ginkgo.Describe("the GC target percentage", func() {
	ginkgo.It("is high while collections are frequent, and low again once they are not", func() {
		var c gcTuner
		Expect(c.gcPercent(1)).To(Equal(idlePercent))
		Expect(c.gcPercent(busyCycles)).To(Equal(busyPercent))
		for range idleAfter - 1 {
			Expect(c.gcPercent(1)).To(Equal(busyPercent))
		}
		Expect(c.gcPercent(2)).To(Equal(busyPercent), "the idle intervals were interrupted")
		for range idleAfter - 1 {
			c.gcPercent(0)
		}
		Expect(c.gcPercent(0)).To(Equal(idlePercent))
	})
})
