// SPDX-License-Identifier: Apache-2.0

package body

import (
	"bytes"
	"io"
)

// maxPrealloc limits the memory that is allocated on the word of a Content-Length header alone.
const maxPrealloc = 64 << 10

// Read reads r to its end. length is the Content-Length of the message, negative if it
// is unknown.
func Read(r io.Reader, length int64) ([]byte, error) {
	var buf bytes.Buffer
	if length > 0 {
		// The spare room lets the last read reach the end without growing the buffer.
		buf.Grow(int(min(length, maxPrealloc)) + bytes.MinRead)
	}
	_, err := buf.ReadFrom(r)
	return buf.Bytes(), err
}
