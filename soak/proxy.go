package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// linkMode is how a proxy treats its connections.
type linkMode int

const (
	// linkOpen passes bytes on.
	linkOpen linkMode = iota
	// linkSlow passes them on late.
	linkSlow
	// linkSilent keeps the bytes of both directions back, linkForward only those
	// to the server and linkBack only those from it. They follow once the link
	// is open again, as retransmissions would.
	linkSilent
	linkForward
	linkBack
	// linkReset resets all connections, also new ones.
	linkReset
)

// slowLink is the delay of each chunk of bytes on a slow link.
const slowLink = 60 * time.Millisecond

// proxy stands before an address. It is safe for concurrent use.
type proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	mode    linkMode
	changed chan struct{}
	conns   map[*net.TCPConn]bool
}

// newProxy listens on an address for connections to target.
func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, changed: make(chan struct{}), conns: make(map[*net.TCPConn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) close() {
	_ = p.listener.Close() // Nothing listens any more either way.
	p.set(linkReset)
}

// set changes the mode, also of connections that are open.
func (p *proxy) set(mode linkMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	close(p.changed)
	p.changed = make(chan struct{})
	if mode != linkReset {
		return
	}
	for c := range p.conns {
		reset(c)
	}
}

// reset closes a connection so that the other side sees a reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0) // It is closed either way.
	_ = c.Close()
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return // The proxy is closed.
		}
		go p.serve(conn.(*net.TCPConn))
	}
}

func (p *proxy) serve(client *net.TCPConn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil || !p.track(client, server.(*net.TCPConn)) {
		reset(client)
		if err == nil {
			_ = server.Close() // Nothing was sent.
		}
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.copy(server.(*net.TCPConn), client, linkForward) })
	both.Go(func() { p.copy(client, server.(*net.TCPConn), linkBack) })
	both.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, client)
	delete(p.conns, server.(*net.TCPConn))
}

// track reports false if the link resets connections.
func (p *proxy) track(conns ...*net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == linkReset {
		return false
	}
	for _, c := range conns {
		p.conns[c] = true
	}
	return true
}

// copy passes bytes on in one direction, as the mode allows. An end that is
// broken off is passed on as a reset, so that nothing looks complete.
func (p *proxy) copy(to, from *net.TCPConn, direction linkMode) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		p.wait(direction)
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				reset(from)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = to.CloseWrite() // The other direction ends by itself.
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// wait returns once bytes of a direction may pass.
func (p *proxy) wait(direction linkMode) {
	for {
		p.mu.Lock()
		mode, changed := p.mode, p.changed
		p.mu.Unlock()
		switch mode {
		case linkSlow:
			time.Sleep(slowLink)
			return
		case linkSilent, direction:
			<-changed
		default:
			return
		}
	}
}
