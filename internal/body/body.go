// SPDX-License-Identifier: Apache-2.0

package body

import (
	"bytes"
	"io"
)

// sizeMost bounds the memory that is set aside because a header says so.
const sizeMost = 64 << 10

// Read reads r to its end. length is what the message says of its length, below
// zero if it says nothing.
func Read(r io.Reader, length int64) ([]byte, error) {
	var buf bytes.Buffer
	if length > 0 {
		// Room beyond the end lets the last read find it without growing.
		buf.Grow(int(min(length, sizeMost)) + bytes.MinRead)
	}
	_, err := buf.ReadFrom(r)
	return buf.Bytes(), err
}
