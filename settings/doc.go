// SPDX-License-Identifier: Apache-2.0

// Package settings reads the settings of one instance: its name, its data
// hall, the addresses on which it listens, and the addresses of the platform and
// of its first peers. The settings are JSON and validated by a schema; every
// fault is reported with its path. Settings of the cell as a whole are in
// package tree.
package settings
