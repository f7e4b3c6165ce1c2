// SPDX-License-Identifier: Apache-2.0

// Package tree is the tree of settings by which operators drive dewpass.
//
// A Doc is a tree of branches. A branch holds settings and further branches;
// it inherits every setting of its parent that it does not set itself. A
// branch without branches below it, for which a kind is in force, is a
// workload. Compile resolves a Doc into what the rest of dewpass works with:
// typed workloads and teams, each value with the branch that it came from.
//
// A Doc is checked as a whole before it is accepted: its shape, types, units
// and ranges by a JSON schema, and references between settings by code. Every
// fault is reported with its path.
//
// Edits name paths: "tinting/shade-lookup.deadline" is the setting deadline of
// the branch tinting/shade-lookup, ".class" a setting of the root, and
// "tinting/shade-lookup" the whole branch. A Store keeps the Doc in the
// platform's table, versioned as a whole. An edit states the version that it
// was made on; edits that came in between are no hindrance as long as their
// paths are disjoint.
//
// A Register holds the version in force at one instance and only ever installs
// a higher one.
package tree
