package opscmd

import (
	"errors"
	"syscall"
)

// isConnRefused reports whether err means that no process listens on the port, as
// opposed to an unreachable network.
func isConnRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
