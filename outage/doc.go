// SPDX-License-Identifier: Apache-2.0

// Package outage tells whether a data hall is cut off, from which of its workers answer. It is pure:
// time is passed in.
//
// When a hall is cut off, its owner finds that out for one worker at a time: at the next poll, which
// may be due in two seconds, or by an order that gets no answer. What was sent to such a worker may
// run there, so that it cannot be started elsewhere before the worker's lease is over. A few workers
// that fail one after another, while none of their hall answers and others do, are enough to send
// nothing more to the hall.
//
// The workers of a hall answer many times a second in all. A hall of which only some workers are lost
// is therefore suspect for a few milliseconds at most.
package outage
