package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// linkMode determines how a proxy treats its connections.
type linkMode int

const (
	// linkOpen forwards all bytes.
	linkOpen linkMode = iota
	// linkDelayed forwards each chunk of bytes after linkDelay.
	linkDelayed
	// linkStalled withholds the bytes of both directions, linkStalledToServer
	// only those to the server and linkStalledFromServer only those from it. They
	// are forwarded once the link is open again, like retransmitted packets.
	linkStalled
	linkStalledToServer
	linkStalledFromServer
	// linkReset resets all connections, including new ones.
	linkReset
	// linkRefused closes all connections and refuses new ones, like a process that has
	// crashed.
	linkRefused
)

// linkDelay is the delay of each chunk of bytes in the mode linkDelayed.
const linkDelay = 60 * time.Millisecond

// proxy is a TCP proxy for one address that can impair its connections. It is
// safe for concurrent use.
type proxy struct {
	ownAddress, target string

	mu sync.Mutex
	// listener is closed in the mode linkRefused, and for good once closed is set.
	listener    net.Listener
	closed      bool
	mode        linkMode
	modeChanged chan struct{}
	conns       map[*net.TCPConn]bool
}

// newProxy listens on an address and forwards its connections to target.
func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{ownAddress: l.Addr().String(), listener: l, target: target, modeChanged: make(chan struct{}), conns: make(map[*net.TCPConn]bool)}
	go p.accept(l)
	return p, nil
}

func (p *proxy) address() string { return p.ownAddress }

func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	_ = p.listener.Close() // An error is ignored: the listener is closed even then.
	p.mu.Unlock()
	p.setMode(linkReset)
}

// setMode changes the mode, which also applies to open connections.
func (p *proxy) setMode(mode linkMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listen(mode)
	p.mode = mode
	close(p.modeChanged)
	p.modeChanged = make(chan struct{})
	if mode != linkReset && mode != linkRefused {
		return
	}
	for c := range p.conns {
		reset(c)
	}
}

// listen stops listening for the mode linkRefused, and listens again for others. If
// another socket has taken the address meanwhile, the link stays refused. The caller holds
// mu.
func (p *proxy) listen(mode linkMode) {
	switch {
	case p.closed:
	case mode == linkRefused && p.mode != linkRefused:
		_ = p.listener.Close() // An error is ignored: the address is free in any case.
	case mode != linkRefused && p.mode == linkRefused:
		l, err := net.Listen("tcp", p.ownAddress)
		if err != nil {
			return
		}
		p.listener = l
		go p.accept(l)
	}
}

// reset closes a connection with a TCP reset, which the peer sees as an error.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0) // An error is ignored: the connection is closed in any case.
	_ = c.Close()
}

func (p *proxy) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return // The listener is closed.
		}
		go p.serve(conn.(*net.TCPConn))
	}
}

func (p *proxy) serve(client *net.TCPConn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil || !p.track(client, server.(*net.TCPConn)) {
		reset(client)
		if err == nil {
			_ = server.Close() // An error is ignored: no bytes were sent.
		}
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.forward(server.(*net.TCPConn), client, linkStalledToServer) })
	both.Go(func() { p.forward(client, server.(*net.TCPConn), linkStalledFromServer) })
	both.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, client)
	delete(p.conns, server.(*net.TCPConn))
}

// track adds connections to those that setMode resets. It reports false if the
// proxy resets new connections.
func (p *proxy) track(conns ...*net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == linkReset || p.mode == linkRefused {
		return false
	}
	for _, c := range conns {
		p.conns[c] = true
	}
	return true
}

// forward copies bytes in one direction, as the mode allows. It passes a read
// error on as a reset, so that a truncated transfer does not look complete.
func (p *proxy) forward(to, from *net.TCPConn, direction linkMode) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		p.waitToForward(direction)
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				reset(from)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = to.CloseWrite() // An error is ignored: the other direction notices a broken connection.
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// waitToForward returns once bytes of a direction may be forwarded.
func (p *proxy) waitToForward(direction linkMode) {
	for {
		p.mu.Lock()
		mode, changed := p.mode, p.modeChanged
		p.mu.Unlock()
		switch mode {
		case linkDelayed:
			time.Sleep(linkDelay)
			return
		case linkStalled, direction:
			<-changed
		default:
			return
		}
	}
}
