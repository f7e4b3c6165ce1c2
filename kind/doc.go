// SPDX-License-Identifier: Apache-2.0

// Package kind defines the closed list of errors that dewpass returns.
//
// Every error that leaves a process has a Kind. One table maps each Kind to
// its HTTP status, its message, the exit code of the command-line interface,
// whether the caller may send the request again, and its default outcome: that
// the work certainly did not run, that it ran, or that this is not known. Code
// that fails makes an Error with New, Wrap or At and returns it unchanged; only
// the code that writes a response or exits the process reads the table. Of
// returns the Error in the chain of any error and wraps unknown errors as
// Internal with outcome Unknown, so that they never claim that the work did not
// run.
package kind
