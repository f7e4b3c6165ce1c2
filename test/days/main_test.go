// SPDX-License-Identifier: Apache-2.0

package main

import (
	"os"
	"strings"
	"testing"
)

func TestDaysRepeat(t *testing.T) {
	dir := t.TempDir()
	if err := write(dir, 3, 7); err != nil {
		t.Fatal(err)
	}
	files, err := os.ReadDir(dir)
	if err != nil || len(files) != len(known)+3 {
		t.Fatalf("%d files, %v; want %d", len(files), err, len(known)+3)
	}
	_, first := pair(7)
	if _, again := pair(7); again != first {
		t.Error("the same seed drew another day")
	}
	if _, other := pair(8); strings.Count(other, "kind =") < 3 {
		t.Errorf("a pair holds a change of the configuration and two disruptions:\n%s", other)
	}
}
