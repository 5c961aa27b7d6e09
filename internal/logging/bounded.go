package logging

import (
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
)

const (
	// boundedLines is how many lines may wait for the output before further ones
	// are dropped.
	boundedLines = 512
	// linesPerSecond bounds the lines of a process: at some 350 bytes each they
	// take 70 KB a second.
	linesPerSecond = 200
)

// Bounded is a log that never holds its callers up: lines beyond the rate, and
// those that the output does not take in time, are dropped and counted. It is
// safe for concurrent use.
type Bounded struct {
	*log.Logger
	async   *log.AsyncWriter
	dropped atomic.Int64
	// second is the second that written counts the lines of.
	second  atomic.Int64
	written atomic.Int64
	began   time.Time
}

// NewBounded returns a Bounded that writes to w.
func NewBounded(w io.Writer, level string) *Bounded {
	b := &Bounded{Logger: New(w, level), began: time.Now()}
	b.async = &log.AsyncWriter{Writer: b.Writer, ChannelSize: boundedLines, DiscardOnFull: true}
	b.Writer = b
	return b
}

// WriteEntry implements log.Writer.
func (b *Bounded) WriteEntry(e *log.Entry) (int, error) {
	if !b.take() {
		b.dropped.Add(1)
		return 0, nil
	}
	n, err := b.async.WriteEntry(e)
	if errors.Is(err, log.ErrAsyncWriterFull) {
		b.dropped.Add(1)
	}
	return n, err
}

// take counts a line and reports whether it is within the rate.
func (b *Bounded) take() bool {
	second := int64(time.Since(b.began) / time.Second)
	if b.second.Swap(second) != second {
		b.written.Store(0)
	}
	return b.written.Add(1) <= linesPerSecond
}

// Dropped returns how many lines were dropped so far.
func (b *Bounded) Dropped() int64 { return b.dropped.Load() }

// Close writes the lines that wait. Nothing may be logged afterwards.
func (b *Bounded) Close() error { return b.async.Close() }
