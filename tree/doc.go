// SPDX-License-Identifier: Apache-2.0

// Package tree implements the tree of settings with which operators configure
// dewpass.
//
// A Doc is a tree of branches. A branch holds settings and further branches,
// and inherits every setting of its parent that it does not set itself. A
// branch without child branches for which the setting kind is in force is a
// workload. Compile resolves a Doc into typed workloads and teams, each value
// with the branch that sets it.
//
// A Doc is validated as a whole before it is accepted: a JSON schema checks
// structure, types, units and ranges, and code checks references between
// settings. Every fault is reported with its path.
//
// Edits address paths: "tinting/shade-lookup.deadline" is the setting deadline
// of the branch tinting/shade-lookup, ".class" a setting of the root, and
// "tinting/shade-lookup" the whole branch. A Store keeps the Doc in the
// platform's table, with one version for the whole tree. An edit states the
// version on which it was made. Edits committed since then do not conflict with
// it as long as their paths do not overlap.
//
// A Register holds the version in force at one instance. It only ever installs
// a higher version.
package tree
