// SPDX-License-Identifier: Apache-2.0

package stall

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var limits = Limits{FirstByte: 300 * time.Millisecond, Gap: 300 * time.Millisecond, Total: time.Minute}

func TestSlowAnswerIsNotCancelled(t *testing.T) {
	g := NewWithT(t)
	progress := 0
	ctx, cancel := Context(context.Background(), limits, func() { progress++ })
	defer cancel()
	// Ten times the limit on a gap between bytes.
	for range 60 {
		time.Sleep(50 * time.Millisecond)
		Progress(ctx)
	}
	g.Expect(ctx.Err()).NotTo(HaveOccurred())
	g.Expect(progress).To(Equal(60))
}

func TestCallWithoutProgressIsCancelled(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := Context(context.Background(), limits, nil)
	defer cancel()
	g.Eventually(ctx.Done(), 2*time.Second).Should(BeClosed(), "no first byte")
	g.Expect(context.Cause(ctx)).To(MatchError(context.DeadlineExceeded))

	ctx, cancel = Context(context.Background(), limits, nil)
	defer cancel()
	Progress(ctx)
	g.Eventually(ctx.Done(), 2*time.Second).Should(BeClosed(), "no byte after the first")
	Progress(ctx)
	g.Consistently(ctx.Err).Should(HaveOccurred(), "later progress does not revive the call")
}

func TestTotalTimeIsBounded(t *testing.T) {
	g := NewWithT(t)
	l := limits
	l.Total = 500 * time.Millisecond
	ctx, cancel := Context(context.Background(), l, nil)
	defer cancel()
	begun := time.Now()
	for ctx.Err() == nil && time.Since(begun) < 5*time.Second {
		time.Sleep(20 * time.Millisecond)
		Progress(ctx)
	}
	g.Expect(ctx.Err()).To(HaveOccurred())
}

func TestReaderReportsProgress(t *testing.T) {
	g := NewWithT(t)
	progress := 0
	ctx, cancel := Context(context.Background(), limits, func() { progress++ })
	defer cancel()
	_, err := io.ReadAll(Reader(ctx, strings.NewReader("abc")))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(progress).To(Equal(1))
	Progress(context.Background())
}
