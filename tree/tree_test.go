// SPDX-License-Identifier: Apache-2.0

package tree_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"dewpass.org/internal/standin"
	"dewpass.org/kind"
	"dewpass.org/ports"
	"dewpass.org/sched"
	"dewpass.org/tree"
)

func TestTree(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tree")
}

const sampleDoc = `{
  "settings": {"kind": "call", "cpu": "500m", "memory": "1GiB", "deadline": "2s"},
  "branches": {
    "a": {"settings": {"class": "urgent", "quota": {"cpu": "8"}}, "branches": {"x": {}, "y": {"settings": {"cpu": "2"}}}},
    "b": {}
  }
}`

func parse(raw string) *tree.Doc {
	d, err := tree.Parse([]byte(raw))
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return d
}

var _ = Describe("a document", func() {
	It("resolves each value and reports the branch that sets it", func() {
		c, err := tree.Compile(parse(sampleDoc), 7)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.WorkloadPaths()).To(Equal([]string{"a/x", "a/y", "b"}))
		y := c.Workloads["a/y"]
		Expect(y.Team).To(Equal("a"))
		Expect(y.Class).To(Equal(sched.Urgent))
		Expect(y.Demand).To(Equal(sched.Vec{2000, 1024, 0, 1, 1}))
		Expect(y.Values["cpu"].From).To(Equal("a/y"))
		Expect(y.Values["class"].From).To(Equal("a"))
		Expect(y.Values["memory"].From).To(Equal(""))
		Expect(y.Values["retries"].From).To(Equal("default"))
		Expect(c.Workloads["a/x"].Demand[sched.MilliCPU]).To(BeEquivalentTo(500))
	})

	It("is accepted in each of the example files", func() {
		for _, name := range []string{"comhar-dathanna", "kartvela"} {
			raw, err := os.ReadFile("../examples/" + name + ".json")
			Expect(err).NotTo(HaveOccurred())
			Expect(parse(string(raw))).NotTo(BeNil())
		}
	})

	DescribeTable("is refused with the path of each fault",
		func(raw string, paths ...string) {
			_, err := tree.Parse([]byte(raw))
			Expect(kind.Is(err, kind.BadTree)).To(BeTrue())
			for _, p := range paths {
				Expect(err.Error()).To(ContainSubstring(p))
			}
		},
		Entry("not JSON", "{\n\"settings\": {,}}", "line 2"),
		Entry("an unknown setting", `{"settings":{"colour":"red"}}`, "/settings", "colour"),
		Entry("a wrong unit", `{"branches":{"a":{"settings":{"memory":"5GB"}}}}`, "/branches/a/settings/memory"),
		Entry("out of range", `{"settings":{"connections":65}}`, "/settings/connections"),
		Entry("a wrong type", `{"settings":{"queue":"ten"}}`, "/settings/queue"),
		Entry("an unknown time zone", `{"settings":{"kind":"batch","cpu":"1","memory":"1GiB","window":{"from":"06:00","to":"07:00","zone":"Asia/Tiflis2"}},"branches":{"a":{}}}`, "/branches/a/settings/window"),
		Entry("a reference to an unknown hall", `{"settings":{"halls":["h1"],"lost":["h2"]}}`, "/settings/lost", "h2"),
		Entry("a root-only setting in a branch", `{"branches":{"a":{"settings":{"halls":["h1"]}}}}`, "/branches/a/settings/halls"),
		Entry("a call without a deadline", `{"branches":{"a":{"settings":{"kind":"call","cpu":"1","memory":"1GiB"}}}}`, "/branches/a"),
		Entry("three faults at once", `{"settings":{"queue":0,"class":"big","cpu":"x"}}`, "/settings/queue", "/settings/class", "/settings/cpu"),
	)

	It("equals another one once the diff between the two is applied", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			doc := parse(sampleDoc)
			names := []string{"a.class", "a/x.cpu", "a/y.cpu", "b.memory", ".deadline"}
			values := map[string][]string{
				"a.class": {`"bulk"`, `"urgent"`}, "a/x.cpu": {`"1"`, `"3"`}, "a/y.cpu": {`"1"`, `"4"`},
				"b.memory": {`"2GiB"`, `"64MiB"`}, ".deadline": {`"1s"`, `"3s"`},
			}
			next := doc
			for range rapid.IntRange(1, 6).Draw(t, "edits") {
				p := rapid.SampledFrom(names).Draw(t, "path")
				v := rapid.SampledFrom(values[p]).Draw(t, "value")
				var err error
				next, err = next.Apply([]tree.Op{{Path: p, Value: json.RawMessage(v)}})
				if err != nil {
					t.Fatal(err)
				}
			}
			var ops []tree.Op
			for _, ch := range tree.Diff(doc, next) {
				ops = append(ops, tree.Op{Path: ch.Path, Value: ch.To})
			}
			again, err := doc.Apply(ops)
			if err != nil || len(tree.Diff(again, next)) > 0 {
				t.Fatalf("differs after %v: %v", ops, err)
			}
		})
	})
})

var _ = Describe("paths", func() {
	DescribeTable("overlap when they can touch the same value",
		func(a, b string, overlap bool) {
			p, err := tree.ParsePath(a)
			Expect(err).NotTo(HaveOccurred())
			q, err := tree.ParsePath(b)
			Expect(err).NotTo(HaveOccurred())
			Expect(p.Overlaps(q)).To(Equal(overlap))
			Expect(q.Overlaps(p)).To(Equal(overlap))
		},
		Entry(nil, "a.cpu", "a.cpu", true),
		Entry(nil, "a.cpu", "a.memory", false),
		Entry(nil, "a.cpu", "a/x.cpu", false),
		Entry(nil, "a", "a/x.cpu", true),
		Entry(nil, "a/x", "a/y", false),
		Entry(nil, "", "b.cpu", true),
		Entry(nil, ".cpu", "b.cpu", false),
	)
})

var _ = Describe("a window", func() {
	It("extends past midnight and follows the wall clock across daylight saving changes", func() {
		raw := `{"settings":{"kind":"batch","cpu":"1","memory":"1GiB","window":{"from":"20:00","to":"06:00","zone":"Europe/Dublin"}},"branches":{"n":{}}}`
		c, err := tree.Compile(parse(raw), 1)
		Expect(err).NotTo(HaveOccurred())
		w := c.Workloads["n"].Window
		dublin, err := time.LoadLocation("Europe/Dublin")
		Expect(err).NotTo(HaveOccurred())
		from, to := w.Next(time.Date(2026, 3, 29, 2, 30, 0, 0, dublin))
		Expect(from.In(dublin).Format("02 15:04")).To(Equal("28 20:00"))
		Expect(to.In(dublin).Format("02 15:04")).To(Equal("29 06:00"))
		Expect(to.Sub(from)).To(Equal(9*time.Hour), "the clocks skip an hour in this night")
		from, _ = w.Next(time.Date(2026, 3, 29, 12, 0, 0, 0, dublin))
		Expect(from.In(dublin).Format("02 15:04")).To(Equal("29 20:00"))
	})
})

func op(path, value string) tree.Op { return tree.Op{Path: path, Value: json.RawMessage(value)} }

var _ = Describe("the store", func() {
	var table *standin.Local
	var store tree.Store
	BeforeEach(func(ctx context.Context) {
		table = standin.NewLocal()
		store = tree.Store{Table: table, Now: time.Now}
		_, err := store.Apply(ctx, tree.Edit{ID: "first", Ops: []tree.Op{op("", sampleDoc)}})
		Expect(err).NotTo(HaveOccurred())
	})

	It("accepts an edit on an old version if only other paths have changed", func(ctx context.Context) {
		_, err := store.Apply(ctx, tree.Edit{ID: "e1", Base: 1, Ops: []tree.Op{op("a.class", `"bulk"`)}})
		Expect(err).NotTo(HaveOccurred())
		entry, err := store.Apply(ctx, tree.Edit{ID: "e2", Base: 1, Ops: []tree.Op{op("b.cpu", `"3"`)}})
		Expect(err).NotTo(HaveOccurred())
		Expect(entry.Version).To(BeEquivalentTo(3))
	})

	It("refuses an edit on an old version if the same path has changed, and shows both values", func(ctx context.Context) {
		_, err := store.Apply(ctx, tree.Edit{ID: "e1", Base: 1, Ops: []tree.Op{op("a.class", `"bulk"`)}})
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Apply(ctx, tree.Edit{ID: "e2", Base: 1, Ops: []tree.Op{op("a.class", `"standard"`)}})
		Expect(kind.Is(err, kind.Conflict)).To(BeTrue())
		Expect(err.Error()).To(And(ContainSubstring(`"bulk"`), ContainSubstring(`"standard"`), ContainSubstring("a.class")))
	})

	It("commits an edit once if the table's reply is lost", func(ctx context.Context) {
		lost := 0
		table.Set(func(l *standin.Local) {
			l.AfterCommit = func(ports.Txn) error {
				lost++
				if lost == 1 {
					return kind.New(kind.Lost, "test")
				}
				return nil
			}
		})
		entry, err := store.Apply(ctx, tree.Edit{ID: "e1", Base: 1, Ops: []tree.Op{op("b.cpu", `"3"`)}})
		Expect(err).NotTo(HaveOccurred())
		Expect(entry.Version).To(BeEquivalentTo(2))
		again, err := store.Apply(ctx, tree.Edit{ID: "e1", Base: 1, Ops: []tree.Op{op("b.cpu", `"3"`)}})
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Version).To(Equal(entry.Version))
	})

	It("keeps every accepted edit when operators edit concurrently", func(ctx context.Context) {
		results := make(chan error)
		const editors = 8
		for i := range editors {
			go func() {
				path := fmt.Sprintf("n%d.cpu", i)
				_, err := store.Apply(ctx, tree.Edit{ID: path, Base: 1, Ops: []tree.Op{op(path, `"1"`)}})
				results <- err
			}()
		}
		for range editors {
			Expect(<-results).To(Succeed())
		}
		head, err := store.Load(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(head.Version).To(BeEquivalentTo(1 + editors))
	})

	It("never installs a lower version in a register", func() {
		var r tree.Register
		install := func(v uint64) bool {
			ok, err := r.InstallHead(tree.Head{Version: v, Doc: json.RawMessage(sampleDoc)})
			Expect(err).NotTo(HaveOccurred())
			return ok
		}
		Expect(install(3)).To(BeTrue())
		Expect(install(2)).To(BeFalse())
		Expect(install(3)).To(BeFalse())
		Expect(r.Install(&tree.Compiled{Version: 2})).To(BeFalse(), "also without the version check of InstallHead")
		Expect(r.Current().Version).To(BeEquivalentTo(3))
	})
})

func FuzzParse(f *testing.F) {
	f.Add([]byte(sampleDoc))
	f.Add([]byte(`{"settings":{"window":{"from":"20:00","to":"06:00","zone":"UTC"}}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		d, err := tree.Parse(raw)
		if err != nil {
			return
		}
		again, err := json.Marshal(d)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := tree.Parse(again); err != nil {
			t.Fatalf("accepted, but refused once re-encoded: %v", err)
		}
	})
}
