// SPDX-License-Identifier: Apache-2.0

package hall

import (
	"encoding/json"
	"time"

	"dewpass.org/kind"
)

// RackRow is the row of a rack in the platform's table.
type RackRow struct {
	Owner string `json:"owner"`
	Epoch uint64 `json:"epoch"`
}

// memberRow is the row that an instance rewrites as its heartbeat.
type memberRow struct {
	Boot string `json:"boot"`
	Beat uint64 `json:"beat"`
	// At is the time of the heartbeat in seconds since 1970.
	At int64 `json:"at"`
}

const (
	rackPrefix   = "rack/"
	memberPrefix = "member/"
)

// RackKey returns the key of the row of a rack.
func RackKey(hall, rack string) string { return rackPrefix + hall + "/" + rack }

func memberKey(hall, instance string) string { return MemberPrefix(hall) + instance }

// MemberPrefix returns the prefix of the keys of the member rows of a hall.
func MemberPrefix(hall string) string { return memberPrefix + hall + "/" }

// HeartbeatTime returns the time of the last heartbeat in the value of a member row,
// by the clock of the instance that wrote it.
func HeartbeatTime(raw []byte) (time.Time, bool) {
	var r memberRow
	if err := json.Unmarshal(raw, &r); err != nil || r.At == 0 {
		return time.Time{}, false
	}
	return time.Unix(r.At, 0), true
}

func encodeRow(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err) // Structs of strings and numbers can always be marshalled.
	}
	return raw
}

// DecodeRack decodes the row of a rack. An absent row has no owner.
func DecodeRack(raw []byte) (RackRow, error) {
	var r RackRow
	if len(raw) == 0 {
		return r, nil
	}
	if err := json.Unmarshal(raw, &r); err != nil {
		return r, kind.Wrap(kind.Internal, err, "a rack's row is damaged")
	}
	return r, nil
}
