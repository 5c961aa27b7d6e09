// Package rpc implements clients and servers for the calls between instances and
// from operators: drpc over mutual TLS.
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
	// dialTimeout bounds the TCP connect and the TLS handshake together.
	dialTimeout = 2 * time.Second
	// unackedTimeout is how long sent data may stay unacknowledged before the
	// kernel closes the connection.
	unackedTimeout = 10 * time.Second
	// idleTimeout is how long a connection may be idle before it is closed.
	idleTimeout = time.Minute
	// maxIdlePerPeer is the maximum number of idle connections to one peer, and
	// maxIdleConns that to all peers.
	maxIdlePerPeer = 64
	maxIdleConns   = 1024
)

// DialError is returned if no connection was established, so no part of the call
// was sent.
type DialError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *DialError) Error() string { return fmt.Sprintf("rpc: dial %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// Pool is a pool of connections to peers. A drpc connection carries one call at a
// time, so each concurrent call uses its own connection. Pool is safe for
// concurrent use.
type Pool struct {
	keys  *keys.Store
	roles []keys.Role
	idle  *drpcpool.Pool[string, *drpcconn.Conn]
}

// NewPool returns a pool of connections to peers that have one of roles.
func NewPool(store *keys.Store, roles ...keys.Role) *Pool {
	return &Pool{
		keys:  store,
		roles: roles,
		idle: drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{
			Expiration:  idleTimeout,
			Capacity:    maxIdleConns,
			KeyCapacity: maxIdlePerPeer,
		}),
	}
}

// Get returns a connection to the peer at address, which is dialed on its first
// use. If the dial fails, the call returns a *DialError.
func (p *Pool) Get(ctx context.Context, address string) drpcpool.Conn {
	return p.idle.Get(ctx, address, p.dial)
}

// Close closes idle connections. It ignores errors, as the TLS close message
// cannot be sent to a peer that is already gone.
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
