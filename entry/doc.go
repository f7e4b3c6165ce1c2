// SPDX-License-Identifier: Apache-2.0

// Package entry puts an entry instance together and runs it: the front for
// callers, the owner of racks, the keeper that decides which, the link to
// peers, and the loops that spread the tree and keep services at their count.
//
// Every instance is equal. Nothing is kept on it: it can be killed at any
// moment, and a planned stop hands its racks on first and cuts nothing that is
// in progress.
package entry
