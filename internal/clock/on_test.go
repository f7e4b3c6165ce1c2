// SPDX-License-Identifier: Apache-2.0

//go:build faults

package clock

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// What is kept until a time of day was to be removed earlier by as much as the machine had been
// suspended, as both were read from one clock.
func TestSuspensionDoesNotMoveTheTimeOfDay(t *testing.T) {
	g := NewWithT(t)
	before := Now()
	Sleep(time.Hour)
	g.Expect(Since(before)).To(BeNumerically("~", time.Hour, time.Second))
	g.Expect(Wall()).To(BeTemporally("~", time.Now(), time.Second))
}
