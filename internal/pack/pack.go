// SPDX-License-Identifier: Apache-2.0

// Package pack compresses JSON texts that are stored or sent. A text that is not compressed remains
// readable: earlier versions wrote it that way, and short texts are not worth the time.
package pack

import (
	"bytes"
	"compress/gzip"
	"io"

	"dewpass.org/kind"
)

// MaxBytes limits the size of a decompressed text. It is several times that of the longest one.
const MaxBytes = 64 << 20

// gzipMagic is the prefix of compressed texts. JSON never begins with it.
var gzipMagic = []byte{0x1f, 0x8b}

// Compress compresses a text.
func Compress(raw []byte) []byte {
	var buf bytes.Buffer
	// Writing to a Buffer does not fail, and the level is valid.
	w, _ := gzip.NewWriterLevel(&buf, gzip.BestSpeed)
	_, _ = w.Write(raw)
	_ = w.Close()
	return buf.Bytes()
}

// Decompress returns the text that Compress was given, and a text that is not compressed unchanged.
func Decompress(packed []byte) ([]byte, error) {
	if !bytes.HasPrefix(packed, gzipMagic) {
		return packed, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, kind.Wrap(kind.Damaged, err, "decompress")
	}
	raw, err := io.ReadAll(io.LimitReader(r, MaxBytes+1))
	switch {
	case err != nil:
		return nil, kind.Wrap(kind.Damaged, err, "decompress")
	case len(raw) > MaxBytes:
		return nil, kind.New(kind.Damaged, "the decompressed text is too long")
	}
	return raw, nil
}
