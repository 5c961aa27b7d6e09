package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
)

const (
	// maxQueuedLines is the number of lines that may wait for the output; further
	// lines are dropped.
	maxQueuedLines = 512
	// maxLinesPerSecond limits the log of a process to about 70 KB per second, at
	// about 350 bytes per line.
	maxLinesPerSecond = 200
)

// Bounded is a logger that never blocks its callers: it drops and counts lines
// above the rate limit and lines for which the queue to the output is full. It is
// safe for concurrent use.
//
// The asynchronous writer of the log library is not used because it has a data
// race: it reads an entry after passing it on.
type Bounded struct {
	*log.Logger
	format    log.Writer
	lines     chan []byte
	closing   chan struct{}
	done      chan error
	closeOnce sync.Once
	dropped   atomic.Int64
	// countedSecond is the number of the second, since start, whose lines
	// lineCount counts.
	countedSecond atomic.Int64
	lineCount     atomic.Int64
	start         time.Time
}

// NewBounded returns a Bounded that writes events of at least the given level to
// w.
func NewBounded(w io.Writer, level string) *Bounded {
	b := &Bounded{lines: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), done: make(chan error, 1), start: time.Now()}
	b.Logger = New(queueWriter{b}, level)
	b.format = b.Writer
	b.Writer = b
	go b.writeQueued(w)
	return b
}

// WriteEntry implements log.Writer. It drops entries above the rate limit.
func (b *Bounded) WriteEntry(e *log.Entry) (int, error) {
	if !b.allow() {
		b.dropped.Add(1)
		return 0, nil
	}
	return b.format.WriteEntry(e)
}

// queueWriter adds formatted lines to the queue of a Bounded.
type queueWriter struct{ *Bounded }

// Write implements io.Writer. It drops the line if the queue is full.
func (q queueWriter) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// writeQueued writes queued lines to the output until Close, which it then sends
// the last error. After a write error it continues with the next line.
func (b *Bounded) writeQueued(w io.Writer) {
	var lastErr error
	writeLine := func(line []byte) {
		if _, err := w.Write(line); err != nil {
			lastErr = err
		}
	}
	for {
		select {
		case line := <-b.lines:
			writeLine(line)
			continue
		case <-b.closing:
		}
		break
	}
	for len(b.lines) > 0 {
		writeLine(<-b.lines)
	}
	b.done <- lastErr
}

// allow counts a line and reports whether it is within the rate limit.
func (b *Bounded) allow() bool {
	second := int64(time.Since(b.start) / time.Second)
	if b.countedSecond.Swap(second) != second {
		b.lineCount.Store(0)
	}
	return b.lineCount.Add(1) <= maxLinesPerSecond
}

// Dropped returns the number of lines that have been dropped.
func (b *Bounded) Dropped() int64 { return b.dropped.Load() }

// Close writes the queued lines and returns the last write error. Lines logged
// after Close are lost. A second Close has no effect.
func (b *Bounded) Close() error {
	var err error
	b.closeOnce.Do(func() {
		close(b.closing)
		err = <-b.done
	})
	return err
}
