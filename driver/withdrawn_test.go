// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/flow"
	"dewpass.org/rows"
)

func TestHomeWithdrawal(t *testing.T) {
	for _, accounts := range [][]string{{"a"}, {""}, {"a", "b"}, {"", "a", "b"}} {
		var w Withdrawal
		for _, a := range accounts {
			w = w.By(a).By(a)
		}
		last := accounts[len(accounts)-1]
		value := w.HomeValue("cell-12", last)
		got := HomeWithdrawal(value)
		if len(got.accounts) != len(accounts) {
			t.Errorf("%q: %d accounts", accounts, len(got.accounts))
		}
		for _, a := range accounts {
			if !got.Includes(a) {
				t.Errorf("%q: not withdrawn by %q", accounts, a)
			}
		}
		if got.Includes("c") {
			t.Errorf("%q: withdrawn by another account", accounts)
		}
		// To an earlier build it is a job of the last account.
		if cells := HomeCells(value); len(cells) != 1 || cells[0] != "cell-12" || !HomeAccess(value).Permits(last) || last != "" && HomeAccess(value).Permits("c") {
			t.Errorf("%q: not readable to earlier builds: %q", accounts, value)
		}
	}
	for _, spec := range []*flow.Spec{{Cell: "cell-0"}, {Cell: "cell-0", Account: "a"}, {Cell: "cell-0", Shares: []string{"cell-1"}, Account: "a"}} {
		for _, value := range [][]byte{HomeValue(spec), PublicHomeValue(spec), []byte("cell-0"), []byte("cell-0 cell-1"), nil} {
			if HomeWithdrawal(value).Any() {
				t.Errorf("%q is taken for a withdrawal", value)
			}
		}
	}
}

var _ = ginkgo.Describe("the rows of a withdrawn job", func() {
	const age = 2*time.Hour + maxClockSkew

	// Cancellations of jobs that nobody submits would fill the store.
	ginkgo.It("are removed in time, unless another account uses the id by then", func(ctx context.Context) {
		t := newMemStore()
		d := newDriver(ctx, t, func() {})
		put := func(id string) rows.Row {
			end := WithdrawnEnd(id, "c", time.Now().Add(-age))
			mustPut(t, end, rows.Row{Key: HomeKey(id), Value: Withdrawal{}.By("a").HomeValue("c", "a")})
			end.Ver = t.ver
			return end
		}
		all := []rows.Row{put("1"), put("2"), WithdrawnEnd("3", "c", time.Now()), WithdrawnEnd("4", "other", time.Now().Add(-age))}
		spec := &flow.Spec{ID: "2", Cell: "c", Account: "b"}
		mustTx(t, rows.Tx{Put: []rows.Row{{Key: HomeKey("2"), Value: HomeValue(spec)}}, Remove: []rows.Key{EndedKey("2")}})
		d.forgetWithdrawn(d.sweepPart(all, time.Now()))
		Expect(t.has(HomeKey("1"))).To(BeFalse())
		Expect(t.has(EndedKey("1"))).To(BeFalse())
		Expect(t.has(HomeKey("2"))).To(BeTrue())
		Expect(d.archives.waiting).To(BeEmpty())
	})

	ginkgo.It("are passed over in the search for jobs that were not reported", func(ctx context.Context) {
		t := newMemStore()
		d := newDriver(ctx, t, func() {})
		Expect(d.load()).To(BeTrue())
		reads := t.reads["1"]
		Expect(d.readMissed([]rows.Row{{Key: HomeKey("1"), Value: Withdrawal{}.By("a").HomeValue("c", "a"), Ver: 99}})).To(Succeed())
		Expect(t.reads["1"]).To(Equal(reads))
	})
})
