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

	"bluebellwind.example/internal/keys"
	"bluebellwind.example/internal/nettimeout"
)

const handshakeTimeout = 5 * time.Second

// Server serves drpc to peers, each with the handler of its role.
type Server struct {
	keys     *keys.Store
	handlers map[keys.Role]*drpcserver.Server
	refused  func(net.Addr, error)

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	wg    sync.WaitGroup
}

// NewServer returns a server. A peer whose role has no handler is refused in
// its handshake; refused, which may be nil, is told.
func NewServer(store *keys.Store, handlers map[keys.Role]drpc.Handler, refused func(net.Addr, error)) *Server {
	s := &Server{
		keys:     store,
		handlers: map[keys.Role]*drpcserver.Server{},
		refused:  refused,
		conns:    map[net.Conn]struct{}{},
	}
	for role, h := range handlers {
		s.handlers[role] = drpcserver.New(h)
	}
	return s
}

// Serve accepts connections until l is closed, which is no error.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	roles := make([]keys.Role, 0, len(s.handlers))
	for role := range s.handlers {
		roles = append(roles, role)
	}
	cfg := s.keys.Server(roles...)
	for {
		raw, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond) // Out of descriptors: wait for some to close.
			continue
		}
		if err := nettimeout.Set(raw, unackedTimeout); err != nil {
			raw.Close() // Closed by its peer already.
			continue
		}
		s.track(raw)
		s.wg.Add(1)
		go s.serveOne(ctx, raw, tls.Server(raw, cfg))
	}
}

// Close closes every connection and waits for its handler.
func (s *Server) Close() {
	s.mu.Lock()
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Server) serveOne(ctx context.Context, raw net.Conn, conn *tls.Conn) {
	defer s.wg.Done()
	defer s.untrack(raw)
	hctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	err := conn.HandshakeContext(hctx)
	cancel()
	if err != nil {
		raw.Close()
		if s.refused != nil {
			s.refused(raw.RemoteAddr(), err)
		}
		return
	}
	// The error only says how the connection ended; calls report their own.
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
