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
	// Queued is a job that waits to be started, for the first time or again.
	Queued State = "queued"
	// Dispatched is a job that is about to be sent to a worker, or was sent.
	Dispatched State = "dispatched"
	// Running is a job that a worker has accepted.
	Running State = "running"
	// Done is a job that has its answer.
	Done State = "done"
	// Failed is a job that ran and failed as often as it may be retried.
	Failed State = "failed"
	// Cancelled is a job that its caller has cancelled.
	Cancelled State = "cancelled"
	// Unknown is a job that was sent to a worker which no longer answers, and
	// that must not be repeated.
	Unknown State = "unknown"
	// Refused is a job that never ran and never will.
	Refused State = "refused"
)

// Final reports whether s is final.
func (s State) Final() bool {
	switch s {
	case Done, Failed, Cancelled, Refused:
		return true
	}
	return false
}

// allowedTransitions maps each state to the states that may follow it.
var allowedTransitions = map[State][]State{
	Queued:     {Dispatched, Running, Done, Cancelled, Failed},
	Dispatched: {Running, Queued, Done, Failed, Cancelled, Unknown, Refused},
	Running:    {Queued, Done, Failed, Cancelled, Unknown},
	Unknown:    {Done, Failed, Refused, Cancelled, Running},
}

// Job is the row of a job.
type Job struct {
	ID       string          `json:"id"`
	Account  string          `json:"shop"`
	Key      string          `json:"key,omitempty"`
	Workload string          `json:"workload"`
	Payload  json.RawMessage `json:"payload,omitempty"`
	Repeat   ports.Repeat    `json:"repeat"`
	Service  bool            `json:"service,omitempty"`
	// Call marks a call that must not be repeated. Its caller waits for the
	// answer; the row is the only record if the caller never receives it.
	Call bool `json:"call,omitempty"`
	// Hall and Rack are where the job belongs. The rack's owner owns the job.
	Hall string `json:"hall"`
	Rack string `json:"rack"`

	State   State  `json:"state"`
	Attempt uint32 `json:"attempt"`
	// Worker and Incarnation are where the current attempt was sent.
	Worker      string `json:"worker,omitempty"`
	Incarnation string `json:"incarnation,omitempty"`
	Failures    int    `json:"failures,omitempty"`
	Yields      int    `json:"yields,omitempty"`
	// Cancelling is set once the job's caller has asked to cancel it.
	Cancelling bool   `json:"cancelling,omitempty"`
	Checkpoint string `json:"checkpoint,omitempty"`

	Submitted time.Time  `json:"submitted"`
	NotBefore *time.Time `json:"not_before,omitempty"`
	Deadline  *time.Time `json:"deadline,omitempty"`
	Started   *time.Time `json:"started,omitempty"`
	Finished  *time.Time `json:"finished,omitempty"`
	// Expires is when the row may be removed. It is set when the job ends.
	Expires *time.Time `json:"expires,omitempty"`

	Answer *ports.Answer `json:"answer,omitempty"`
	// AnswerObject is the key of the object that holds the body of a large
	// answer.
	AnswerObject string `json:"answer_object,omitempty"`
	// Why is the reason why the job failed, was refused or is unknown.
	Why string `json:"why,omitempty"`
}

// Transition returns a copy of j in state s, or an error of kind Conflict if the
// transition is not allowed.
func (j Job) Transition(s State) (Job, error) {
	for _, to := range allowedTransitions[j.State] {
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

// RequestKey is the row of a request key.
type RequestKey struct {
	// ID is the ID of the job that the request started.
	ID string `json:"id"`
	// Digest is the digest of the request. It detects the use of a key for a
	// different request.
	Digest string `json:"digest"`
	// Refused is true if no request with the key has run or ever will.
	Refused bool `json:"refused,omitempty"`
	// Why says why it was refused.
	Why string `json:"why,omitempty"`
}

// Key prefixes of the rows.
const (
	jobPrefix    = "job/"
	indexPrefix  = "rackjob/"
	keyPrefix    = "key/"
	expiryPrefix = "expiry/"
)

// RowKey returns the row key of a job.
func RowKey(id string) string { return jobPrefix + id }

// IndexPrefix returns the prefix of the row keys of a rack's job index.
func IndexPrefix(rack string) string { return indexPrefix + rack + "/" }

// IndexKey returns the row key of a job's index row.
func IndexKey(rack, id string) string { return IndexPrefix(rack) + id }

// RequestKeyRowKey returns the row key of a request key.
func RequestKeyRowKey(account, key string) string { return keyPrefix + account + "/" + key }

// IDFromIndexKey extracts the job's ID from the row key of its index row.
func IDFromIndexKey(rack, key string) string { return key[len(IndexPrefix(rack)):] }

// Encode returns the JSON of a row. It panics on failure, which cannot happen
// because rows are plain data.
func Encode(row any) []byte {
	raw, err := json.Marshal(row)
	if err != nil {
		panic(err)
	}
	return raw
}

// Decode decodes the row of a job.
func Decode(raw []byte) (Job, error) {
	var j Job
	if err := json.Unmarshal(raw, &j); err != nil {
		return Job{}, kind.Wrap(kind.Internal, err, "the row of a job is damaged")
	}
	return j, nil
}

// DecodeRequestKey decodes the row of a request key.
func DecodeRequestKey(raw []byte) (RequestKey, error) {
	var k RequestKey
	if err := json.Unmarshal(raw, &k); err != nil {
		return RequestKey{}, kind.Wrap(kind.Internal, err, "the row of a request key is damaged")
	}
	return k, nil
}

// RequestDigest returns the digest by which two requests with the same request
// key are compared.
func RequestDigest(workload string, payload []byte) string {
	return ports.Digest(append([]byte(workload+"\n"), payload...))
}
