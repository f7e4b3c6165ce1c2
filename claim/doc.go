// SPDX-License-Identifier: Apache-2.0

// Package claim implements the lease by which a cell has at most one owner.
//
// The lease is one row of the store (Lease). It names the owner and the epoch,
// which rises with each change of owner. The owner rewrites the lease in the same
// transaction as everything else that it writes, on the condition that the row's
// version has not changed. This has three effects:
//
//   - writes of a former owner are refused, however late they arrive;
//   - a write whose response was lost can be resolved by reading the lease back:
//     either it bears the mark of that write, or the same write is sent again, and
//     at most one of the two can take effect;
//   - other instances see that the owner is alive and for how long its lease is
//     valid. The lease records the store's own time of the write, so a single read
//     shows how long ago it was last written.
//
// An owner that does not reach the store gives orders after its lease has expired only while no other
// instance can have taken the cell. Peers decides that for the owner, by what the others answer;
// Contests is what each instance answers. docs/design/takeover.md says why that is enough.
package claim
