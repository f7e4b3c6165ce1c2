// SPDX-License-Identifier: Apache-2.0

package load

import (
	"context"
	"fmt"
	"io"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"

	"dewpass.org/internal/client"
	"dewpass.org/job"
	"dewpass.org/kind"
)

// Stream is a series of requests at a constant rate, which does not depend on their
// outcomes.
type Stream struct {
	Workload  string
	PerSecond float64
	// Runs is how long each task runs.
	Runs time.Duration
	Once bool
	Job  bool
	// Bytes is the size of the filler in each answer.
	Bytes int
	// Save is the interval at which a task saves a checkpoint; 0 means never.
	Save time.Duration
}

// Result counts the requests of a stream by their outcomes.
type Result struct {
	Stream Stream
	Sent   int
	// Succeeded counts calls with a correct answer and jobs that are done.
	Succeeded int
	// Refused counts, by kind, requests that failed and were not run.
	Refused map[kind.Kind]int
	// Unknown counts requests that failed and may have run.
	Unknown int
	// Wrong counts answers that were incomplete or belonged to another request.
	Wrong int
	// Lost counts jobs that were accepted and did not end as done.
	Lost int
	// FirstError is the first error of a request that is unknown, wrong or lost.
	FirstError error
	// Wait is the time before the work started, in microseconds: for a call
	// its latency less the length of its run, for a job the time from its
	// acceptance to its start.
	Wait *hdrhistogram.Histogram

	mu       sync.Mutex
	finished int
}

const (
	maxWaitUS  = 120 * 1000 * 1000
	waitDigits = 2
)

// Progress is called every second with the time since the run began, its longest
// duration, and the numbers of requests sent and over.
type Progress func(at, of time.Duration, sent, over int)

// Run sends the streams for the given length, waits up to settle for outstanding
// requests, and returns the results of the streams.
func Run(ctx context.Context, c *client.Client, streams []Stream, length, settle time.Duration, p Progress) []*Result {
	ctx, cancel := context.WithTimeout(ctx, length+settle)
	defer cancel()
	var wg sync.WaitGroup
	results := make([]*Result, len(streams))
	for i, s := range streams {
		r := &Result{
			Stream: s, Refused: make(map[kind.Kind]int),
			Wait: hdrhistogram.New(1, maxWaitUS, waitDigits),
		}
		results[i] = r
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.send(ctx, c, length, &wg)
		}()
	}
	reportProgress(results, length, settle, p, &wg)
	return results
}

// reportProgress reports progress until all requests are over.
func reportProgress(results []*Result, length, settle time.Duration, p Progress, wg *sync.WaitGroup) {
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	began := time.Now()
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-done:
			return
		case <-t.C:
		}
		if p != nil {
			sent, over := counts(results)
			p(time.Since(began), length+settle, sent, over)
		}
	}
}

func counts(results []*Result) (sent, over int) {
	for _, r := range results {
		r.mu.Lock()
		sent += r.Sent
		over += r.finished
		r.mu.Unlock()
	}
	return sent, over
}

func (r *Result) send(ctx context.Context, c *client.Client, length time.Duration, wg *sync.WaitGroup) {
	t := time.NewTicker(time.Duration(float64(time.Second) / r.Stream.PerSecond))
	defer t.Stop()
	end := time.Now().Add(length)
	for time.Now().Before(end) && ctx.Err() == nil {
		wg.Add(1)
		r.mu.Lock()
		r.Sent++
		r.mu.Unlock()
		go func() {
			defer wg.Done()
			r.sendOne(ctx, c)
		}()
		<-t.C
	}
}

func (r *Result) sendOne(ctx context.Context, c *client.Client) {
	it := NewItem(r.Stream.Workload, r.Stream.Runs)
	it.FirstTry = true
	if !r.Stream.Once && !r.Stream.Job {
		it.Key = ""
	}
	var wait time.Duration
	var err error
	if r.Stream.Job {
		wait, err = r.job(ctx, c, it)
	} else {
		began := time.Now()
		_, err = Call(ctx, c, it)
		wait = max(0, time.Since(began)-r.Stream.Runs)
	}
	r.count(wait, err)
}

// errLost marks a job that was accepted and did not end as done.
var errLost = errors.New("job lost")

func (r *Result) job(ctx context.Context, c *client.Client, it Item) (time.Duration, error) {
	row, err := Submit(ctx, c, it)
	if err != nil {
		return 0, err
	}
	row, err = Await(ctx, c, it, row.ID)
	if err != nil {
		return 0, errors.Wrap(errLost, err.Error())
	}
	if row.State != job.Done {
		return 0, errors.Wrapf(errLost, "job %s is %s: %s", row.ID, row.State, row.Why)
	}
	if row.Started == nil {
		return 0, nil
	}
	return max(0, row.Started.Sub(row.Submitted)), nil
}

func (r *Result) count(wait time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finished++
	switch {
	case err == nil:
		r.Succeeded++
		_ = r.Wait.RecordValue(min(max(wait.Microseconds(), 1), maxWaitUS))
		return
	case errors.Is(err, ErrWrong):
		r.Wrong++
	case errors.Is(err, errLost):
		r.Lost++
	case kind.Of(err).Outcome == kind.NotRun:
		r.Refused[kind.Of(err).Kind]++
		return
	default:
		r.Unknown++
	}
	if r.FirstError == nil {
		r.FirstError = err
	}
}

// Table prints the results as a table.
func Table(w io.Writer, results []*Result) {
	fmt.Fprintf(w, "%-26s %7s %7s %8s %8s %6s %6s %10s %10s %10s\n",
		"KIND OF WORK", "SENT", "WHOLE", "REFUSED", "UNKNOWN", "WRONG", "LOST", "WAIT P50", "P99", "MAX")
	for _, r := range results {
		refused := 0
		for _, n := range r.Refused {
			refused += n
		}
		fmt.Fprintf(w, "%-26s %7d %7d %8d %8d %6d %6d %10s %10s %10s%s\n",
			r.Stream.Workload, r.Sent, r.Succeeded, refused, r.Unknown, r.Wrong, r.Lost,
			micros(r.Wait.ValueAtQuantile(50)), micros(r.Wait.ValueAtQuantile(99)), micros(r.Wait.Max()), r.refusedKinds())
	}
}

func (r *Result) refusedKinds() string {
	var out []string
	for k, n := range r.Refused {
		out = append(out, fmt.Sprintf("%s %d", k, n))
	}
	sort.Strings(out)
	if len(out) == 0 {
		return ""
	}
	return "  refused: " + strings.Join(out, ", ")
}

func micros(us int64) string {
	return (time.Duration(us) * time.Microsecond).Round(10 * time.Microsecond).String()
}
