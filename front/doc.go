// SPDX-License-Identifier: Apache-2.0

// Package front serves callers and operators over HTTP.
//
// A call is checked, admitted by the rate limit of its workload, and forwarded to
// an owner: of two owners chosen at random, the one with more room. If the owner
// certainly refuses the call, the next attempts go to another owner of this hall,
// to one of another hall, and finally to owners where the call may be queued.
// Attempts without queueing after the first take from a retry budget that grows
// with first attempts, so that an overloaded hall does not get a multiple of its
// load. An attempt follows only a certain refusal; a call is never sent to two
// owners at once.
//
// A job is submitted to the owner of a rack, which writes it to the table before it
// accepts it. A request with a key that was used before gets the result of the
// first request with that key.
//
// Each answer that is not a result carries a kind, an outcome such as not_run or
// unknown, and a time after which to retry. A request with a key gets not_run only
// when its key is closed: the refusal is written to the table, so that no copy of
// the request can run later. While the table cannot be reached, this promise is
// made only to a first try that no owner has accepted. The refusal is then held in
// memory until it can be written.
package front
