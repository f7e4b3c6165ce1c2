// SPDX-License-Identifier: Apache-2.0

package proof

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/test/bed"
	"dewpass.org/test/load"
)

// mixes are small loads of all kinds of workload of the two users.
var mixes = map[string][]load.Stream{
	"comhar": {
		{Workload: "tinting/shade-lookup", PerSecond: 60, Runs: 8 * time.Millisecond},
		{Workload: "tinting/formula-match", PerSecond: 10, Runs: 250 * time.Millisecond},
		{Workload: "tinting/dispense-order", PerSecond: 20, Runs: 40 * time.Millisecond, Once: true},
		{Workload: "nightly/recalibration", PerSecond: 10, Runs: 1500 * time.Millisecond, Job: true, Save: 400 * time.Millisecond},
	},
	"kartvela": {
		{Workload: "vans/parcel-assignment", PerSecond: 30, Runs: 40 * time.Millisecond, Once: true},
		{Workload: "belts/address-reading", PerSecond: 10, Runs: time.Second, Job: true},
		{Workload: "vans/route-plan", PerSecond: 5, Runs: 700 * time.Millisecond, Job: true},
		{Workload: "tracing/trace", PerSecond: 6, Runs: 3 * time.Second, Job: true, Save: 500 * time.Millisecond},
	},
}

// settleTimeout is the maximum time until all work has ended after the failures.
const settleTimeout = 90 * time.Second

// runUnderLoad sends the mix of a deployment for the given length while f injects failures,
// and then checks every answer against the workers' record.
func runUnderLoad(ctx context.Context, b *bed.Bed, length time.Duration, f func()) []load.Response {
	t := &load.Tracker{Clients: b.Clients(), Seed: uint64(GinkgoRandomSeed())}
	for _, s := range mixes[b.Deployment.Name] {
		t.Send(ctx, s, length)
	}
	f()
	said := t.Wait()
	verify(ctx, b, said)
	return said
}

func verify(ctx context.Context, b *bed.Bed, said []load.Response) {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	starts := func(tag string) int {
		tags, err := b.Starts(ctx)
		if err != nil {
			return -1
		}
		return tags[tag]
	}
	live := b.Entries[0].Client()
	for _, p := range b.Entries {
		if p.Running() {
			live = p.Client()
		}
	}
	Expect(load.Verify(ctx, live, said, starts)).To(BeEmpty())
	GinkgoWriter.Println("answers:", countOutcomes(said))
}

// countOutcomes counts the answers by outcome.
func countOutcomes(said []load.Response) map[string]int {
	out := make(map[string]int)
	for _, s := range said {
		what := s.Outcome
		if s.Outcome == load.NotRun || s.Outcome == load.Unknown {
			what += " " + s.Kind.String()
		}
		out[what]++
	}
	return out
}

// ownerOf returns the process that owns a rack according to its peers.
func ownerOf(ctx context.Context, b *bed.Bed, rack string) *bed.Process {
	GinkgoHelper()
	owners, err := b.Owners(ctx)
	Expect(err).NotTo(HaveOccurred())
	for _, p := range b.Entries {
		if p.Addr.ID == owners[rack] {
			return p
		}
	}
	Fail("no instance owns rack " + rack)
	return nil
}
