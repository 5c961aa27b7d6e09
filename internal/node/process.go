package node

import (
	"fmt"
	"os"
	"runtime/debug"

	"github.com/phuslu/log"

	"bluebellwind.example/internal/config"
	"bluebellwind.example/internal/logging"
)

const (
	// gcPercent trades processor time for memory, which instances have little of.
	gcPercent = 50
	// memoryShare is the share of an instance's memory from which on memory is
	// reclaimed whatever it costs, in hundredths.
	memoryShare = 80
)

func newLog(s *config.Node) *logging.Bounded {
	logger := logging.NewBounded(os.Stdout, s.Log.Level)
	logger.Context = log.NewContext(nil).Str("instance", s.Name).Str("zone", s.Zone).Value()
	return logger
}

func closeLog(b *logging.Bounded) {
	if err := b.Close(); err != nil {
		fmt.Fprintln(os.Stderr, "bluebellwindd: log:", err)
	}
}

// limitMemory keeps the process within the memory of its instance.
func limitMemory(megabytes int) {
	debug.SetGCPercent(gcPercent)
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(megabytes) << 20 / 100 * memoryShare)
	}
}
