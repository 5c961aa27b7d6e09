package node

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"bluebellwind.example/internal/config"
	"bluebellwind.example/internal/logging"
	"bluebellwind.example/mesh"
)

const (
	// gcPercent is the GOGC value of the garbage collector. A value below Go's
	// default saves memory, of which instances have little, at the cost of
	// processor time.
	gcPercent = 50
	// memoryLimitPercent is the soft memory limit of the Go runtime, as a
	// percentage of the memory of the instance. Near the limit the garbage
	// collector runs as often as needed, whatever processor time that takes.
	memoryLimitPercent = 80
)

// newLogger returns a logger that writes to standard output. It adds the name and
// the zone of the instance to each line.
func newLogger(settings *config.Node) *logging.Bounded {
	logger := logging.NewBounded(os.Stdout, settings.Log.Level)
	logger.Context = log.NewContext(nil).Str("instance", settings.Name).Str("zone", settings.Zone).Value()
	return logger
}

// closeLogger closes logger. A failure is printed to standard error.
func closeLogger(logger *logging.Bounded) {
	if err := logger.Close(); err != nil {
		fmt.Fprintln(os.Stderr, "bluebellwindd: log:", err)
	}
}

// registerTraffic adds the counters of a mesh node to a set of metrics.
func registerTraffic(set *metrics.Set, node *mesh.Node) {
	for name, value := range map[string]func(mesh.Traffic) uint64{
		"bluebellwind_mesh_sent_datagrams_total":     func(t mesh.Traffic) uint64 { return t.SentDatagrams },
		"bluebellwind_mesh_sent_bytes_total":         func(t mesh.Traffic) uint64 { return t.SentBytes },
		"bluebellwind_mesh_received_datagrams_total": func(t mesh.Traffic) uint64 { return t.ReceivedDatagrams },
		"bluebellwind_mesh_received_bytes_total":     func(t mesh.Traffic) uint64 { return t.ReceivedBytes },
		"bluebellwind_mesh_dropped_datagrams_total":  func(t mesh.Traffic) uint64 { return t.DroppedDatagrams },
	} {
		set.NewGauge(name, func() float64 { return float64(value(node.Traffic())) })
	}
}

// limitMemory configures the garbage collector so that the process stays within
// the memory of its instance. At 0 megabytes it sets no limit.
func limitMemory(megabytes int) {
	debug.SetGCPercent(gcPercent)
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(megabytes) << 20 / 100 * memoryLimitPercent)
	}
}

// limitThreads bounds the threads that run Go code at the same time, unless the environment
// does so or maxProcs is zero. An instance with less than a core gains nothing from a second
// thread, and pays for waking it up.
func limitThreads(maxProcs int) {
	if maxProcs > 0 && os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(maxProcs)
	}
}
