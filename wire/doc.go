// SPDX-License-Identifier: Apache-2.0

// Package wire defines the messages that instances exchange. They are generated
// from wire.proto by `make generate`, and the generated file is committed. ToError
// and ErrorOf convert errors of package kind to messages and back.
package wire
