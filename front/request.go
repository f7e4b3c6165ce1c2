// SPDX-License-Identifier: Apache-2.0

package front

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"mime"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"dewpass.org/internal/body"
	"dewpass.org/internal/schema"
	"dewpass.org/kind"
	"dewpass.org/ports"
	"dewpass.org/tree"
)

//go:embed schema.json
var schemaJSON []byte

var requestSchema = schema.MustCompile("request.json", schemaJSON)

// maxBody bounds the size of a request body, payload included.
const maxBody = 256 << 10

// request is the body of a call or a job.
type request struct {
	Workload string `json:"workload"`
	Account  string `json:"shop"`
	// Key makes it safe to retry the request.
	Key string `json:"key"`
	// Once is set for work that must not be repeated.
	Once bool `json:"once"`
	// FirstTry is set by a caller that has not sent the key before.
	FirstTry bool `json:"first_try"`
	// DeadlineMS is how long the caller waits for a call, in milliseconds; nil means
	// the default of the workload.
	DeadlineMS *int64 `json:"deadline_ms"`
	// Deadline is the time by which a job should be over.
	Deadline *time.Time `json:"deadline"`
	// Expires is the time after which the request must no longer be accepted.
	Expires *time.Time      `json:"expires"`
	Payload json.RawMessage `json:"payload"`
}

// readBody reads a complete JSON body.
func readBody(r *http.Request) ([]byte, error) {
	media, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil || media != "application/json" {
		return nil, kind.At(kind.ContentType, "Content-Type", "got "+r.Header.Get("Content-Type"))
	}
	raw, err := body.Read(http.MaxBytesReader(nil, r.Body, maxBody), r.ContentLength)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, kind.At(kind.TooLarge, "/", "the body is over 256 KiB")
	}
	if err != nil {
		return nil, kind.At(kind.BadRequest, "/", "the body is truncated")
	}
	return raw, nil
}

// decodeRequest reads and validates the body of a call or a job.
func decodeRequest(r *http.Request) (*request, error) {
	raw, err := readBody(r)
	if err != nil {
		return nil, err
	}
	return parseRequest(raw)
}

// parseRequest decodes and validates a request. The schema is evaluated only if
// the fast checks do not accept the request; it reports each fault with its path.
func parseRequest(raw []byte) (*request, error) {
	var req request
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	err := dec.Decode(&req)
	if err == nil && !dec.More() && quicklyValid(&req) {
		return &req, nil
	}
	if faults := requestSchema.Check(raw); len(faults) > 0 {
		return nil, kind.At(kind.BadRequest, faults[0].Path, schema.Join(faults))
	}
	if err != nil {
		return nil, kind.At(kind.BadRequest, "/", err.Error())
	}
	return &req, nil
}

// quicklyValid reports whether the fields certainly satisfy the schema. It may
// return false for a valid request.
func quicklyValid(r *request) bool {
	return r.Workload != "" && len(r.Workload) <= 256 &&
		r.Account != "" && isToken(r.Account, 64, "._-") &&
		isToken(r.Key, 128, "._:-") &&
		(r.DeadlineMS == nil || *r.DeadlineMS > 0 && *r.DeadlineMS <= maxDeadlineMS)
}

// maxDeadlineMS is one day.
const maxDeadlineMS = 24 * 60 * 60 * 1000

// isToken reports whether s has at most a number of bytes, all of them ASCII
// letters, digits or one of the marks.
func isToken(s string, most int, marks string) bool {
	if len(s) > most {
		return false
	}
	for i := range len(s) {
		c := s[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && bytes.IndexByte([]byte(marks), c) < 0 {
			return false
		}
	}
	return true
}

// bind returns the workload of a request after checking the request against it. It sets Once for a
// workload that must not be repeated, and for a request with a key that does not fit the tree: an
// earlier try may have been accepted under another version.
func (r *request) bind(c *tree.Compiled, now time.Time, kinds ...tree.Kind) (*tree.Workload, error) {
	w, err := c.Lookup(r.Workload)
	if err != nil {
		r.Once = r.Once || r.Key != ""
		return nil, err
	}
	fits := false
	for _, k := range kinds {
		fits = fits || w.Kind == k
	}
	if !fits {
		r.Once = r.Once || r.Key != ""
		return nil, kind.At(kind.BadRequest, "/workload", r.Workload+" is a "+string(w.Kind))
	}
	r.Once = r.Once || w.Repeat == ports.RepeatNever
	if r.Once && r.Key == "" {
		return nil, kind.At(kind.BadRequest, "/key", "work that must not be repeated needs a key")
	}
	if r.Expires != nil && now.After(*r.Expires) {
		return nil, kind.At(kind.Deadline, "/expires", "the request has expired")
	}
	return w, nil
}

func (r *request) repeat() ports.Repeat {
	if r.Once {
		return ports.RepeatNever
	}
	return ports.RepeatSafe
}
