// SPDX-License-Identifier: Apache-2.0

// Package telemetry sets up the observability of an instance: structured logs as
// JSON lines, metrics through tally, and OpenTelemetry traces with a span for
// each hop. A Kit holds all three and is passed explicitly; there is no global
// state.
package telemetry
