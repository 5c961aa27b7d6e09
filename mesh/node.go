package mesh

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"bluebellwind.example/internal/clock"
	"bluebellwind.example/internal/panics"
	"bluebellwind.example/mesh/meshpb"
)

const (
	// helloInterval is the time between two rounds of hello packets, which list
	// peers that the sender knows.
	helloInterval = 500 * time.Millisecond
	// helloFanout is the number of random peers that receive the hello packet of
	// each round.
	helloFanout = 2
	// maxHelloPeers is the greatest number of peers that a hello packet contains.
	maxHelloPeers = 24
	// peerLifetime is how long a peer counts as alive after it was last seen.
	peerLifetime = 8 * time.Second
	// DefaultMaxPeers is the default of Options.MaxPeers, several times the size that the system
	// is designed for.
	DefaultMaxPeers = 8192
	// maxDatagram is the size of the largest datagram that can be read, in bytes.
	maxDatagram = 64 << 10
	// socketBuffer is the size of the socket's read buffer, in bytes. The buffer
	// holds the datagrams that arrive while the process is stopped or not
	// scheduled.
	socketBuffer = 256 << 10
)

// Handler processes the packets of peers. It is called from a single goroutine
// and must not block.
type Handler func(from Peer, packet *meshpb.Packet)

// Options configures a Node.
type Options struct {
	// Self describes this process to its peers.
	Self Peer
	// Seeds holds the addresses, IP:port, of the processes that are contacted
	// first.
	Seeds   []string
	Handler Handler
	// LinkBytesPerSecond is the rate of the instance's link, which datagrams do not exceed;
	// zero if it is not known.
	LinkBytesPerSecond float64
	// MaxPeers is the greatest number of other processes that are known; zero for the default.
	MaxPeers int
	// OnPeerChange is called for each peer that is discovered or has expired; it
	// may be nil.
	OnPeerChange func(p Peer, alive bool)
	// OnError is called for each datagram that cannot be sent, read or decoded,
	// and for errors of the socket. It must not be nil.
	OnError func(err error)
	// OnPanic is called with a *panics.Error if the handling of a datagram panics. If it is
	// nil, OnError is called.
	OnPanic func(err error)
}

// Node connects one process to the mesh. It is safe for concurrent use.
type Node struct {
	options Options
	socket  *net.UDPConn
	seeds   []netip.AddrPort
	// pacer is nil if the rate of the link is not known.
	pacer *pacer

	mu    sync.Mutex
	peers *PeerSet
	rng   *rand.Rand

	sentDatagrams, sentBytes, receivedDatagrams, receivedBytes atomic.Uint64
}

// Traffic is what a node has sent and received, in datagrams and in bytes without the
// headers of the network. DroppedDatagrams were not sent because too many waited for the
// link.
type Traffic struct {
	SentDatagrams, SentBytes, ReceivedDatagrams, ReceivedBytes, DroppedDatagrams uint64
}

// Traffic returns what the node has sent and received since it was created.
func (n *Node) Traffic() Traffic {
	t := Traffic{
		SentDatagrams: n.sentDatagrams.Load(), SentBytes: n.sentBytes.Load(),
		ReceivedDatagrams: n.receivedDatagrams.Load(), ReceivedBytes: n.receivedBytes.Load(),
	}
	if n.pacer != nil {
		t.DroppedDatagrams = n.pacer.droppedCount()
	}
	return t
}

// Listen opens the socket at the address of o.Self and returns a Node. The Node
// handles no datagrams until Run is called.
func Listen(o Options) (*Node, error) {
	local, err := netip.ParseAddrPort(o.Self.Address)
	if err != nil {
		return nil, fmt.Errorf("mesh: own address: %w", err)
	}
	if o.OnPanic == nil {
		o.OnPanic = o.OnError
	}
	n := &Node{
		options: o,
		peers:   NewPeerSet(o.Self, peerLifetime, cmp.Or(o.MaxPeers, DefaultMaxPeers)),
		rng:     rand.New(rand.NewPCG(o.Self.Incarnation, uint64(len(o.Self.ID)))),
	}
	if o.LinkBytesPerSecond > 0 {
		n.pacer = newPacer(o.LinkBytesPerSecond, n.writeDatagram)
	}
	for _, text := range o.Seeds {
		seed, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("mesh: seed address: %w", err)
		}
		if seed != local {
			n.seeds = append(n.seeds, seed)
		}
	}
	n.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return nil, fmt.Errorf("mesh: listen: %w", err)
	}
	if err := n.socket.SetReadBuffer(socketBuffer); err != nil {
		o.OnError(fmt.Errorf("mesh: set read buffer: %w", err))
	}
	return n, nil
}

// Run sends hello packets and handles received datagrams until ctx ends. It then
// closes the socket.
func (n *Node) Run(ctx context.Context) {
	defer context.AfterFunc(ctx, func() { _ = n.socket.Close() })()
	go n.runHellos(ctx)
	if n.pacer != nil {
		go n.pacer.run(ctx)
	}
	buffer := make([]byte, maxDatagram)
	for {
		size, from, err := n.socket.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			n.options.OnError(fmt.Errorf("mesh: read: %w", err))
			time.Sleep(10 * time.Millisecond) // Avoids a busy loop if the socket keeps failing.
			continue
		}
		n.receivedDatagrams.Add(1)
		n.receivedBytes.Add(uint64(size))
		if err := panics.Do("handling a datagram from "+from.String(), func() { n.handleDatagram(buffer[:size], from) }); err != nil {
			n.options.OnPanic(err)
		}
	}
}

// runHellos sends a round of hello packets periodically until ctx ends.
func (n *Node) runHellos(ctx context.Context) {
	n.sendHello()
	clock.Every(ctx, helloInterval, func(time.Time) { n.sendHello() })
}

// sendHello removes expired peers, and sends a hello packet to the seeds that are
// not known as peers and to a few random peers.
func (n *Node) sendHello() {
	now := time.Now()
	n.mu.Lock()
	expired := n.peers.Expire(now)
	targets := n.peers.Sample(helloFanout, n.rng)
	knownAddresses := make(map[string]bool)
	for _, p := range n.peers.byID {
		knownAddresses[p.Address] = true
	}
	packet := n.helloPacket(now)
	n.mu.Unlock()
	for _, p := range expired {
		n.notifyPeerChange(p, false)
	}
	payload := n.encode(packet)
	for _, seed := range n.seeds {
		if !knownAddresses[seed.String()] {
			n.sendDatagram(payload, seed, bulk)
		}
	}
	for _, p := range targets {
		n.sendToPeer(payload, p, bulk)
	}
}

// helloPacket returns a packet with a random sample of the known peers. The
// caller holds mu.
func (n *Node) helloPacket(now time.Time) *meshpb.Packet {
	packet := &meshpb.Packet{}
	for _, p := range n.peers.Sample(maxHelloPeers, n.rng) {
		packet.Peers = append(packet.Peers, &meshpb.Peer{
			Id: p.ID, Address: p.Address, Role: uint32(p.Role), Zone: p.Zone, Incarnation: p.Incarnation,
			AgeMs: uint32(now.Sub(p.LastSeen).Milliseconds()),
		})
	}
	return packet
}

// handleDatagram decodes a datagram, updates the peers from it and passes it to
// the handler. It sends a hello packet to each newly discovered peer, so that a
// new process soon knows the others.
func (n *Node) handleDatagram(datagram []byte, from netip.AddrPort) {
	packet := &meshpb.Packet{}
	if err := proto.Unmarshal(datagram, packet); err != nil || packet.GetFrom().GetId() == "" {
		n.options.OnError(fmt.Errorf("mesh: invalid datagram from %s", from))
		return
	}
	now := time.Now()
	sender := peerFromProto(packet.From, now)
	discovered, reply := n.updatePeers(sender, packet.Peers, now)
	for _, p := range discovered {
		n.notifyPeerChange(p, true)
		n.sendToPeer(n.encode(reply), p, bulk)
	}
	n.options.Handler(sender, packet)
}

// updatePeers updates the peers from a packet. It returns those that were not known before
// and, if there are any, the hello packet for them.
func (n *Node) updatePeers(sender Peer, others []*meshpb.Peer, now time.Time) (discovered []Peer, reply *meshpb.Packet) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.peers.Update(sender, now) {
		discovered = append(discovered, sender)
	}
	for _, p := range others {
		if peer := peerFromProto(p, now); n.peers.Update(peer, now) {
			discovered = append(discovered, peer)
		}
	}
	if len(discovered) > 0 {
		reply = n.helloPacket(now)
	}
	return discovered, reply
}

// peerFromProto converts a peer from a packet that arrived at now. The packet
// states an age instead of a time, so that clocks need not be synchronized.
func peerFromProto(p *meshpb.Peer, now time.Time) Peer {
	return Peer{
		ID: p.Id, Address: p.Address, Role: Role(p.Role), Zone: p.Zone, Incarnation: p.Incarnation,
		LastSeen: now.Add(-time.Duration(p.AgeMs) * time.Millisecond),
	}
}

// Zone returns the availability zone of this process.
func (n *Node) Zone() string { return n.options.Self.Zone }

// Peers returns the other live processes with the given role, sorted by ID.
func (n *Node) Peers(role Role) []Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peers.WithRole(role)
}

// Count returns the number of live processes with the given role, including this
// one.
func (n *Node) Count(role Role) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peers.Count(role)
}

// Send sends packet to each of the given peers, and sets its From field to this
// process. A datagram waits while the link is full. One that cannot be sent is dropped and
// reported to OnError.
func (n *Node) Send(packet *meshpb.Packet, to ...Peer) {
	payload := n.encode(packet)
	urgency := priorityOf(packet)
	for _, p := range to {
		n.sendToPeer(payload, p, urgency)
	}
}

// Flush waits until no datagram waits for the link, for at most the given timeout. A process
// that exits calls it so that its last messages leave.
func (n *Node) Flush(timeout time.Duration) {
	if n.pacer == nil {
		return
	}
	for deadline := time.Now().Add(timeout); n.pacer.waiting() && time.Now().Before(deadline); {
		time.Sleep(minPause)
	}
}

func priorityOf(packet *meshpb.Packet) priority {
	switch {
	case packet.Order != nil:
		return urgent
	case packet.Popularity != nil:
		return bulk
	}
	return regular
}

// encode sets the sender of packet to this process and marshals it.
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

func (n *Node) sendToPeer(payload []byte, to Peer, urgency priority) {
	address, err := netip.ParseAddrPort(to.Address)
	if err != nil {
		n.options.OnError(fmt.Errorf("mesh: address of peer %s: %w", to.ID, err))
		return
	}
	n.sendDatagram(payload, address, urgency)
}

func (n *Node) sendDatagram(payload []byte, to netip.AddrPort, urgency priority) {
	if n.pacer == nil {
		n.writeDatagram(payload, to)
		return
	}
	n.pacer.Send(datagram{payload, to}, urgency, time.Now())
}

func (n *Node) writeDatagram(payload []byte, to netip.AddrPort) {
	n.sentDatagrams.Add(1)
	n.sentBytes.Add(uint64(len(payload)))
	if _, err := n.socket.WriteToUDPAddrPort(payload, to); err != nil {
		n.options.OnError(fmt.Errorf("mesh: send to %s: %w", to, err))
	}
}

func (n *Node) notifyPeerChange(p Peer, alive bool) {
	if n.options.OnPeerChange != nil {
		n.options.OnPeerChange(p, alive)
	}
}
