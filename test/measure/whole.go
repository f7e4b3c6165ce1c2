// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"fmt"
	"time"

	"dewpass.org/test/load"
)

// The target size for capacity planning: one hall in full, and one instance of each other hall.
const (
	designHalls        = 16
	designPerHall      = 7
	designRacks        = 47
	designTasks        = 38000 / designHalls
	designStarts       = 370.0 / designHalls
	designSamplePeriod = 20 * time.Second
	designSettleTime   = 30 * time.Second
)

// designHall measures an instance in a hall of the target size: idle, with its tasks
// running, and at the peak rate of starts.
func designHall(ctx context.Context) error {
	b, end, err := start(ctx, shape{
		halls: designHalls, perHall: designPerHall, racks: designRacks, workersPerRack: 8,
		farPerHall: 1, farRacks: 1, servicesInFirstHall: true,
	})
	if err != nil {
		return err
	}
	defer end()
	fmt.Printf("a hall of %d instances and %d workers, and %d other halls\n", designPerHall, designRacks*8, designHalls-1)
	time.Sleep(designSettleTime)
	s := series{quantity: "running tasks"}
	s.add(0, sampleUsage(b.Entries[0], designSamplePeriod))
	if err := setTree(ctx, b, "service.count", fmt.Sprint(designTasks)); err != nil {
		return err
	}
	if err := awaitStarts(ctx, b, designTasks); err != nil {
		return err
	}
	time.Sleep(designSettleTime)
	s.add(designTasks/designPerHall, sampleUsage(b.Entries[0], designSamplePeriod))
	fmt.Printf("and %.0f starts a second in the hall:\n", designStarts)
	peak := load.Stream{Workload: "call", PerSecond: designStarts, Runs: 5 * time.Millisecond}
	for _, p := range b.Entries[:designPerHall] {
		share := peak
		share.PerSecond /= designPerHall
		go load.Run(ctx, p.Client(), []load.Stream{share}, designSamplePeriod+settleTime, settleTime, nil)
	}
	time.Sleep(settleTime / 2)
	s.add(designTasks/designPerHall, sampleUsage(b.Entries[0], designSamplePeriod))
	return nil
}
