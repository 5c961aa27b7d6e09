package logging

import (
	"io"
	"sync"
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
//
// The library's own asynchronous writer reads an entry after it has handed it
// over, which is a data race.
type Bounded struct {
	*log.Logger
	format  log.Writer
	lines   chan []byte
	quit    chan struct{}
	done    chan error
	close   sync.Once
	dropped atomic.Int64
	// second is the second that written counts the lines of.
	second  atomic.Int64
	written atomic.Int64
	began   time.Time
}

// NewBounded returns a Bounded that writes to w.
func NewBounded(w io.Writer, level string) *Bounded {
	b := &Bounded{lines: make(chan []byte, boundedLines), quit: make(chan struct{}), done: make(chan error, 1), began: time.Now()}
	b.Logger = New(queue{b}, level)
	b.format = b.Writer
	b.Writer = b
	go b.write(w)
	return b
}

// WriteEntry implements log.Writer.
func (b *Bounded) WriteEntry(e *log.Entry) (int, error) {
	if !b.take() {
		b.dropped.Add(1)
		return 0, nil
	}
	return b.format.WriteEntry(e)
}

// queue takes formatted lines.
type queue struct{ *Bounded }

// Write implements io.Writer without waiting for the output.
func (q queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// write passes lines on to the output until Close. After an error the lines are
// still taken, so that nobody waits.
func (b *Bounded) write(w io.Writer) {
	var failed error
	put := func(line []byte) {
		if _, err := w.Write(line); err != nil {
			failed = err
		}
	}
	for {
		select {
		case line := <-b.lines:
			put(line)
			continue
		case <-b.quit:
		}
		break
	}
	for len(b.lines) > 0 {
		put(<-b.lines)
	}
	b.done <- failed
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

// Close writes the lines that wait and returns the last error of the output.
// What is logged afterwards is lost; a second Close does nothing.
func (b *Bounded) Close() error {
	var err error
	b.close.Do(func() {
		close(b.quit)
		err = <-b.done
	})
	return err
}
