// SPDX-License-Identifier: Apache-2.0

// Package wire holds the messages that entry instances send each other. They
// are generated from wire.proto by `make generate`; the generated file is
// committed. ErrorOf and ToError carry errors of package kind across.
package wire
