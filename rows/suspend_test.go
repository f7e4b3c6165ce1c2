// SPDX-License-Identifier: Apache-2.0

//go:build faults

package rows

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dewpass.org/internal/clock"
)

func TestSuspensionInvalidatesEarlierResponses(t *testing.T) {
	g := NewWithT(t)
	c := &Client{Direct: &fakeStore{}, Now: clock.Now}
	_, err := c.Get(context.Background(), Range{Table: "t"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Reachable()).To(BeTrue())
	clock.Sleep(3 * time.Second)
	g.Expect(c.Reachable()).To(BeFalse())
	g.Expect(c.DirectlyReachable()).To(BeFalse())
}
