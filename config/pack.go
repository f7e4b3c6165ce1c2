// SPDX-License-Identifier: Apache-2.0

package config

import (
	"bytes"
	"compress/gzip"
	"io"

	"dewpass.org/kind"
)

// unpackedMost bounds what a packed document may grow to. It is several times what the
// store can hold in a row.
const unpackedMost = 64 << 20

func pack(raw []byte) []byte {
	var buf bytes.Buffer
	// Writing to a Buffer does not fail, and the level is valid.
	w, _ := gzip.NewWriterLevel(&buf, gzip.BestSpeed)
	_, _ = w.Write(raw)
	_ = w.Close()
	return buf.Bytes()
}

// gzipMagic is how compressed documents begin, and JSON does not.
var gzipMagic = []byte{0x1f, 0x8b}

// Unpack returns the document that Packed has compressed. One that is not compressed is
// returned as it is: instances of before send it so.
func Unpack(packed []byte) ([]byte, error) {
	if !bytes.HasPrefix(packed, gzipMagic) {
		return packed, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, kind.Wrap(kind.Damaged, err, "packed configuration")
	}
	raw, err := io.ReadAll(io.LimitReader(r, unpackedMost+1))
	switch {
	case err != nil:
		return nil, kind.Wrap(kind.Damaged, err, "packed configuration")
	case len(raw) > unpackedMost:
		return nil, kind.New(kind.Damaged, "packed configuration is too large")
	}
	return raw, nil
}
