// SPDX-License-Identifier: Apache-2.0

package job

import (
	"encoding/json"
	"time"

	"dewpass.org/kind"
	"dewpass.org/ports"
)

// State is the state of a job.
type State string

// The states of a job.
const (
	// Queued waits to be started, for the first time or again.
	Queued State = "queued"
	// Dispatched is about to be sent to a worker, or was.
	Dispatched State = "dispatched"
	// Running was accepted by a worker.
	Running State = "running"
	// Done has its answer.
	Done State = "done"
	// Failed ran and failed, as often as allowed.
	Failed State = "failed"
	// Cancelled was ended by its caller.
	Cancelled State = "cancelled"
	// Unknown was sent to a worker that cannot be asked any more, and must not
	// be repeated.
	Unknown State = "unknown"
	// Refused was never run and never will be.
	Refused State = "refused"
)

// Over reports whether a job in state s stays as it is.
func (s State) Over() bool {
	switch s {
	case Done, Failed, Cancelled, Refused:
		return true
	}
	return false
}

// allowed lists the changes of state.
var allowed = map[State][]State{
	Queued:     {Dispatched, Running, Done, Cancelled, Failed},
	Dispatched: {Running, Queued, Done, Failed, Cancelled, Unknown, Refused},
	Running:    {Queued, Done, Failed, Cancelled, Unknown},
	Unknown:    {Done, Failed, Refused, Cancelled, Running},
}

// Job is the row of a job.
type Job struct {
	ID       string          `json:"id"`
	Shop     string          `json:"shop"`
	Key      string          `json:"key,omitempty"`
	Workload string          `json:"workload"`
	Payload  json.RawMessage `json:"payload,omitempty"`
	Repeat   ports.Repeat    `json:"repeat"`
	Service  bool            `json:"service,omitempty"`
	// Call marks a call that must not be repeated. Its caller waits for it; its
	// row is what is left when that caller gets no answer.
	Call bool `json:"call,omitempty"`
	// Hall and Rack name where the job belongs.
	Hall string `json:"hall"`
	Rack string `json:"rack"`

	State   State  `json:"state"`
	Attempt uint32 `json:"attempt"`
	// Worker and Incarnation say where the attempt was sent.
	Worker      string `json:"worker,omitempty"`
	Incarnation string `json:"incarnation,omitempty"`
	Failures    int    `json:"failures,omitempty"`
	Yields      int    `json:"yields,omitempty"`
	Checkpoint  string `json:"checkpoint,omitempty"`

	Submitted time.Time  `json:"submitted"`
	NotBefore *time.Time `json:"not_before,omitempty"`
	Deadline  *time.Time `json:"deadline,omitempty"`
	Started   *time.Time `json:"started,omitempty"`
	Finished  *time.Time `json:"finished,omitempty"`
	// Expires is when the row may be removed; it comes with the end.
	Expires *time.Time `json:"expires,omitempty"`

	Answer *ports.Answer `json:"answer,omitempty"`
	// AnswerObject is the object that holds a large answer's body.
	AnswerObject string `json:"answer_object,omitempty"`
	// Why says why the job failed, was refused or is unknown.
	Why string `json:"why,omitempty"`
}

// Next returns j in another state, or an error if that change is not allowed.
func (j Job) Next(s State) (Job, error) {
	for _, to := range allowed[j.State] {
		if to != s {
			continue
		}
		if s == Queued && j.Repeat == ports.RepeatNever && j.State == Running {
			break
		}
		j.State = s
		return j, nil
	}
	return j, kind.New(kind.Conflict, "a job that is "+string(j.State)+" cannot become "+string(s))
}

// Key is the row of a request key.
type Key struct {
	// ID is that of the job that the key stands for.
	ID string `json:"id"`
	// Digest is that of the request, so that a key used for another request is
	// noticed.
	Digest string `json:"digest"`
	// Refused says that no request with the key was run, nor ever will be.
	Refused bool `json:"refused,omitempty"`
	// Why says why it was refused.
	Why string `json:"why,omitempty"`
}

// The prefixes of the rows.
const (
	jobPrefix    = "job/"
	indexPrefix  = "rackjob/"
	keyPrefix    = "key/"
	expiryPrefix = "expiry/"
)

// RowKey returns the key of a job's row.
func RowKey(id string) string { return jobPrefix + id }

// IndexPrefix returns the start of the keys of the index rows of a rack.
func IndexPrefix(rack string) string { return indexPrefix + rack + "/" }

// IndexKey returns the key of a job's index row.
func IndexKey(rack, id string) string { return IndexPrefix(rack) + id }

// KeyRow returns the key of the row of a request key.
func KeyRow(shop, key string) string { return keyPrefix + shop + "/" + key }

// IndexedID returns the job's id from the key of its index row.
func IndexedID(rack, key string) string { return key[len(IndexPrefix(rack)):] }

// Encode returns the JSON of a row. Rows are plain data and always have one.
func Encode(row any) []byte {
	raw, err := json.Marshal(row)
	if err != nil {
		panic(err)
	}
	return raw
}

// Decode reads the row of a job.
func Decode(raw []byte) (Job, error) {
	var j Job
	if err := json.Unmarshal(raw, &j); err != nil {
		return Job{}, kind.Wrap(kind.Internal, err, "a job's row is damaged")
	}
	return j, nil
}

// DecodeKey reads the row of a request key.
func DecodeKey(raw []byte) (Key, error) {
	var k Key
	if err := json.Unmarshal(raw, &k); err != nil {
		return Key{}, kind.Wrap(kind.Internal, err, "a key's row is damaged")
	}
	return k, nil
}

// RequestDigest returns the digest that tells one request from another under
// the same key.
func RequestDigest(workload string, payload []byte) string {
	return ports.Digest(append([]byte(workload+"\n"), payload...))
}
