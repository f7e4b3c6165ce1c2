// SPDX-License-Identifier: Apache-2.0

package rtt

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	minTimeout = 100 * time.Millisecond
	maxTimeout = 700 * time.Millisecond
)

func TestFirstTimeoutIsTwiceTheMinimum(t *testing.T) {
	g := NewWithT(t)
	var e Estimate
	g.Expect(e.Timeout(minTimeout, maxTimeout)).To(Equal(2 * minTimeout))
	e.Lost()
	g.Expect(e.Timeout(minTimeout, maxTimeout)).To(Equal(4 * minTimeout))
}

func TestTimeoutFollowsAnswerTimes(t *testing.T) {
	g := NewWithT(t)
	var e Estimate
	for range 50 {
		e.Answered(4 * time.Millisecond)
	}
	g.Expect(e.Timeout(minTimeout, maxTimeout)).To(Equal(minTimeout))
	for range 50 {
		e.Answered(150 * time.Millisecond)
	}
	g.Expect(e.Timeout(minTimeout, maxTimeout)).To(BeNumerically("~", 150*time.Millisecond, 10*time.Millisecond))
	e.Answered(300 * time.Millisecond)
	g.Expect(e.Timeout(minTimeout, maxTimeout)).To(BeNumerically(">", 300*time.Millisecond), "the timeout grows with the variation of the answer times")
}

func TestTimeoutDoublesWithEachLossUntilTheNextAnswer(t *testing.T) {
	g := NewWithT(t)
	var e Estimate
	e.Answered(4 * time.Millisecond)
	e.Lost()
	g.Expect(e.Timeout(minTimeout, maxTimeout)).To(Equal(2 * minTimeout))
	e.Lost()
	g.Expect(e.Timeout(minTimeout, maxTimeout)).To(Equal(4 * minTimeout))
	e.Lost()
	g.Expect(e.Timeout(minTimeout, maxTimeout)).To(Equal(maxTimeout))
	e.Answered(4 * time.Millisecond)
	g.Expect(e.Timeout(minTimeout, maxTimeout)).To(Equal(minTimeout))
}
