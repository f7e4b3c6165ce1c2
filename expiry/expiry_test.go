// SPDX-License-Identifier: Apache-2.0

package expiry_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/commit"
	"dewpass.org/expiry"
	"dewpass.org/internal/standin"
	"dewpass.org/job"
	"dewpass.org/kind"
	"dewpass.org/ports"
)

func TestExpiry(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(30 * time.Second)
	RunSpecs(t, "expiry")
}

// fakeObjects is an object store whose deletes fail while down is set.
type fakeObjects struct {
	standin.Objects
	down bool
}

func (o *fakeObjects) PutObject(_ context.Context, key string, body []byte) error {
	o.Put(key, body)
	return nil
}

func (o *fakeObjects) GetObject(_ context.Context, key string) ([]byte, error) {
	return o.Get(key), nil
}

func (o *fakeObjects) DeleteObject(_ context.Context, key string) error {
	if o.down {
		return kind.New(kind.Unavailable, "test")
	}
	o.Delete(key)
	return nil
}

var _ = Describe("a sweeper", func() {
	var table *standin.Local
	var store *fakeObjects
	var s *expiry.Sweeper
	now := time.Date(2026, 3, 1, 3, 0, 0, 0, time.UTC)
	BeforeEach(func() {
		table, store = standin.NewLocal(), &fakeObjects{}
		j := commit.New(table, "h", "sweeper/boot")
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go j.Run(ctx)
		s = &expiry.Sweeper{Hall: "h", Table: table, Objects: store, Journal: j}
	})
	put := func(puts ...ports.Put) { table.Table.Commit(ports.Txn{Puts: puts}) }
	// add writes the rows and the object of a job as its owner does.
	add := func(id string, state job.State, expires time.Time) {
		row := job.Job{ID: id, Account: "s", Key: "k-" + id, Hall: "h", State: state, Expires: &expires, AnswerObject: "answer/" + id}
		store.Put(row.AnswerObject, []byte("x"))
		put(ports.Put{Key: job.RowKey(id), Value: job.Encode(row)},
			ports.Put{Key: job.RequestKeyRowKey("s", row.Key), Value: job.Encode(job.RequestKey{ID: id})},
			job.ExpiryOf(row).Put())
	}
	keys := func() []string {
		var out []string
		for _, r := range table.Table.Scan("", "", 0) {
			if !strings.HasPrefix(r.Key, commit.Prefix("h")) {
				out = append(out, r.Key)
			}
		}
		return out
	}

	It("removes expired jobs with their keys and objects, page by page, and nothing else", func(ctx context.Context) {
		for i := range 250 {
			add(fmt.Sprintf("due-%03d", i), job.Done, now.Add(-time.Duration(i+1)*time.Second))
		}
		add("later", job.Done, now.Add(time.Second))
		refused := job.Expiry{Hall: "h", At: now.Add(-time.Hour), Account: "s", Key: "refused"}
		put(refused.Put(), ports.Put{Key: job.RequestKeyRowKey("s", "refused"), Value: job.Encode(job.RequestKey{Refused: true})})
		table.Set(func(l *standin.Local) {
			l.BeforeCommit = func(ports.Txn) error { time.Sleep(2 * time.Millisecond); return nil }
		})
		before := table.Commits()
		n, err := s.SweepJobs(ctx, now)
		Expect(err).NotTo(HaveOccurred())
		Expect(n).To(Equal(251))
		Expect(table.Commits()-before).To(BeNumerically("<", 125), "removals share transactions")
		Expect(keys()).To(HaveLen(3), "%v", keys())
		Expect(store.Keys()).To(ConsistOf("answer/later"))
	})

	It("keeps a job that has not ended, and a key that belongs to another request", func(ctx context.Context) {
		add("runs", job.Unknown, now.Add(-time.Hour))
		add("over", job.Done, now.Add(-time.Hour))
		put(ports.Put{Key: job.RequestKeyRowKey("s", "k-over"), Value: job.Encode(job.RequestKey{ID: "another"})})
		_, err := s.SweepJobs(ctx, now)
		Expect(err).NotTo(HaveOccurred())
		Expect(keys()).To(ConsistOf(job.RowKey("runs"), job.RequestKeyRowKey("s", "k-over")))
	})

	It("keeps the rows while their objects cannot be deleted", func(ctx context.Context) {
		add("a", job.Done, now.Add(-time.Hour))
		store.down = true
		_, err := s.SweepJobs(ctx, now)
		Expect(kind.Is(err, kind.Unavailable)).To(BeTrue())
		Expect(keys()).To(HaveLen(3))
		store.down = false
		n, err := s.SweepJobs(ctx, now)
		Expect(err).NotTo(HaveOccurred())
		Expect(n).To(Equal(1))
		Expect(keys()).To(BeEmpty())
	})

	It("removes nothing that is changed concurrently", func(ctx context.Context) {
		add("a", job.Done, now.Add(-time.Hour))
		changed := false
		table.Set(func(l *standin.Local) {
			l.BeforeCommit = func(t ports.Txn) error {
				if !changed {
					changed = true
					put(ports.Put{Key: job.RequestKeyRowKey("s", "k-a"), Value: job.Encode(job.RequestKey{ID: "another"})})
				}
				return nil
			}
		})
		n, err := s.SweepJobs(ctx, now)
		Expect(err).NotTo(HaveOccurred())
		Expect(n).To(BeZero())
		Expect(keys()).To(HaveLen(3))
	})

	It("removes the rows of instances a day after their last use", func(ctx context.Context) {
		seen := func(at time.Time) []byte { return fmt.Appendf(nil, `{"at":%d}`, at.Unix()) }
		nonce := func(at time.Time) []byte {
			id := ulid.MustNew(ulid.Timestamp(at), ulid.DefaultEntropy())
			return []byte(id.String())
		}
		long, short := now.Add(-25*time.Hour), now.Add(-time.Hour)
		put(ports.Put{Key: "member/h/gone", Value: seen(long)}, ports.Put{Key: "member/h/here", Value: seen(short)},
			ports.Put{Key: commit.Prefix("h") + "gone/1", Value: nonce(long)},
			ports.Put{Key: commit.Prefix("h") + "here/1", Value: nonce(short)},
			ports.Put{Key: "member/other/gone", Value: seen(long)})
		n, err := s.SweepInstances(ctx, now)
		Expect(err).NotTo(HaveOccurred())
		Expect(n).To(Equal(2))
		Expect(keys()).To(ConsistOf("member/h/here", "member/other/gone"))
		Expect(table.Table.Get(commit.Prefix("h") + "here/1")[0].Version).NotTo(BeZero())
	})
})
