package node

import (
	"math"
	"syscall"
	"time"

	"bluebellwind.example/internal/admin"
	"bluebellwind.example/internal/config"
)

const (
	// peerCallTime bounds how long a connection for calls between gateways may be open: each
	// carries one call.
	peerCallTime = 10 * time.Second
	// controlHeaderShare is the part of the memory for headers of callers that the headers at
	// the address of metrics may take besides.
	controlHeaderShare = 0.25
)

// descriptorLimit returns the number of descriptors that the system lets this process open; zero
// if it sets no limit, or none that is known.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}

// controlLimits returns the limits of the server for metrics.
func controlLimits(settings *config.Node) admin.Limits {
	return admin.Limits{Connections: settings.Connections.Control, Headers: int64(controlHeaderShare * float64(settings.HeaderBytes()))}
}
