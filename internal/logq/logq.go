// SPDX-License-Identifier: Apache-2.0

// Package logq writes log lines without blocking the caller.
//
// Lines wait in a bounded queue for an output that may be slow or not read at all.
// When the queue is nearly full, lines are dropped and counted; the remaining
// capacity is reserved for final lines, which record the outcome of a request. Once
// there is room again, one line reports how many were dropped.
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
	// Capacity is the maximum number of queued lines.
	Capacity = 2048
	// reservedLines is how many of them are reserved for final lines.
	reservedLines = Capacity / 4
	// flushTimeout bounds how long Close waits for the output.
	flushTimeout = 500 * time.Millisecond
)

// FinalMarker marks a line that records the outcome of a request: the key and value
// as they are encoded in the line.
var FinalMarker = []byte(`"last":true`)

// Writer is a queue in front of an output. Use New to create one.
type Writer struct {
	out      io.Writer
	onDrop   func()
	lines    chan []byte
	dropped  atomic.Uint64
	reported uint64
	stop     chan struct{}
	done     chan struct{}
	stopOnce sync.Once
}

// New returns a Writer that writes lines to out until Close. It calls onDrop for
// each line that is dropped; onDrop must not block.
func New(out io.Writer, onDrop func()) *Writer {
	w := &Writer{out: out, onDrop: onDrop, lines: make(chan []byte, Capacity), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line, or drops it if the queue is full. It never blocks or fails.
func (w *Writer) Write(line []byte) (int, error) {
	if len(w.lines) >= Capacity-reservedLines && !bytes.Contains(line, FinalMarker) {
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
	w.onDrop()
}

// Close writes the queued lines, for at most flushTimeout. Lines written later are lost.
func (w *Writer) Close() {
	w.stopOnce.Do(func() { close(w.stop) })
	select {
	case <-w.done:
	case <-time.After(flushTimeout):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		case <-w.stop:
			w.flush()
			return
		}
	}
}

// flush writes the queued lines.
func (w *Writer) flush() {
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		default:
			return
		}
	}
}

// writeLine writes a line. Errors of the output are ignored, as there is no other
// place to report them.
func (w *Writer) writeLine(line []byte) {
	_, _ = w.out.Write(line)
	w.reportDropped()
}

// reportDropped writes how many lines were dropped since the last report, once the
// queue has room.
func (w *Writer) reportDropped() {
	n := w.dropped.Load()
	if n == w.reported || len(w.lines) > reservedLines {
		return
	}
	line := []byte(`{"event":"log_dropped","lines":` + strconv.FormatUint(n-w.reported, 10) + "}\n")
	w.reported = n
	_, _ = w.out.Write(line)
}
