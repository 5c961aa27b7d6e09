package logging_test

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/internal/logging"
)

// blockedOutput is an output whose writes block until release is closed.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (s *blockedOutput) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(b)
}

func TestStalledOutputHoldsNobodyUp(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	b := logging.NewBounded(out, "info")
	start := time.Now()
	for range 5000 {
		b.Info().Str("event", "x").Msg("")
	}
	assert.Assert(t, time.Since(start) < time.Second)
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
	assert.Assert(t, written <= 2*200, "wrote %d lines in about a second", written)
	assert.Equal(t, int64(written)+b.Dropped(), int64(lines))
}
