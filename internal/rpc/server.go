package rpc

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcserver"

	"bluebellwind.example/internal/connguard"
	"bluebellwind.example/internal/keys"
	"bluebellwind.example/internal/nettimeout"
)

// handshakeTimeout bounds the TLS handshake of an accepted connection.
const handshakeTimeout = 5 * time.Second

// Server serves drpc calls of peers with the handler for the peer's role.
type Server struct {
	keys      *keys.Store
	handlers  map[keys.Role]*drpcserver.Server
	onRefused func(net.Addr, error)
	// guard bounds the connections whose handshake has not ended.
	guard *connguard.Guard

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	wg    sync.WaitGroup
}

// NewServer returns a server. A peer whose role has no handler is rejected during
// the TLS handshake. At most handshakes connections may be in it at the same time.
// onRefused, if not nil, is called for each failed handshake.
func NewServer(store *keys.Store, handshakes int, handlers map[keys.Role]drpc.Handler, onRefused func(net.Addr, error)) *Server {
	s := &Server{
		keys:      store,
		handlers:  map[keys.Role]*drpcserver.Server{},
		onRefused: onRefused,
		guard:     connguard.New(connguard.Options{Connections: handshakes}),
		conns:     map[net.Conn]struct{}{},
	}
	for role, h := range handlers {
		s.handlers[role] = drpcserver.New(h)
	}
	return s
}

// Serve accepts connections until l is closed and then returns nil.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	roles := make([]keys.Role, 0, len(s.handlers))
	for role := range s.handlers {
		roles = append(roles, role)
	}
	cfg := s.keys.Server(roles...)
	l = s.guard.Listener(l)
	for {
		raw, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond) // Out of file descriptors: wait until some are closed.
			continue
		}
		if err := nettimeout.Set(raw, unackedTimeout); err != nil {
			raw.Close() // The peer has already closed the connection.
			continue
		}
		s.track(raw)
		s.wg.Add(1)
		go s.serveConn(ctx, raw, tls.Server(raw, cfg))
	}
}

// Close closes all connections and waits until their handlers have returned.
func (s *Server) Close() {
	s.mu.Lock()
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Server) serveConn(ctx context.Context, raw net.Conn, conn *tls.Conn) {
	defer s.wg.Done()
	defer s.untrack(raw)
	handshakeCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	err := conn.HandshakeContext(handshakeCtx)
	cancel()
	if err != nil {
		raw.Close()
		if s.onRefused != nil {
			s.onRefused(raw.RemoteAddr(), err)
		}
		return
	}
	if c, ok := raw.(*connguard.Conn); ok {
		c.Trust()
	}
	// The error only describes how the connection ended; errors of calls are
	// returned to their callers.
	_ = s.handlers[keys.RoleOf(conn.ConnectionState())].ServeOne(ctx, conn)
	raw.Close()
}

func (s *Server) track(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
}

func (s *Server) untrack(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}
