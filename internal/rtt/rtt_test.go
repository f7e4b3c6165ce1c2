// SPDX-License-Identifier: Apache-2.0

package rtt

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	least = 100 * time.Millisecond
	most  = 700 * time.Millisecond
)

func TestWaitsLongerBeforeTheFirstAnswer(t *testing.T) {
	g := NewWithT(t)
	var e Estimate
	g.Expect(e.Wait(least, most)).To(Equal(2 * least))
	e.Lost()
	g.Expect(e.Wait(least, most)).To(Equal(4 * least))
}

func TestFollowsAnswers(t *testing.T) {
	g := NewWithT(t)
	var e Estimate
	for range 50 {
		e.Answered(4 * time.Millisecond)
	}
	g.Expect(e.Wait(least, most)).To(Equal(least))
	for range 50 {
		e.Answered(150 * time.Millisecond)
	}
	g.Expect(e.Wait(least, most)).To(BeNumerically("~", 150*time.Millisecond, 10*time.Millisecond))
	e.Answered(300 * time.Millisecond)
	g.Expect(e.Wait(least, most)).To(BeNumerically(">", 300*time.Millisecond), "answers that vary are waited for longer")
}

func TestDoublesWithEachLossUntilTheNextAnswer(t *testing.T) {
	g := NewWithT(t)
	var e Estimate
	e.Answered(4 * time.Millisecond)
	e.Lost()
	g.Expect(e.Wait(least, most)).To(Equal(2 * least))
	e.Lost()
	g.Expect(e.Wait(least, most)).To(Equal(4 * least))
	e.Lost()
	g.Expect(e.Wait(least, most)).To(Equal(most))
	e.Answered(4 * time.Millisecond)
	g.Expect(e.Wait(least, most)).To(Equal(least))
}
