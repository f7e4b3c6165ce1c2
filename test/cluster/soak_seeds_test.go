// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
)

const (
	// defaultSeeds is the number of seeds that the soak runs without SOAK, as in CI.
	defaultSeeds = 3
	knownRedFile = "../../KNOWN-RED.txt"
)

// soakName returns the name of the spec that runs a seed.
func soakName(seed uint64) string { return fmt.Sprintf("keeps every promise, seed %d", seed) }

// soakSeeds returns the seeds to run: SOAK is "first-last". By default these are the first
// defaultSeeds that are not listed in knownRedFile, because CI skips those that are.
func soakSeeds() []uint64 {
	if out := seedsOf("SOAK"); out != nil {
		return out
	}
	var out []uint64
	listed := knownRedNames()
	for s := uint64(1); len(out) < defaultSeeds; s++ {
		if !slices.Contains(listed, soakName(s)) {
			out = append(out, s)
		}
	}
	return out
}

// seedsOf returns the seeds in an environment variable of the form "first-last", nil if it is not set.
func seedsOf(variable string) (out []uint64) {
	if first, last, ok := strings.Cut(os.Getenv(variable), "-"); ok {
		for s := parseSeed(first); s <= parseSeed(last); s++ {
			out = append(out, s)
		}
	}
	return out
}

// severalCellsSeeds returns the seeds that are run with several cells: those of SOAK_CELLS, or a few.
func severalCellsSeeds() []uint64 {
	if out := seedsOf("SOAK_CELLS"); out != nil {
		return out
	}
	return []uint64{1, 2}
}

// parseSeed panics on an invalid seed: a run of no seeds would look like one without failures.
func parseSeed(text string) uint64 {
	seed, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		panic(fmt.Sprintf("SOAK: %v", err))
	}
	return seed
}

// knownRedNames returns the names of the tests that are known to fail.
func knownRedNames() []string {
	raw, err := os.ReadFile(knownRedFile)
	if err != nil {
		panic(err)
	}
	var out []string
	for line := range strings.Lines(string(raw)) {
		name, _, _ := strings.Cut(line, "|")
		out = append(out, strings.TrimSpace(name))
	}
	return out
}
