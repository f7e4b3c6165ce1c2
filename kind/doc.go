// SPDX-License-Identifier: Apache-2.0

// Package kind holds the one closed list of errors that dewpass answers with.
//
// Every error that leaves a process has a Kind. One table maps each Kind to
// its HTTP status, its message, the exit code of the command line, whether the
// caller may send the request again, and what the answer says of the request:
// that it was truly not run, or that nobody can tell yet. Code that fails
// makes an Error with New or Wrap and passes it up unchanged; the edge reads
// the table. Of recovers the Kind from any error, and maps what it does not
// know to Internal, so that no stray error becomes a promise.
package kind
