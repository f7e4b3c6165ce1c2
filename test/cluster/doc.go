// SPDX-License-Identifier: Apache-2.0

// Package cluster holds the tests of the path on the users' platform: entry
// instances as separate processes, on the stand-ins of internal/standin/world.
// Each test brings about a failure and judges from the stand-ins' own book.
package cluster
