// SPDX-License-Identifier: Apache-2.0

package logq

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLogq(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "logq")
}

// blockedOutput is an output whose writes block until open is closed.
type blockedOutput struct {
	open chan struct{}
	mu   sync.Mutex
	text strings.Builder
}

func (g *blockedOutput) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(p)
}

func (g *blockedOutput) String() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.String()
}

var _ = Describe("a log whose output is not read", func() {
	It("does not block its callers, and keeps final lines", func() {
		g := &blockedOutput{open: make(chan struct{})}
		var dropped atomic.Int64
		w := New(g, func() { dropped.Add(1) })
		begun := time.Now()
		for i := range 10 * Capacity {
			fmt.Fprintf(w, `{"event":"start","n":%d}`+"\n", i)
		}
		fmt.Fprint(w, `{"event":"job_ended","last":true}`+"\n")
		Expect(time.Since(begun)).To(BeNumerically("<", time.Second))
		Expect(dropped.Load()).To(BeNumerically(">", 8*Capacity))
		close(g.open)
		Eventually(g.String).Should(ContainSubstring("log_dropped"))
		Expect(g.String()).To(ContainSubstring("job_ended"))
		w.Close()
	})
})
