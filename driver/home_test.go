// SPDX-License-Identifier: Apache-2.0

package driver

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"dewpass.org/flow"
)

// Guards against a home row in which an earlier build finds more than the cells: it would wait for
// the owner of each before it cancels the job.
func TestHomeRowsAreReadByEarlierBuildsAndTheirsAreRead(t *testing.T) {
	g := NewWithT(t)
	for _, account := range []string{"", "a", "account with spaces", strings.Repeat("long", 100), "\xff\r"} {
		spec := &flow.Spec{ID: "1", Cell: "cell-0", Shares: []string{"cell-1"}, Account: account}
		exclusive, public := HomeValue(spec), PublicHomeValue(spec)
		for _, value := range [][]byte{exclusive, public} {
			// An earlier build decodes the row in this way.
			g.Expect(strings.Fields(string(value))).To(Equal([]string{"cell-0", "cell-1"}))
			g.Expect(HomeAccess(value).Known()).To(BeTrue())
			g.Expect(HomeAccess(value).Permits(account)).To(BeTrue())
			g.Expect(len(value)).To(BeNumerically("<=", len("cell-0 cell-1")+1+fingerprintSize*digitsPerByte))
		}
		g.Expect(HomeAccess(exclusive).Permits("b")).To(Equal(account == ""))
		g.Expect(HomeAccess(public).Permits("b")).To(BeTrue())
	}
	for _, earlier := range []string{"", "cell-0", "cell-0 cell-1", "cell-0\r\t", "cell-0\r" + strings.Repeat("x", fingerprintSize*digitsPerByte)} {
		g.Expect(HomeAccess([]byte(earlier))).To(Equal(Access{}), "%q", earlier)
		g.Expect(HomeAccess([]byte(earlier)).Permits("")).To(BeFalse())
	}
}

// FuzzHomeRow decodes arbitrary home rows. The cells must be those that an earlier build finds, and
// an account that is decoded must be encoded in the same way.
func FuzzHomeRow(f *testing.F) {
	f.Add([]byte("cell-0"))
	f.Add([]byte("cell-0 cell-1\r"))
	f.Add(HomeValue(&flow.Spec{Cell: "cell-0", Account: "a"}))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if got, want := HomeCells(raw), strings.Fields(string(raw)); strings.Join(got, "/") != strings.Join(want, "/") {
			t.Fatalf("cells %q, an earlier build finds %q", got, want)
		}
		a := HomeAccess(raw)
		if a.Known() && !strings.HasSuffix(string(raw), string(a.encode())) {
			t.Fatalf("%q is decoded as %+v, which is encoded as %q", raw, a, a.encode())
		}
		if !a.Known() && (a.Exclusive() || a.Permits("")) {
			t.Fatalf("%q permits an account that it does not name", raw)
		}
	})
}
