package node

import (
	"math"
	"syscall"
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
