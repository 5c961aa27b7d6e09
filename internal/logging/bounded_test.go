package logging_test

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/internal/logging"
)

// stalled is an output that takes nothing until it is released.
type stalled struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (s *stalled) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(b)
}

func TestStalledOutputHoldsNobodyUp(t *testing.T) {
	out := &stalled{release: make(chan struct{})}
	b := logging.NewBounded(out, "info")
	began := time.Now()
	for range 5000 {
		b.Info().Str("event", "x").Msg("")
	}
	assert.Assert(t, time.Since(began) < time.Second)
	assert.Assert(t, b.Dropped() > 4000)
	close(out.release)
	assert.NilError(t, b.Close())
}

func TestLinesAreBoundedInRate(t *testing.T) {
	var out bytes.Buffer
	b := logging.NewBounded(&out, "info")
	const lines = 3000
	for range lines {
		b.Info().Str("event", "x").Msg("")
	}
	assert.NilError(t, b.Close())
	written := bytes.Count(out.Bytes(), []byte("\n"))
	assert.Assert(t, written <= 2*200, "%d lines in about a second", written)
	assert.Equal(t, int64(written)+b.Dropped(), int64(lines))
}
