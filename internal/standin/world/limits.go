// SPDX-License-Identifier: Apache-2.0

package world

// Limits of the platform. A double without them would accept what the platform refuses.
const (
	// maxEndsListed is how many ended runs a worker lists at once. It lists the next ones when it was
	// told to forget these.
	maxEndsListed = 500
	// maxHoldWaitMS is the longest time in milliseconds for which a worker delays its answer.
	maxHoldWaitMS = 2000
	// maxRowBytes limits the value of a row, and maxNameBytes the name of a table and each part of a key.
	maxRowBytes  = 64 << 10
	maxNameBytes = 200
	// maxTxBytes limits the values of a transaction together, maxTxRows the number of its rows.
	maxTxBytes = 1 << 20
	maxTxRows  = 100
	// pageRows and pageBytes limit a page of rows.
	pageRows  = 500
	pageBytes = 1 << 20
	// maxPolicyWorkers is how many workers a request to the policy service may name.
	maxPolicyWorkers = 100
)

// withinLimits reports whether the names and the value of a row are short enough for the store.
func (r *storeRow) withinLimits() bool {
	return len(r.Table) <= maxNameBytes && len(r.Part) <= maxNameBytes && len(r.Key) <= maxNameBytes && len(r.Value) <= maxRowBytes
}

// firstPage returns the rows that fit on one page, at least one, and at most limit.
func firstPage(rows []storeRow, limit int) []storeRow {
	size := 0
	for i := range rows {
		size += len(rows[i].Value)
		if i == limit || (size > pageBytes && i > 0) {
			return rows[:i]
		}
	}
	return rows
}
