// SPDX-License-Identifier: Apache-2.0

package front

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/kind"
	"dewpass.org/tree"
)

func TestFront(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "front")
}

var _ = Describe("a request", func() {
	DescribeTable("with a fault is refused with the kind and path of the fault",
		func(raw string, k kind.Kind, path string) {
			_, err := parseRequest([]byte(raw))
			Expect(kind.Of(err).Kind).To(Equal(k))
			Expect(err.Error()).To(ContainSubstring(path))
			Expect(kind.Of(err).Outcome).To(Equal(kind.NotRun))
		},
		Entry("truncated", `{"workload":"a","sho`, kind.BadRequest, "line 1"),
		Entry("empty", ``, kind.BadRequest, "not valid JSON"),
		Entry("two documents", `{"workload":"a","shop":"s"}{}`, kind.BadRequest, "not valid JSON"),
		Entry("an unknown field", `{"workload":"a","shop":"s","colour":1}`, kind.BadRequest, "colour"),
		Entry("a wrong unit", `{"workload":"a","shop":"s","deadline_ms":"5s"}`, kind.BadRequest, "/deadline_ms"),
		Entry("out of range", `{"workload":"a","shop":"s","deadline_ms":-5}`, kind.BadRequest, "/deadline_ms"),
		Entry("no time at all", `{"workload":"a","shop":"s","deadline_ms":0}`, kind.BadRequest, "/deadline_ms"),
		Entry("no shop", `{"workload":"a"}`, kind.BadRequest, "shop"),
		Entry("a shop with a slash", `{"workload":"a","shop":"a/b"}`, kind.BadRequest, "/shop"),
		Entry("a deadline that is no time", `{"workload":"a","shop":"s","deadline":"tomorrow"}`, kind.BadRequest, "/"),
	)

	It("of the usual form is validated without the schema", func() {
		for _, raw := range []string{`{"workload":"a","shop":"s"}`, `{"workload":"a","shop":"s","key":"k","deadline_ms":5}`} {
			var req request
			Expect(json.Unmarshal([]byte(raw), &req)).To(Succeed())
			Expect(quicklyValid(&req)).To(BeTrue(), raw)
		}
	})

	It("of another content type, or too large, is refused", func() {
		r, _ := http.NewRequest(http.MethodPost, "/", strings.NewReader("{}"))
		_, err := decodeRequest(r)
		Expect(kind.Is(err, kind.ContentType)).To(BeTrue())
		r, _ = http.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat(" ", maxBody+1)))
		r.Header.Set("Content-Type", "application/json; charset=utf-8")
		_, err = decodeRequest(r)
		Expect(kind.Is(err, kind.TooLarge)).To(BeTrue())
	})

	It("is refused if it has expired, or if it must not be repeated and has no key", func() {
		c := &tree.Compiled{Workloads: map[string]*tree.Workload{"w": {Path: "w", Kind: tree.Call, Repeat: "never"}}}
		now := time.Now()
		_, err := (&request{Workload: "w"}).bind(c, now, tree.Call)
		Expect(kind.Of(err).Path).To(Equal("/key"))
		past := now.Add(-time.Second)
		_, err = (&request{Workload: "w", Key: "k", Expires: &past}).bind(c, now, tree.Call)
		Expect(kind.Is(err, kind.Deadline)).To(BeTrue())
		_, err = (&request{Workload: "v"}).bind(c, now, tree.Call)
		Expect(kind.Is(err, kind.UnknownWorkload)).To(BeTrue())
		_, err = (&request{Workload: "w", Key: "k"}).bind(c, now, tree.Batch)
		Expect(kind.Of(err).Path).To(Equal("/workload"))
	})
})

var _ = Describe("the retry budget", func() {
	It("admits one retry per two first tries in the long run", func() {
		var b retryBudget
		for range maxRetryTokens * 4 {
			b.addFirstTry()
			b.takeRetry()
		}
		further := 0
		for range 1000 {
			b.addFirstTry()
			if b.takeRetry() {
				further++
			}
		}
		Expect(further).To(BeNumerically("~", 1000*retriesPerFirstTry, 2))
	})
})

func FuzzRequest(f *testing.F) {
	f.Add([]byte(`{"workload":"a","shop":"s","key":"k","deadline_ms":5,"payload":{"a":[1]}}`))
	f.Add([]byte(`{"workload":"a","shop":"s","expires":"2026-01-01T00:00:00Z"}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		req, err := parseRequest(raw)
		if err == nil && (req.Workload == "" || req.Account == "" || strings.ContainsAny(req.Account+req.Key, "/ ")) {
			t.Fatalf("accepted %q", raw)
		}
		if err != nil && kind.Of(err).Outcome != kind.NotRun {
			t.Fatalf("outcome of %v is not not_run", err)
		}
	})
}
