// SPDX-License-Identifier: Apache-2.0

// Package uid generates identifiers that are unique across processes.
//
// The library's own ulid.Make uses a generator that is seeded with the time of day
// in nanoseconds. Instances that are started together may read the same time, and
// then generate the same identifiers for as long as their calls coincide.
// Identifiers that are compared across processes (the holder of a cell lease, the
// writer of a row) must not depend on that, so New reads the system's random source.
package uid

import (
	"crypto/rand"

	"github.com/oklog/ulid/v2"
)

// New returns a ULID of 26 characters: the time in milliseconds, then 80 random
// bits. Two of the same millisecond are in no particular order.
func New() string { return ulid.MustNew(ulid.Now(), rand.Reader).String() }
