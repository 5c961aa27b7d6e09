// Package rig starts the programs under review as separate processes and provides small
// stand-ins of the platform's store, of servers and of clients.
package rig

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitFailed = 2
)

// Record writes what a case sees to a file. It is safe for concurrent use.
type Record struct {
	start time.Time
	mu    sync.Mutex
	file  *os.File
}

// NewRecord creates the record of a case.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), file: f}, nil
}

// Logf writes one line with the time since the start.
func (r *Record) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the file.
func (r *Record) Close() error { return r.file.Close() }
