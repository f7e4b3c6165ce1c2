// SPDX-License-Identifier: Apache-2.0

// Package settings reads the settings of one instance: its name, its data
// hall, where it listens, and where the platform and its first peers are.
// They are JSON, checked by a schema, and every fault is reported with its
// path. What concerns the cell as a whole is in package tree.
package settings
