// SPDX-License-Identifier: Apache-2.0

// Package capacity tells whether the workers of a cell can run a job. It is pure.
//
// Workers are divided into cells by their racks, so a cell may have no worker of some pool, with some
// label or of some size, while another cell has. Owners describe their workers to all instances as
// classes of workers that are alike. An instance that accepts a job prefers cells that can run it, and
// the owner of a cell that cannot run a job any more finds another cell for it.
//
// Only what does not change with the load counts: a step that fits no worker now because all are in
// use can run here. Which workers a policy permits is not known either.
package capacity
