// SPDX-License-Identifier: Apache-2.0

//go:build review

// Package bed plays one case of the review: it starts the project's entry instances as separate
// processes, with stand-ins of the platform's store, its machines, its workers and its clients, and
// checks one rule on what these have seen. It holds test files only, and no test: review/build.sh
// makes a program of it, which plays the case that REVIEW_CASE names.
package bed

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// The results of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// limit is how long a case may take.
const limit = 115 * time.Second

// playedCase is a case with the number of its workers.
type playedCase struct {
	workers int
	play    func(b *bed, trouble bool) int
}

// cases holds the cases by name; each file of a case adds its own.
var cases = make(map[string]playedCase)

// TestMain plays the case that REVIEW_CASE names, if it is set, and writes its record to
// REVIEW_RECORD.
func TestMain(m *testing.M) {
	name := os.Getenv("REVIEW_CASE")
	if name == "" {
		os.Exit(m.Run())
	}
	c, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(cannotRun)
	}
	out, err := os.Create(os.Getenv("REVIEW_RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	b, err := start(out, root, c.workers)
	result := make(chan int, 1)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	code := cannotRun
	if err != nil {
		fmt.Fprintln(out, "the case cannot run:", err)
	} else {
		go func() { result <- playSafely(b, c.play) }()
		select {
		case code = <-result:
		case <-stop:
		case <-time.After(limit):
			b.book.note("the case took too long")
		}
	}
	if b != nil {
		b.close(os.Getenv("REVIEW_LOGS"))
		b.book.note("result: %d", code)
	}
	os.Exit(code)
}

// playSafely plays a case. If the play panics, the processes are ended all the same.
func playSafely(b *bed, play func(b *bed, trouble bool) int) (code int) {
	defer func() {
		if p := recover(); p != nil {
			b.book.note("the case cannot run: %v", p)
			code = cannotRun
		}
	}()
	return play(b, os.Getenv("TROUBLE") != "0")
}
