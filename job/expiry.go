// SPDX-License-Identifier: Apache-2.0

package job

import (
	"encoding/json"
	"time"

	"dewpass.org/kind"
	"dewpass.org/ports"
)

// Expiry is the row that tells what may be removed from the table at a time:
// the row of a job that is over, of a request key, or of both. These rows are in
// the order of their times, so that what is due is found without looking at
// what is not.
type Expiry struct {
	Hall string    `json:"-"`
	At   time.Time `json:"at"`
	// ID is the job's, "" for a key that was refused.
	ID   string `json:"id,omitempty"`
	Shop string `json:"shop,omitempty"`
	Key  string `json:"key,omitempty"`
}

// ExpiryOf returns the expiry of a job that is over.
func ExpiryOf(j Job) Expiry {
	e := Expiry{Hall: j.Hall, ID: j.ID, Shop: j.Shop, Key: j.Key}
	if j.Expires != nil {
		e.At = *j.Expires
	}
	return e
}

// expiryTime sorts as text.
const expiryTime = "20060102T150405"

// ExpiryPrefix returns the start of the keys of a hall's expiry rows.
func ExpiryPrefix(hall string) string { return expiryPrefix + hall + "/" }

// ExpiryBefore returns a key above those of everything that is due at a time,
// and below all others.
func ExpiryBefore(hall string, now time.Time) string {
	return ExpiryPrefix(hall) + now.UTC().Format(expiryTime) + "/"
}

// Put returns the write of the row.
func (e Expiry) Put() ports.Put {
	name := e.ID
	if name == "" {
		name = KeyRow(e.Shop, e.Key)
	}
	return ports.Put{Key: ExpiryBefore(e.Hall, e.At) + name, Value: Encode(e)}
}

// DecodeExpiry reads an expiry row.
func DecodeExpiry(raw []byte) (Expiry, error) {
	var e Expiry
	if err := json.Unmarshal(raw, &e); err != nil {
		return Expiry{}, kind.Wrap(kind.Internal, err, "an expiry row is damaged")
	}
	return e, nil
}
