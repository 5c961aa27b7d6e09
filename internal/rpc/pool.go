// Package rpc connects the system's own processes: drpc over mutual TLS.
package rpc

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"

	"bluebellwind.example/internal/keys"
	"bluebellwind.example/internal/nettimeout"
)

const (
	dialTimeout = 2 * time.Second
	// unackedTimeout is how long sent bytes may stay unacknowledged before the
	// kernel gives the connection up.
	unackedTimeout = 10 * time.Second
	// idleExpiration closes connections that no one used for this long.
	idleExpiration = time.Minute
	// idleEach bounds idle connections to one peer, idleAll to all peers.
	idleEach = 64
	idleAll  = 1024
)

// DialError says that no connection came about, so nothing was sent.
type DialError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *DialError) Error() string { return fmt.Sprintf("rpc: dial %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// Pool keeps connections to peers. A drpc connection carries one call at a
// time, so each call takes a connection of its own. It is safe for concurrent
// use.
type Pool struct {
	keys  *keys.Store
	roles []keys.Role
	idle  *drpcpool.Pool[string, *drpcconn.Conn]
}

// NewPool returns a pool of connections to peers in one of roles.
func NewPool(store *keys.Store, roles ...keys.Role) *Pool {
	return &Pool{
		keys:  store,
		roles: roles,
		idle: drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{
			Expiration:  idleExpiration,
			Capacity:    idleAll,
			KeyCapacity: idleEach,
		}),
	}
}

// Get returns a connection to the peer at address, which is dialed when it is
// first used. A failed dial is a *DialError.
func (p *Pool) Get(ctx context.Context, address string) drpcpool.Conn {
	return p.idle.Get(ctx, address, p.dial)
}

// Close closes idle connections. That it cannot say farewell to a peer that is
// gone is no failure.
func (p *Pool) Close() { _ = p.idle.Close() }

func (p *Pool) dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &DialError{Address: address, Err: err}
	}
	if err := nettimeout.Set(raw, unackedTimeout); err != nil {
		raw.Close()
		return nil, &DialError{Address: address, Err: err}
	}
	conn := tls.Client(raw, p.keys.Client(p.roles...))
	if err := conn.HandshakeContext(ctx); err != nil {
		raw.Close()
		return nil, &DialError{Address: address, Err: err}
	}
	opts := drpcconn.Options{Manager: drpcmanager.Options{SoftCancel: true}}
	return drpcconn.NewWithOptions(conn, opts), nil
}
