// SPDX-License-Identifier: Apache-2.0

package config

import (
	"bytes"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"dewpass.org/internal/pack"
)

func TestCompressedDocumentIsSmallAndComplete(t *testing.T) {
	g := NewWithT(t)
	var raw bytes.Buffer
	for i := range 4000 {
		fmt.Fprintf(&raw, `{"name":"r-%x","host":"jobs.example","path_prefix":"/%x/","backend":"pool","max_attempts":2},`, i*7919, i*104729)
	}
	c := &Config{Raw: raw.Bytes()}
	packed := c.Compressed()
	g.Expect(len(packed)).To(BeNumerically("<", raw.Len()/3))
	back, err := pack.Decompress(packed)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(back).To(Equal(raw.Bytes()))
}

func TestDecompressRejectsTruncatedAndOversizedDocuments(t *testing.T) {
	g := NewWithT(t)
	_, err := pack.Decompress((&Config{Raw: []byte("{}")}).Compressed()[:2])
	g.Expect(err).To(HaveOccurred())
	_, err = pack.Decompress((&Config{Raw: []byte("{}")}).Compressed()[:12])
	g.Expect(err).To(HaveOccurred())
	_, err = pack.Decompress((&Config{Raw: make([]byte, pack.MaxBytes+1)}).Compressed())
	g.Expect(err).To(HaveOccurred())
}

func TestDecompressAcceptsAnUncompressedDocument(t *testing.T) {
	g := NewWithT(t)
	raw, err := pack.Decompress([]byte(`{"version":3}`))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(raw)).To(Equal(`{"version":3}`))
}
