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

// gate is an output that takes nothing until it is opened.
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	text strings.Builder
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(p)
}

func (g *gate) String() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.String()
}

var _ = Describe("a log that nobody reads", func() {
	It("holds nobody up, and keeps last words", func() {
		g := &gate{open: make(chan struct{})}
		var dropped atomic.Int64
		w := New(g, func() { dropped.Add(1) })
		begun := time.Now()
		for i := range 10 * Size {
			fmt.Fprintf(w, `{"event":"start","n":%d}`+"\n", i)
		}
		fmt.Fprint(w, `{"event":"job_ended","last":true}`+"\n")
		Expect(time.Since(begun)).To(BeNumerically("<", time.Second))
		Expect(dropped.Load()).To(BeNumerically(">", 8*Size))
		close(g.open)
		Eventually(g.String).Should(ContainSubstring("log_dropped"))
		Expect(g.String()).To(ContainSubstring("job_ended"))
		w.Close()
	})
})
