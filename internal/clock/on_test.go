// SPDX-License-Identifier: Apache-2.0

//go:build faults

package clock

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Expiry times are times of day. When they were compared with Now, objects expired early by as much
// as the machine had been suspended.
func TestSuspensionDoesNotMoveTheTimeOfDay(t *testing.T) {
	g := NewWithT(t)
	before := Now()
	Sleep(time.Hour)
	g.Expect(Since(before)).To(BeNumerically("~", time.Hour, time.Second))
	g.Expect(Wall()).To(BeTemporally("~", time.Now(), time.Second))
}
