// SPDX-License-Identifier: Apache-2.0

package config

import (
	"bytes"
	"compress/gzip"
	"io"

	"dewpass.org/kind"
)

// maxDecompressedBytes bounds the size of a decompressed document. It is several times the maximum
// size of a row in the store.
const maxDecompressedBytes = 64 << 20

func compress(raw []byte) []byte {
	var buf bytes.Buffer
	// Writing to a Buffer does not fail, and the level is valid.
	w, _ := gzip.NewWriterLevel(&buf, gzip.BestSpeed)
	_, _ = w.Write(raw)
	_ = w.Close()
	return buf.Bytes()
}

// gzipMagic is the prefix of compressed documents. JSON never begins with it.
var gzipMagic = []byte{0x1f, 0x8b}

// Decompress decompresses a document that was returned by Compressed. A document that is not
// compressed is returned unchanged, because older versions of dewpass send it that way.
func Decompress(packed []byte) ([]byte, error) {
	if !bytes.HasPrefix(packed, gzipMagic) {
		return packed, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, kind.Wrap(kind.Damaged, err, "decompress configuration")
	}
	raw, err := io.ReadAll(io.LimitReader(r, maxDecompressedBytes+1))
	switch {
	case err != nil:
		return nil, kind.Wrap(kind.Damaged, err, "decompress configuration")
	case len(raw) > maxDecompressedBytes:
		return nil, kind.New(kind.Damaged, "decompressed configuration is too large")
	}
	return raw, nil
}
