// SPDX-License-Identifier: Apache-2.0

package hall

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// weight returns the rendezvous weight of a rack at a member.
func weight(rack, member string) uint64 {
	return xxhash.Sum64String(member + "\x00" + rack)
}

// Rank returns the members in order of preference for a task that only one of
// them performs, such as reading the tree. All instances that know the same
// members compute the same order.
func Rank(what string, members []string) []string {
	out := append([]string(nil), members...)
	sort.Slice(out, func(i, j int) bool {
		a, b := weight(what, out[i]), weight(what, out[j])
		if a != b {
			return a > b
		}
		return out[i] < out[j]
	})
	return out
}

// Assign returns the owner of each rack. No member gets more than its share,
// rounded up. A rack stays with its present owner as long as that owner is a
// member and within its share.
func Assign(racks, members []string, present map[string]string) map[string]string {
	out := make(map[string]string, len(racks))
	if len(members) == 0 {
		return out
	}
	share := (len(racks) + len(members) - 1) / len(members)
	load := make(map[string]int, len(members))
	for _, m := range members {
		load[m] = 0
	}
	sorted := append([]string(nil), racks...)
	sort.Strings(sorted)
	for _, r := range sorted {
		owner := present[r]
		if n, ok := load[owner]; ok && n < share {
			load[owner]++
			out[r] = owner
		}
	}
	for _, r := range sorted {
		if out[r] != "" {
			continue
		}
		m := firstBelow(Rank(r, members), load, share)
		load[m]++
		out[r] = m
	}
	balance(out, sorted, members, load)
	return out
}

// firstBelow returns the first of the ranked members that owns less than its share.
func firstBelow(ranked []string, load map[string]int, share int) string {
	for _, m := range ranked {
		if load[m] < share {
			return m
		}
	}
	return ranked[0]
}

// balance moves racks from the most loaded member to the least loaded one until
// their loads differ by at most one, so that a new member gets its share.
func balance(out map[string]string, racks, members []string, load map[string]int) {
	for {
		most, least := extremes(members, load)
		if load[most]-load[least] < 2 {
			return
		}
		var best string
		for _, r := range racks {
			if out[r] == most && (best == "" || weight(r, least) > weight(best, least)) {
				best = r
			}
		}
		out[best] = least
		load[most]--
		load[least]++
	}
}

// extremes returns the members with the most and the fewest racks.
func extremes(members []string, load map[string]int) (most, least string) {
	sorted := append([]string(nil), members...)
	sort.Strings(sorted)
	most, least = sorted[0], sorted[0]
	for _, m := range sorted {
		if load[m] > load[most] {
			most = m
		}
		if load[m] < load[least] {
			least = m
		}
	}
	return most, least
}
