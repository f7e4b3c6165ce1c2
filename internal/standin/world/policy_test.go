// SPDX-License-Identifier: Apache-2.0

package world

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// askPolicy sends a question about one worker and returns the status of the answer.
func askPolicy(c *policyCaller) int {
	out := httptest.NewRecorder()
	c.ServeHTTP(out, httptest.NewRequest(http.MethodPost, "/dewpass/advise", strings.NewReader(`{"step":"f.0.0","workers":["w"]}`)))
	return out.Code
}

// A policy that served all callers one after another would be slower than that of the platform. One
// that served the questions of one caller side by side would hide that steps wait for each other's.
func TestPolicyServesCallersSideBySideAndEachInTurn(t *testing.T) {
	g := NewWithT(t)
	w := &World{}
	p := newPolicy(w, Options{Advice: true, PolicyTime: time.Millisecond})
	busy, free := &policyCaller{policy: p}, &policyCaller{policy: p}
	busy.turn.Lock()
	answered := make(chan int, 1)
	go func() { answered <- askPolicy(busy) }()
	g.Expect(askPolicy(free)).To(Equal(http.StatusOK))
	g.Consistently(answered, 50*time.Millisecond).ShouldNot(Receive())
	busy.turn.Unlock()
	g.Eventually(answered).Should(Receive(Equal(http.StatusOK)))
	g.Expect(p.Requests()).To(Equal(2))
}

func TestPolicyTakesItsTimeForEachWorker(t *testing.T) {
	g := NewWithT(t)
	p := newPolicy(&World{}, Options{Advice: true, PolicyTime: 30 * time.Millisecond, PolicyTimePerWorker: 20 * time.Millisecond})
	begun := time.Now()
	p.answer(&policyQuery{Step: "f.0.0", Workers: []string{"v", "w"}})
	g.Expect(time.Since(begun)).To(BeNumerically(">=", 70*time.Millisecond))
}

func TestPolicyRefusesACallerWithTooManyWaitingRequests(t *testing.T) {
	g := NewWithT(t)
	c := &policyCaller{}
	for range maxPolicyWaiting + 1 {
		g.Expect(c.enter()).To(BeTrue())
	}
	g.Expect(askPolicy(c)).To(Equal(http.StatusTooManyRequests))
	c.leave()
	g.Expect(c.enter()).To(BeTrue())
}
