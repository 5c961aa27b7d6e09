package mesh

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"bluebellwind.example/internal/panics"
	"bluebellwind.example/mesh/meshpb"
)

func newTestNode(tb testing.TB, handler Handler, onPanic func(error)) *Node {
	tb.Helper()
	node, err := Listen(Options{
		Self:    Peer{ID: "self", Address: "127.0.0.1:0", Role: Gateway, Zone: "z", Incarnation: 1},
		Handler: handler, OnError: func(error) {}, OnPanic: onPanic, OnPeerChange: func(Peer, bool) {},
	})
	assert.NilError(tb, err)
	tb.Cleanup(func() { _ = node.socket.Close() })
	return node
}

// A datagram, whatever its bytes, must not end the process.
func FuzzHandleDatagram(f *testing.F) {
	whole, err := proto.Marshal(&meshpb.Packet{
		From:  &meshpb.Peer{Id: "p", Address: "127.0.0.1:1", Role: 2, Zone: "z", Incarnation: 3},
		Peers: []*meshpb.Peer{{Id: "q", Address: "no address", Role: 9, AgeMs: 1 << 31}, {Id: "self"}, {}},
	})
	assert.NilError(f, err)
	for _, seed := range [][]byte{nil, whole, whole[:len(whole)/2], whole[:len(whole)-1], []byte("\xff\xff nonsense")} {
		f.Add(seed)
	}
	node := newTestNode(f, func(Peer, *meshpb.Packet) {}, nil)
	f.Fuzz(func(t *testing.T, datagram []byte) {
		node.handleDatagram(datagram, netip.MustParseAddrPort("127.0.0.1:9"))
		node.mu.Lock()
		defer node.mu.Unlock()
		node.peers.Expire(time.Now().Add(time.Minute))
	})
}

// A panic of the handler for one datagram ended the process, and with it all streams that it
// relayed.
func TestPanicOfAHandlerLosesOneDatagram(t *testing.T) {
	handled, reported := make(chan uint64, 2), make(chan error, 1)
	node := newTestNode(t, func(_ Peer, p *meshpb.Packet) {
		if p.Status.Step == 1 {
			panic("cannot handle this")
		}
		handled <- p.Status.Step
	}, func(err error) { reported <- err })
	node.options.Self.ID = "sender"
	go node.Run(t.Context())
	for step := range uint64(2) {
		to := node.socket.LocalAddr().String()
		node.Send(&meshpb.Packet{Status: &meshpb.RankStatus{Step: step + 1}}, Peer{ID: "self", Address: to})
	}
	var caught *panics.Error
	assert.Assert(t, errors.As(<-reported, &caught))
	assert.Equal(t, <-handled, uint64(2))
}
