// SPDX-License-Identifier: Apache-2.0

// Package logq writes log lines without ever holding up who logs.
//
// Lines wait in a bounded queue for an output that may be slow or read by
// nobody. When the queue is nearly full, lines are dropped and counted; the room
// that is left then is for last words, the lines that say what became of a
// request. When there is room again, one line says how many were dropped.
package logq

import (
	"bytes"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Size is how many lines wait at most.
	Size = 2048
	// reserve is how many of them only last words may take.
	reserve = Size / 4
	// flushTime bounds the wait for the output at the end.
	flushTime = 500 * time.Millisecond
)

// LastWord marks a line that says what became of a request: its key and value
// as they stand in the line.
var LastWord = []byte(`"last":true`)

// Writer is a queue in front of an output. Make one with New.
type Writer struct {
	out     io.Writer
	drop    func()
	lines   chan []byte
	dropped atomic.Uint64
	told    uint64
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
}

// New returns a Writer whose lines go to out until Close. For each line that is
// dropped it calls drop, which must not wait.
func New(out io.Writer, drop func()) *Writer {
	w := &Writer{out: out, drop: drop, lines: make(chan []byte, Size), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line, or drops it. It never waits and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if len(w.lines) >= Size-reserve && !bytes.Contains(line, LastWord) {
		w.dropLine()
		return len(line), nil
	}
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropLine()
	}
	return len(line), nil
}

func (w *Writer) dropLine() {
	w.dropped.Add(1)
	w.drop()
}

// Close writes what waits, for a while. What is written after it is lost.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.stop) })
	select {
	case <-w.done:
	case <-time.After(flushTime):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.put(line)
		case <-w.stop:
			w.flush()
			return
		}
	}
}

// flush writes what waits.
func (w *Writer) flush() {
	for {
		select {
		case line := <-w.lines:
			w.put(line)
		default:
			return
		}
	}
}

// put writes a line. An output that fails has nobody to be told.
func (w *Writer) put(line []byte) {
	_, _ = w.out.Write(line)
	w.tell()
}

// tell writes how many lines were dropped since it last did, once there is room.
func (w *Writer) tell() {
	n := w.dropped.Load()
	if n == w.told || len(w.lines) > reserve {
		return
	}
	line := []byte(`{"event":"log_dropped","lines":` + strconv.FormatUint(n-w.told, 10) + "}\n")
	w.told = n
	_, _ = w.out.Write(line)
}
