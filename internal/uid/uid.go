// SPDX-License-Identifier: Apache-2.0

// Package uid makes identifiers that no two processes share.
//
// The library's own ulid.Make draws from a generator that is seeded with the time
// of day in nanoseconds. Instances that are started together may read the same
// time, and then draw the same identifiers for as long as they call in step. What
// is compared across processes (who holds a cell lease, whose write it was) must not
// hang on that, so New draws from the system's source.
package uid

import (
	"crypto/rand"

	"github.com/oklog/ulid/v2"
)

// New returns a ULID of 26 characters: the time in milliseconds, then 80 random
// bits. Two of one millisecond are in no order.
func New() string { return ulid.MustNew(ulid.Now(), rand.Reader).String() }
