package membership

import (
	"bluebellwind.example/membership/membershippb"

	"github.com/cespare/xxhash/v2"
)

// Address is the network address at which an Exchanger reaches an instance, in
// the form "ip:port".
type Address string

// Role is the function of an instance in the system.
type Role uint8

// The roles. An Entry accepts requests from callers; an Agent runs next to one
// backend server.
const (
	Entry Role = Role(membershippb.Role_ROLE_ENTRY)
	Agent Role = Role(membershippb.Role_ROLE_AGENT)
)

// Instance identifies one process and its location.
type Instance struct {
	// ID is unique in the fleet. If it is empty, the address serves as the ID.
	ID     string
	Addr   Address
	Zone   string
	Region string
	Role   Role
	// Incarnation increases with every start of the process; normally it is the
	// start time in milliseconds since the Unix epoch. It is zero in seeds and
	// instance lists.
	Incarnation uint64
	// Leaving is set if the instance list or the instance's own leaving mark
	// says that the instance is shutting down.
	Leaving bool
}

// key returns the ID, or the address if the ID is empty.
func (i Instance) key() string {
	if i.ID == "" {
		return string(i.Addr)
	}
	return i.ID
}

// digestKey returns the 32-bit hash that represents one incarnation of an origin
// in digests. Two origins whose keys collide keep colliding until one of them
// restarts and so gets another incarnation.
func digestKey(origin string, incarnation uint64) uint32 {
	h := xxhash.Sum64String(origin) ^ (incarnation * 0x9e3779b97f4a7c15)
	return uint32(h ^ h>>32)
}
