// SPDX-License-Identifier: Apache-2.0

// Package upkeep carries out waves: what operators ask when each of some machines
// has to be taken down once for its upkeep, with only so many at a time.
//
// A wave's Record is a row of the store. A machine is written into it before its upkeep
// is asked for, by a conditional write, and holds a slot of the wave from then until
// it is back. So the owners of several cells, and an owner that takes over in the
// middle, never have more machines down than the wave allows; and whoever finds a
// machine written down asks for its upkeep again, which the platform answers alike
// if it was done.
//
// Before a machine goes, its worker is emptied: it is given nothing new, tasks that
// last move elsewhere as their steps allow, short ones end. After a while what can
// be started again is left to be.
package upkeep
