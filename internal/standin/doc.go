// SPDX-License-Identifier: Apache-2.0

// Package standin holds test doubles of what dewpass runs on: the platform's
// table, object store and instance list, its workers, and the load balancer in
// front of the entry instances. None of it is part of the shipped binary.
//
// Each test double speaks the protocol of docs/PLATFORM.md and has faults that
// tests inject over HTTP. The workers do not check their orders: a worker that
// is given tasks beyond its capacity runs them nevertheless, and records the
// violation. The Record holds the events of all workers. Tests judge dewpass by
// it and by the rows of the table, never by what dewpass reports of itself.
package standin
