package mesh

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"bluebellwind.example/mesh/meshpb"
)

const (
	// helloPeriod is the time between two introductions to random peers.
	helloPeriod = 500 * time.Millisecond
	// helloFanout is how many random peers each introduction goes to.
	helloFanout = 2
	// helloPeers is how many peers an introduction names.
	helloPeers = 24
	// peerLifetime is how long a peer counts as alive without news.
	peerLifetime = 8 * time.Second
	// maxDatagram is the largest datagram that is read, in bytes.
	maxDatagram = 64 << 10
	// socketBuffer holds what arrives while the process does not run, in bytes.
	socketBuffer = 256 << 10
)

// Handler takes the datagrams of peers. It is called from one goroutine and
// must not block.
type Handler func(from Peer, packet *meshpb.Packet)

// Options configure a Node.
type Options struct {
	Self Peer
	// Seeds are addresses of processes to begin with, IP:port.
	Seeds   []string
	Handler Handler
	// OnPeer is told of each peer that appears or is lost; it may be nil.
	OnPeer func(p Peer, alive bool)
	// OnError is told of datagrams that could not be sent or read.
	OnError func(err error)
}

// Node is one process's part in the mesh. It is safe for concurrent use.
type Node struct {
	options Options
	socket  *net.UDPConn
	seeds   []netip.AddrPort

	mu    sync.Mutex
	peers *Peers
	rng   *rand.Rand
}

// Listen opens the socket at the address of options.Self. Run does the rest.
func Listen(o Options) (*Node, error) {
	local, err := netip.ParseAddrPort(o.Self.Address)
	if err != nil {
		return nil, fmt.Errorf("mesh: address: %w", err)
	}
	n := &Node{
		options: o,
		peers:   NewPeers(o.Self, peerLifetime),
		rng:     rand.New(rand.NewPCG(o.Self.Incarnation, uint64(len(o.Self.ID)))),
	}
	for _, text := range o.Seeds {
		seed, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("mesh: seed: %w", err)
		}
		if seed != local {
			n.seeds = append(n.seeds, seed)
		}
	}
	n.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return nil, fmt.Errorf("mesh: %w", err)
	}
	if err := n.socket.SetReadBuffer(socketBuffer); err != nil {
		o.OnError(fmt.Errorf("mesh: read buffer: %w", err))
	}
	return n, nil
}

// Run introduces this process and reads datagrams until ctx ends.
func (n *Node) Run(ctx context.Context) {
	defer context.AfterFunc(ctx, func() { _ = n.socket.Close() })()
	go n.introduce(ctx)
	buffer := make([]byte, maxDatagram)
	for {
		size, from, err := n.socket.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			n.options.OnError(fmt.Errorf("mesh: read: %w", err))
			time.Sleep(10 * time.Millisecond) // Do not spin on a socket that fails.
			continue
		}
		n.receive(buffer[:size], from)
	}
}

func (n *Node) introduce(ctx context.Context) {
	ticker := time.NewTicker(helloPeriod)
	defer ticker.Stop()
	n.hello()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.hello()
		}
	}
}

// hello names some peers to the seeds that are not known yet and to a few peers.
func (n *Node) hello() {
	now := time.Now()
	n.mu.Lock()
	gone := n.peers.Expire(now)
	targets := n.peers.Sample(helloFanout, n.rng)
	heard := make(map[string]bool)
	for _, p := range n.peers.known {
		heard[p.Address] = true
	}
	packet := n.introduction(now)
	n.mu.Unlock()
	for _, p := range gone {
		n.notice(p, false)
	}
	payload := n.encode(packet)
	for _, seed := range n.seeds {
		if !heard[seed.String()] {
			n.write(payload, seed)
		}
	}
	for _, p := range targets {
		n.writeTo(payload, p)
	}
}

// introduction names this process and some of its peers. The lock is held.
func (n *Node) introduction(now time.Time) *meshpb.Packet {
	packet := &meshpb.Packet{}
	for _, p := range n.peers.Sample(helloPeers, n.rng) {
		packet.Peers = append(packet.Peers, &meshpb.Peer{
			Id: p.ID, Address: p.Address, Role: uint32(p.Role), Zone: p.Zone, Incarnation: p.Incarnation,
			AgeMs: uint32(now.Sub(p.Heard).Milliseconds()),
		})
	}
	return packet
}

func (n *Node) receive(datagram []byte, from netip.AddrPort) {
	packet := &meshpb.Packet{}
	if err := proto.Unmarshal(datagram, packet); err != nil || packet.GetFrom().GetId() == "" {
		n.options.OnError(fmt.Errorf("mesh: datagram of %s cannot be read", from))
		return
	}
	now := time.Now()
	sender := peerOf(packet.From, now)
	var news []Peer
	n.mu.Lock()
	if n.peers.Learn(sender, now) {
		news = append(news, sender)
	}
	for _, p := range packet.Peers {
		if peer := peerOf(p, now); n.peers.Learn(peer, now) {
			news = append(news, peer)
		}
	}
	var reply *meshpb.Packet
	if len(news) > 0 {
		reply = n.introduction(now)
	}
	n.mu.Unlock()
	for _, p := range news {
		n.notice(p, true)
		n.writeTo(n.encode(reply), p)
	}
	n.options.Handler(sender, packet)
}

func peerOf(p *meshpb.Peer, now time.Time) Peer {
	return Peer{
		ID: p.Id, Address: p.Address, Role: Role(p.Role), Zone: p.Zone, Incarnation: p.Incarnation,
		Heard: now.Add(-time.Duration(p.AgeMs) * time.Millisecond),
	}
}

// Peers returns the live peers in a role, sorted by ID.
func (n *Node) Peers(role Role) []Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peers.Of(role)
}

// Count returns how many processes in a role are alive, this one included.
func (n *Node) Count(role Role) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peers.Count(role)
}

// Send sends a datagram to each of the peers. What cannot be sent is dropped.
func (n *Node) Send(packet *meshpb.Packet, to ...Peer) {
	payload := n.encode(packet)
	for _, p := range to {
		n.writeTo(payload, p)
	}
}

func (n *Node) encode(packet *meshpb.Packet) []byte {
	self := n.options.Self
	packet.From = &meshpb.Peer{
		Id: self.ID, Address: self.Address, Role: uint32(self.Role), Zone: self.Zone, Incarnation: self.Incarnation,
	}
	payload, err := proto.Marshal(packet)
	if err != nil {
		n.options.OnError(fmt.Errorf("mesh: encode: %w", err))
	}
	return payload
}

func (n *Node) writeTo(payload []byte, to Peer) {
	address, err := netip.ParseAddrPort(to.Address)
	if err != nil {
		n.options.OnError(fmt.Errorf("mesh: address of %s: %w", to.ID, err))
		return
	}
	n.write(payload, address)
}

func (n *Node) write(payload []byte, to netip.AddrPort) {
	if _, err := n.socket.WriteToUDPAddrPort(payload, to); err != nil {
		n.options.OnError(fmt.Errorf("mesh: send to %s: %w", to, err))
	}
}

func (n *Node) notice(p Peer, alive bool) {
	if n.options.OnPeer != nil {
		n.options.OnPeer(p, alive)
	}
}
