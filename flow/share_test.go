// SPDX-License-Identifier: Apache-2.0

package flow

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestShareOfAJobOfOneCellContainsAllTasks(t *testing.T) {
	g := NewWithT(t)
	s := &Spec{Cell: "a"}
	share, ok := s.Share("a")
	g.Expect(ok).To(BeTrue())
	g.Expect(share.OwnedElsewhere()).To(BeFalse())
	for i := range 5 {
		g.Expect(share.Contains(i)).To(BeTrue())
	}
	_, ok = s.Share("b")
	g.Expect(ok).To(BeFalse())
}

func TestEachTaskIsInExactlyOneShare(t *testing.T) {
	g := NewWithT(t)
	s := &Spec{Cell: "b", Shares: []string{"a", "c"}}
	for i := range 10 {
		n := 0
		for _, cell := range []string{"a", "b", "c", "d"} {
			if share, ok := s.Share(cell); ok && share.Contains(i) {
				n++
			}
		}
		g.Expect(n).To(Equal(1))
	}
	home, _ := s.Share("b")
	other, _ := s.Share("a")
	g.Expect(home.OwnedElsewhere()).To(BeFalse())
	g.Expect(other.OwnedElsewhere()).To(BeTrue())
}

func TestOnlyIndependentLongRunningTasksMayBeShared(t *testing.T) {
	g := NewWithT(t)
	longRunning := Step{Count: 2, LongRunning: true}
	g.Expect((&Spec{Steps: []Step{longRunning, longRunning}}).Shareable()).To(BeTrue())
	for _, spec := range []Spec{
		{Steps: []Step{{Count: 1}, longRunning}},
		{Steps: []Step{longRunning, {Count: 2, LongRunning: true, DependsOn: []int{0}}}},
		{Steps: []Step{{Count: 2, LongRunning: true, Gang: true}}},
		{Steps: []Step{longRunning}, RepeatCount: 2},
	} {
		g.Expect(spec.Shareable()).To(BeFalse())
	}
}

func TestSharesMustNameEachCellOnce(t *testing.T) {
	g := NewWithT(t)
	for _, shares := range [][]string{{"home"}, {"a", "a"}} {
		s := &Spec{Cell: "home", Shares: shares, Steps: []Step{{Count: 1, LongRunning: true}}}
		_, err := DecodeSpec(Encode(s))
		g.Expect(err).To(HaveOccurred())
	}
}
