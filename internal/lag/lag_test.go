// SPDX-License-Identifier: Apache-2.0

package lag

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestSlowWithinASecondOfLateTimersAndNotForOnePause(t *testing.T) {
	g := NewWithT(t)
	var m Meter
	for range 100 {
		m.Observe(time.Millisecond)
	}
	g.Expect(m.Slow()).To(BeFalse())
	m.Observe(4 * time.Second)
	g.Expect(m.Slow()).To(BeFalse(), "a pause")
	m.Observe(200 * time.Millisecond)
	g.Expect(m.Slow()).To(BeTrue(), "a second one soon after")
	for range 60 {
		m.Observe(time.Millisecond)
	}
	g.Expect(m.Slow()).To(BeFalse())
}
