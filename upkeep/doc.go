// SPDX-License-Identifier: Apache-2.0

// Package upkeep carries out maintenance waves. In a wave, operators ask that
// each of a set of machines is taken down once for its upkeep, with a limited
// number of machines down at a time.
//
// The Record of a wave is a row of the store. A machine is added to it by a
// conditional write before its upkeep is ordered, and occupies a slot of the
// wave until it is back. So the owners of several cells, or an owner that takes
// over during the wave, never take down more machines than the wave allows. An
// owner that finds a machine in the record orders its upkeep again; the
// platform gives the same answer if the upkeep was already done.
//
// Before a machine is taken down, its worker is evacuated: it receives no new
// tasks, long-running tasks are moved as far as their steps allow, and short
// tasks may finish. After a time limit, tasks that can be restarted no longer
// delay the upkeep.
package upkeep
