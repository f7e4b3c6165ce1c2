// SPDX-License-Identifier: Apache-2.0

package kind_test

import (
	"context"
	"testing"

	"github.com/go-faster/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/kind"
	"dewpass.org/wire"
)

func TestKind(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "kind")
}

var _ = Describe("kinds", func() {
	It("each have a complete row and a unique name", func() {
		names := map[string]bool{}
		for _, k := range kind.All() {
			row := k.Row()
			Expect(row.Name).NotTo(BeEmpty())
			Expect(names).NotTo(HaveKey(row.Name))
			names[row.Name] = true
			Expect(row.Status).To(BeNumerically(">=", 400))
			Expect(row.Exit).To(BeNumerically(">", 0))
			Expect(kind.Parse(row.Name)).To(Equal(k))
			if row.Retry {
				Expect(row.Outcome).NotTo(Equal(kind.Ran))
			}
		}
	})

	It("report outcome unknown for errors without a kind", func() {
		Expect(kind.Of(errors.New("x")).Outcome).To(Equal(kind.Unknown))
		Expect(kind.Of(context.DeadlineExceeded).Kind).To(Equal(kind.Lost))
	})

	It("are unchanged by encoding and decoding between instances", func() {
		e := kind.At(kind.Deadline, "/p", "d").WithRetryAfter(1500000000)
		e.WithUnknownOutcome("id")
		Expect(wire.ErrorOf(wire.ToError(errors.Wrap(e, "outer")))).To(Equal(e))
	})
})
