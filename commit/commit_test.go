// SPDX-License-Identifier: Apache-2.0

package commit_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/commit"
	"dewpass.org/internal/standin"
	"dewpass.org/kind"
	"dewpass.org/ports"
)

func TestJournal(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(30 * time.Second)
	RunSpecs(t, "journal")
}

func put(key, value string) commit.Change {
	return commit.Change{
		Checks: []ports.Check{{Key: key}},
		Puts:   []ports.Put{{Key: key, Value: []byte(value)}},
	}
}

var _ = Describe("the journal", func() {
	var table *standin.Local
	var j *commit.Journal
	BeforeEach(func() {
		table = standin.NewLocal()
		j = commit.New(table, "i", "boot")
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go j.Run(ctx)
	})
	bounded := func(parent context.Context) context.Context {
		ctx, cancel := context.WithTimeout(parent, 400*time.Millisecond)
		DeferCleanup(cancel)
		return ctx
	}

	It("combines many changes into few transactions", func(ctx context.Context) {
		const changes = 200
		slow := func(ports.Txn) error { time.Sleep(5 * time.Millisecond); return nil }
		table.Set(func(l *standin.Local) { l.BeforeCommit = slow })
		var wg sync.WaitGroup
		for i := range changes {
			wg.Add(1)
			go func() {
				defer GinkgoRecover()
				defer wg.Done()
				_, err := j.Commit(ctx, put(fmt.Sprint(i), "v"))
				Expect(err).NotTo(HaveOccurred())
			}()
		}
		wg.Wait()
		Expect(table.Commits()).To(BeNumerically("<", changes/4))
	})

	It("returns a conflict for a change whose check failed, and writes the others", func(ctx context.Context) {
		_, err := j.Commit(ctx, put("k", "first"))
		Expect(err).NotTo(HaveOccurred())
		_, err = j.Commit(ctx, put("k", "second"))
		var c *commit.Conflict
		Expect(errors.As(err, &c)).To(BeTrue())
		Expect(string(c.Rows[0].Value)).To(Equal("first"))
		_, err = j.Commit(ctx, put("other", "v"))
		Expect(err).NotTo(HaveOccurred())
	})

	It("reads back the outcome after a lost reply and writes nothing twice", func(ctx context.Context) {
		var commits atomic.Int32
		table.Set(func(l *standin.Local) {
			l.AfterCommit = func(ports.Txn) error {
				if commits.Add(1)%2 == 1 {
					return kind.New(kind.Lost, "test")
				}
				return nil
			}
		})
		for i := range 6 {
			_, err := j.Commit(ctx, put(fmt.Sprint(i), "v"))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(table.Commits()).To(BeEquivalentTo(6))
	})

	It("recognizes its own transaction when the first copy arrives late", func(ctx context.Context) {
		var late ports.Txn
		first := true
		table.Set(func(l *standin.Local) {
			l.BeforeCommit = func(t ports.Txn) error {
				if first {
					first, late = false, t
					return kind.New(kind.Lost, "test: delayed")
				}
				if late.Puts != nil {
					l.Table.Commit(late)
					late = ports.Txn{}
				}
				return nil
			}
		})
		_, err := j.Commit(ctx, put("k", "v"))
		Expect(err).NotTo(HaveOccurred(), "the late copy is the journal's own transaction, not a conflict")
	})

	It("returns unavailable only for changes that are never written", func(ctx context.Context) {
		table.Set(func(l *standin.Local) {
			l.BeforeCommit = func(ports.Txn) error { return kind.New(kind.Unavailable, "test") }
			l.BeforeRead = func() error { return kind.New(kind.Unavailable, "test") }
		})
		_, err := j.Commit(bounded(ctx), put("a", "v"))
		Expect(kind.Is(err, kind.Unavailable)).To(BeTrue())
		began := time.Now()
		_, err = j.Commit(bounded(ctx), put("b", "v"))
		Expect(kind.Is(err, kind.Unavailable)).To(BeTrue())
		Expect(time.Since(began)).To(BeNumerically("<", 400*time.Millisecond), "refused at once")
		table.Set(func(l *standin.Local) { l.BeforeCommit, l.BeforeRead = nil, nil })
		Eventually(j.Failing).Should(BeFalse(), "the journal probes the table until it answers")
		Expect(table.Table.Get("a", "b")).To(HaveEach(HaveField("Version", BeZero())))
	})

	It("returns lost when it cannot read back the outcome", func(ctx context.Context) {
		table.Set(func(l *standin.Local) {
			l.AfterCommit = func(ports.Txn) error { return kind.New(kind.Lost, "test") }
			l.BeforeRead = func() error { return kind.New(kind.Unavailable, "test") }
		})
		_, err := j.Commit(bounded(ctx), put("a", "v"))
		Expect(kind.Is(err, kind.Lost)).To(BeTrue())
	})

	It("sends no change with a deadline while others know that the table is away", func(ctx context.Context) {
		away := commit.New(table, "i", "away")
		away.TableUnavailable = func() bool { return true }
		running, cancel := context.WithCancel(ctx)
		DeferCleanup(cancel)
		go away.Run(running)
		sent := false
		table.Set(func(l *standin.Local) {
			l.BeforeCommit = func(ports.Txn) error { sent = true; return kind.New(kind.Lost, "test") }
		})
		_, err := away.Commit(bounded(ctx), put("a", "v"))
		Expect(kind.Is(err, kind.Unavailable)).To(BeTrue(), "%v", err)
		Expect(kind.Of(err).Outcome).To(Equal(kind.NotRun))
		Expect(sent).To(BeFalse())
	})
})
