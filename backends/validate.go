package backends

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"
)

const (
	// maxGroupSize bounds the ranks of a group, and maxSlots the slots of a server: several
	// times what any deployment has, and small enough for sums and lists of them.
	maxGroupSize = 4096
	maxSlots     = 1 << 20
	// maxIDBytes bounds the ID of a server, which is sent in a header.
	maxIDBytes = 256
)

// maxStart is the latest start that is believed, in Unix milliseconds.
var maxStart = time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC).UnixMilli()

// Validate returns an error if the server cannot be used, because a property is missing or out
// of its range. What publishes servers may hold entries of other writers.
func (s *Server) Validate() error {
	switch {
	case !isHeaderValue(s.ID):
		return errors.New("backends: the ID cannot be sent in a header")
	case s.Service == "":
		return errors.New("backends: the service is missing")
	case s.Started < 0 || s.Started > maxStart:
		return fmt.Errorf("backends: the start at %d ms is out of range", s.Started)
	case s.Slots < 0 || s.Slots > maxSlots:
		return fmt.Errorf("backends: %d slots are out of range", s.Slots)
	}
	if err := checkAddress(s.Address); err != nil {
		return err
	}
	return s.Group.validate()
}

// isHeaderValue reports whether an ID can be sent in a header as it is.
func isHeaderValue(id string) bool {
	if id == "" || len(id) > maxIDBytes {
		return false
	}
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// checkAddress returns an error unless the address is a host and a port from 1 to 65535.
func checkAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("backends: %w", err)
	}
	if host == "" {
		return errors.New("backends: the address has no host")
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("backends: the port %.16q is out of range", port)
	}
	return nil
}

// validate returns an error if the group has a name and its size or rank is out of range. The
// size is 0 if it is not published.
func (g *Group) validate() error {
	switch {
	case g.Name == "":
		return nil
	case g.Size < 0 || g.Size > maxGroupSize:
		return fmt.Errorf("backends: a group of %d ranks is out of range", g.Size)
	case g.Rank < 0 || g.Rank >= maxGroupSize || g.Size > 0 && g.Rank >= g.Size:
		return fmt.Errorf("backends: rank %d of %d is out of range", g.Rank, g.Size)
	}
	return nil
}
