// SPDX-License-Identifier: Apache-2.0

package world

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"
)

// A worker that lists all of its ends at once hides an owner that concludes too much from a part of
// them.
func TestWorkerListsItsEndsInPages(t *testing.T) {
	g := NewWithT(t)
	n := (&World{Book: newBook(), stop: make(chan struct{})}).makeWorker("north", 0)
	for i := range maxEndsListed + 1 {
		n.ends = append(n.ends, end{number: i + 1, entry: &Entry{}})
	}
	hold := func(observed int) [][]any {
		n.reportedEnd[0] = observed
		_, a := n.handle("/dewpass/hold", &order{Observed: observed})
		return a.Finished
	}
	g.Expect(hold(0)).To(HaveLen(maxEndsListed))
	g.Expect(hold(0)[0][0]).To(Equal(1), "nothing was forgotten")
	g.Expect(hold(maxEndsListed)).To(HaveLen(1))
}

// A store that takes rows of any length hides records that grow beyond what the platform accepts.
func TestStoreRefusesWhatIsTooLong(t *testing.T) {
	long := func(n int) []byte { return bytes.Repeat([]byte("x"), n) }
	repeat := func(n, size int) []storeRow {
		rows := make([]storeRow, n)
		for i := range rows {
			rows[i] = storeRow{Table: "t", Key: string(rune('a' + i)), Value: long(size)}
		}
		return rows
	}
	for name, c := range map[string]struct {
		tx    storeTx
		valid bool
	}{
		"largest row":    {storeTx{Put: repeat(1, maxRowBytes)}, true},
		"row":            {storeTx{Put: repeat(1, maxRowBytes+1)}, false},
		"key":            {storeTx{Remove: []storeRow{{Table: "t", Key: string(long(maxNameBytes + 1))}}}, false},
		"transaction":    {storeTx{Put: repeat(maxTxBytes/maxRowBytes+1, maxRowBytes)}, false},
		"number of rows": {storeTx{Put: repeat(maxTxRows+1, 1)}, false},
	} {
		t.Run(name, func(t *testing.T) { NewWithT(t).Expect(validTx(&c.tx)).To(Equal(c.valid)) })
	}
}

func TestStoreReturnsRowsInPages(t *testing.T) {
	g := NewWithT(t)
	half := storeRow{Value: make([]byte, pageBytes/2)}
	g.Expect(firstPage([]storeRow{half, half, half}, pageRows)).To(HaveLen(2))
	g.Expect(firstPage(make([]storeRow, pageRows+1), pageRows)).To(HaveLen(pageRows))
}
