// SPDX-License-Identifier: Apache-2.0

package job

import (
	"encoding/json"
	"time"

	"dewpass.org/kind"
	"dewpass.org/ports"
)

// Expiry is a row that says when a job's row, the row of a request key, or both
// may be removed from the table. Its key sorts by that time, so that expired
// rows are found without scanning the others.
type Expiry struct {
	Hall string    `json:"-"`
	At   time.Time `json:"at"`
	// ID is the job's ID, "" for a request key that was refused.
	ID      string `json:"id,omitempty"`
	Account string `json:"shop,omitempty"`
	Key     string `json:"key,omitempty"`
}

// ExpiryOf returns the expiry row of a job that has ended.
func ExpiryOf(j Job) Expiry {
	e := Expiry{Hall: j.Hall, ID: j.ID, Account: j.Account, Key: j.Key}
	if j.Expires != nil {
		e.At = *j.Expires
	}
	return e
}

// expiryTimeFormat formats times such that they sort as text.
const expiryTimeFormat = "20060102T150405"

// ExpiryPrefix returns the key prefix of a hall's expiry rows.
func ExpiryPrefix(hall string) string { return expiryPrefix + hall + "/" }

// ExpiryBound returns a key that sorts after the keys of all expiry rows due
// before now, and before the keys of all others. It also is the prefix of the keys
// of rows due at now, which has a resolution of one second.
func ExpiryBound(hall string, now time.Time) string {
	return ExpiryPrefix(hall) + now.UTC().Format(expiryTimeFormat) + "/"
}

// Put returns the write of the row to the table.
func (e Expiry) Put() ports.Put {
	name := e.ID
	if name == "" {
		name = RequestKeyRowKey(e.Account, e.Key)
	}
	return ports.Put{Key: ExpiryBound(e.Hall, e.At) + name, Value: Encode(e)}
}

// DecodeExpiry decodes an expiry row.
func DecodeExpiry(raw []byte) (Expiry, error) {
	var e Expiry
	if err := json.Unmarshal(raw, &e); err != nil {
		return Expiry{}, kind.Wrap(kind.Internal, err, "an expiry row is damaged")
	}
	return e, nil
}
