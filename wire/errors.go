// SPDX-License-Identifier: Apache-2.0

package wire

import (
	"time"

	"dewpass.org/kind"
)

// ToError converts err to a message. It returns nil if err is nil.
func ToError(err error) *Error {
	if err == nil {
		return nil
	}
	e := kind.Of(err)
	return &Error{
		Kind:         e.Kind.String(),
		Detail:       e.Detail,
		Path:         e.Path,
		Outcome:      uint32(e.Outcome),
		RetryAfterMs: e.RetryAfter.Milliseconds(),
		Id:           e.ID,
	}
}

// ErrorOf converts a message to the error that it contains, of type *kind.Error. It returns nil
// if m is nil.
func ErrorOf(m *Error) error {
	if m == nil {
		return nil
	}
	return &kind.Error{
		Kind:       kind.Parse(m.Kind),
		Detail:     m.Detail,
		Path:       m.Path,
		Outcome:    kind.Outcome(m.Outcome),
		RetryAfter: time.Duration(m.RetryAfterMs) * time.Millisecond,
		ID:         m.Id,
	}
}
