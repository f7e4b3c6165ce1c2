// SPDX-License-Identifier: Apache-2.0

package uid

import "testing"

func TestNewIsUnique(t *testing.T) {
	seen := make(map[string]bool)
	for range 10_000 {
		s := New()
		if len(s) != 26 || seen[s] {
			t.Fatalf("New() = %q: want 26 characters, different from all earlier results", s)
		}
		seen[s] = true
	}
}
