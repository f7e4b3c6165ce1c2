// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/cell"
	"dewpass.org/internal/clock"
)

// Guards against owners that each wait for a whole lease of a worker that vanished before their time:
// tasks there stayed away for as long as owners were restarted. An end that is handed over may never be
// earlier than the former owner's.
var _ = ginkgo.DescribeTable("the end of a worker's lease after a planned handover",
	func(ctx context.Context, state func(*link), ownerBetween bool, earliest, latest time.Duration) {
		t := newMemStore()
		first := newStuckDriver(ctx, t)
		first.applyDirectory([]Entry{{Worker: cell.Worker{ID: "w", Addr: "w", Pool: "p"}, Ver: 1}}, time.Now())
		Expect(first.commitOnce(false)).To(BeTrue())
		first.mu.Lock()
		state(first.links["w"])
		before := clock.Now()
		first.mu.Unlock()
		Expect(first.Claim.Release(ctx, first.Handover())).To(Succeed())
		if ownerBetween {
			newStuckDriver(ctx, t)
		}

		next := newStuckDriver(ctx, t)
		Expect(next.load()).To(BeTrue())
		next.mu.Lock()
		defer next.mu.Unlock()
		Expect(next.links["w"].leasesEnd).To(BeTemporally(">=", before.Add(earliest)))
		Expect(next.links["w"].leasesEnd.Sub(next.startedAt)).To(BeNumerically("<=", latest))
	},
	ginkgo.Entry("is the former owner's for a worker that did not answer it", linkVanished, false, leaseLeft, 2*leaseLeft),
	ginkgo.Entry("has come for a worker of which the former owner had waited for it", linkLapsed, false, time.Duration(0), leaseLeft),
	ginkgo.Entry("is that of a whole lease for a worker that did answer", linkAnswering, false, wholeLease, 2*wholeLease),
	ginkgo.Entry("is that of a whole lease if there was an owner between", linkVanished, true, wholeLease, 2*wholeLease),
)

const (
	wholeLease = time.Second
	leaseLeft  = 300 * time.Millisecond
)

func linkVanished(l *link) { l.leasesEnd = clock.Now().Add(leaseLeft) }

func linkLapsed(l *link) { l.leasesEnd, l.lapsed = clock.Now(), true }

func linkAnswering(l *link) {
	linkVanished(l)
	l.attached = true
}
