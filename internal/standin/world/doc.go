// SPDX-License-Identifier: Apache-2.0

// Package world holds test doubles of the users' platform: its store of rows, its
// workers, its list of machines and its policy service, which speak the platform's
// published protocol over HTTP. None of it is part of the shipped binary.
//
// A World has one Store, one Policy, one Machines and any number of Workers, each
// listening on its own loopback address, and one Book. Faults can be injected into
// each of them. Workers start whatever they are ordered to start; the Book records
// every start and end, and reports which guarantees were violated, judged from these
// records alone and not from what dewpass says.
package world
