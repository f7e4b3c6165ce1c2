// SPDX-License-Identifier: Apache-2.0

// Package front answers callers and operators over HTTP.
//
// A call is checked, admitted by its team's rate, and passed to an owner: the
// better of two that say they have room. An owner that refuses it for certain
// is followed by another one, then by one of another hall, and at last by one
// at which the call may wait. Each further try takes from a budget that grows
// with first tries, so that a hall under stress is not asked twice as often.
// A try follows only a certain refusal; no call is ever sent to two owners at
// once.
//
// A job is passed to the owner of a rack, which writes it down before it says
// yes. A request key leads to the first request that came with it.
//
// Every answer that is not a result carries a kind, says not_run or unknown,
// and when to come back. Not_run to a request with a key closes the key: the
// refusal is written down, so that no copy of it can run later. While the
// table cannot be asked, that promise is made only for a first try that was
// passed to nobody, and remembered until it can be written.
package front
