// SPDX-License-Identifier: Apache-2.0

// Package world holds small stand-ins of the users' platform: its store of
// rows, its workers and its policy service, which speak the platform's published
// protocol over HTTP. None of it is part of the shipped binary.
//
// A World holds one Store, one Policy and any number of Workers, each on an
// address of its own on loopback, and one Book. Each has switches for its
// faults. Workers start what they are told; the Book writes down every start and
// end, and Broken says which promises the entries broke, from that alone.
package world
