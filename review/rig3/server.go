package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeatPeriod is heartbeat_ms of canopy-coop.
const heartbeatPeriod = 1200 * time.Millisecond

// Names of headers.
const (
	headerAttempt = "X-Bluebellwind-Attempt-Id"
	headerTarget  = "X-Bluebellwind-Target-Instance"
	headerSeal    = "X-Bluebellwind-Server-Seal"
	headerTenant  = "X-Bluebellwind-Tenant"
	headerKey     = "X-Bluebellwind-Credential"
)

// server is a stand-in for one backend server. It keeps its address when it starts again, under
// a new ID.
type server struct {
	rig              *rig
	service, address string
	// behave answers a request that the server has begun to run. It returns false if the
	// connection is to be closed.
	behave func(s *server, c net.Conn, r *http.Request) bool

	mu       sync.Mutex
	id       string
	born     int64
	listener net.Listener
	conns    map[net.Conn]bool
	up       bool
}

func (r *rig) startServer(service string, behave func(*server, net.Conn, *http.Request) bool) *server {
	const firstHost = 100
	s := &server{rig: r, service: service, behave: behave, address: loopback(firstHost+r.servers) + ":0"}
	r.servers++
	s.start()
	go s.heartbeat()
	return s
}

// start starts the server, or starts it again at the address that it had.
func (s *server) start() {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	s.listener, s.address, s.conns, s.up = l, l.Addr().String(), make(map[net.Conn]bool), true
	s.id, s.born = fmt.Sprintf("i-%010x", rand.Int63n(1<<40)), time.Now().UnixMilli()
	s.mu.Unlock()
	s.register()
	go s.accept(l)
}

// register writes the entry of the server in the store.
func (s *server) register() {
	s.mu.Lock()
	key, entry := "servers/"+s.id, map[string]any{
		"service": s.service, "address": s.address, "zone": "se-hall1", "version": "v1", "slots": 6,
		"state": "ready", "cold_remaining_ms": 0, "sequence": 0, "born": s.born,
	}
	s.mu.Unlock()
	s.rig.store.put(key, entry)
}

// heartbeat keeps the entry of a server that is up; it changes nothing in it.
func (s *server) heartbeat() {
	for range time.Tick(heartbeatPeriod) {
		s.mu.Lock()
		up, key := s.up, "servers/"+s.id
		s.mu.Unlock()
		if up && !s.rig.store.has(key) {
			s.register()
		}
	}
}

func (s *server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		known := s.listener == l && s.up
		if known {
			s.conns[c] = true
		}
		s.mu.Unlock()
		if !known {
			reset(c)
			continue
		}
		go s.serve(c)
	}
}

func (s *server) serve(c net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		request.Body = io.NopCloser(bytes.NewReader(body))
		id := request.Header.Get(headerAttempt)
		s.mu.Lock()
		own := s.id
		s.mu.Unlock()
		if target := request.Header.Get(headerTarget); target != "" && target != own {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nX-Bluebellwind-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", headerAttempt, id, own)
			continue
		}
		s.rig.ledger.run(id, arrival{server: own, at: time.Now(), tenant: request.Header.Get(headerTenant)})
		s.rig.record("request %s: server %s runs %s %s", id, own, request.Method, request.RequestURI)
		if !s.behave(s, c, request) {
			return
		}
	}
}

// crash ends the server: its connections are reset, its address refuses others, and it starts
// again after the pause. Its entry lapses after three heartbeats.
func (s *server) crash(pause time.Duration) {
	s.mu.Lock()
	if !s.up {
		s.mu.Unlock()
		return
	}
	s.up = false
	_ = s.listener.Close()
	key := "servers/" + s.id
	s.rig.record("server %s crashes", s.id)
	for c := range s.conns {
		reset(c)
	}
	s.mu.Unlock()
	time.AfterFunc(3*heartbeatPeriod, func() { s.rig.store.remove(key) })
	time.AfterFunc(pause, s.start)
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// answerWhole sends a complete answer with a length.
func (s *server) answerWhole(c net.Conn, r *http.Request, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %x\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
		headerAttempt, r.Header.Get(headerAttempt), headerSeal, rand.Int63(), len(body), body)
	return err == nil
}

// has reports whether the store has a key.
func (s *store) has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, found := s.items[key]
	return found
}
