// SPDX-License-Identifier: Apache-2.0

// Package cluster holds the end-to-end tests of the cluster mode: entry
// instances as separate processes, on the simulated platform of
// internal/standin/world. Each test injects a failure and judges the outcome
// from what the simulated workers recorded.
package cluster
