// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"bytes"
	"context"
	"errors"
	"strings"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/rows"
	"dewpass.org/telemetry"
)

// sizedStore answers every call with a result of a known size.
type sizedStore struct{ err error }

func (s sizedStore) Tx(context.Context, rows.Tx) (rows.Result, error) {
	return rows.Result{Bytes: 7}, s.err
}

func (s sizedStore) Get(context.Context, rows.Range) (rows.Page, error) {
	return rows.Page{Bytes: 100}, s.err
}

func (s sizedStore) Feed(context.Context, rows.FeedQuery) (rows.Page, error) {
	return rows.Page{Bytes: 10}, s.err
}

// Guards against load on the store of which nobody can tell from where it comes.
var _ = Describe("the store traffic of an instance", func() {
	It("is logged by operation and table, in one line however many calls there were", func(ctx context.Context) {
		var out bytes.Buffer
		kit := telemetry.NewNop()
		traffic := newStoreTraffic(log.NewLogfmtLogger(&out), kit.Scope)
		use := func(s rows.Store) {
			_, _ = s.Get(ctx, rows.Range{Table: "a"})
			_, _ = s.Get(ctx, rows.Range{Table: "b"})
			_, _ = s.Feed(ctx, rows.FeedQuery{Table: "a"})
			_, _ = s.Tx(ctx, rows.Tx{Put: []rows.Row{{Key: rows.Key{Table: "b"}}}})
		}
		for range 50 {
			use(countedStore{sizedStore{}, telemetry.NewCallMetrics(kit.Scope, "store"), traffic, newBadRows(kit)})
		}
		use(countedStore{sizedStore{errors.New("away")}, telemetry.NewCallMetrics(kit.Scope, "store"), traffic, newBadRows(kit)})
		traffic.logOnce()
		traffic.logOnce()
		Expect(strings.Count(out.String(), "\n")).To(Equal(1), "nothing was called before the second line")
		for _, field := range []string{`get_a="51 1 5100"`, `get_b="51 1 5100"`, `feed_a="51 1 510"`, `tx_b="51 1 357"`} {
			Expect(out.String()).To(ContainSubstring(field))
		}
	})
})
