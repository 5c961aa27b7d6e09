package logging

import (
	"errors"
	"io"
	"sync/atomic"

	"github.com/phuslu/log"
)

// boundedLines is how many lines may wait for the output before further ones
// are dropped.
const boundedLines = 512

// Bounded is a log that never holds its callers up: lines that the output does
// not take in time are dropped and counted. It is safe for concurrent use.
type Bounded struct {
	*log.Logger
	async   *log.AsyncWriter
	dropped atomic.Int64
}

// NewBounded returns a Bounded that writes to w.
func NewBounded(w io.Writer, level string) *Bounded {
	b := &Bounded{Logger: New(w, level)}
	b.async = &log.AsyncWriter{Writer: b.Logger.Writer, ChannelSize: boundedLines, DiscardOnFull: true}
	b.Logger.Writer = b
	return b
}

// WriteEntry implements log.Writer.
func (b *Bounded) WriteEntry(e *log.Entry) (int, error) {
	n, err := b.async.WriteEntry(e)
	if errors.Is(err, log.ErrAsyncWriterFull) {
		b.dropped.Add(1)
	}
	return n, err
}

// Dropped returns how many lines were dropped so far.
func (b *Bounded) Dropped() int64 { return b.dropped.Load() }

// Close writes the lines that wait. Nothing may be logged afterwards.
func (b *Bounded) Close() error { return b.async.Close() }
