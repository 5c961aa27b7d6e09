package rankagent

import (
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"bluebellwind.example/groupmap"
	"bluebellwind.example/mesh"
	"bluebellwind.example/mesh/meshpb"
)

// A packet of a peer, whatever its fields, must not end an agent: its model server would
// lose its place in the group.
func FuzzPacketAtAnAgent(f *testing.F) {
	for _, packet := range []*meshpb.Packet{
		{Status: status(2, 9)},
		{Status: &meshpb.RankStatus{Up: true, Group: "g", Rank: 3, Epoch: math.MaxUint64, Step: math.MaxUint64, Running: math.MaxUint32, Prepared: 1, PaceMilli: math.MaxUint32}},
		{Order: &meshpb.RankOrder{Kind: uint32(groupmap.Prepare), Rank: 9, Map: []byte{1, 2, 3, 255, 255, 255, 255}}},
		{Order: &meshpb.RankOrder{Kind: math.MaxUint32, Rank: math.MaxUint32, Difference: []byte{255, 255, 255, 255, 15}, Base: math.MaxUint64}},
		{Order: &meshpb.RankOrder{Kind: uint32(groupmap.Prepare), Difference: []byte{1}, Forward: []uint32{0, math.MaxUint32}}},
		{Popularity: &meshpb.Popularity{Group: "g", Epoch: 1, Rank: 2, Counts: []uint32{math.MaxUint32, 1}, Unit: math.MaxUint32, Held: []uint32{math.MaxUint32, 0}, Sets: math.MaxUint32}},
		{Popularity: &meshpb.Popularity{Group: "g", Epoch: 1, Rank: math.MaxUint32, Sets: 1, Held: []uint32{2, 1}}},
	} {
		whole, err := proto.Marshal(packet)
		assert.NilError(f, err)
		f.Add(whole)
		f.Add(whole[:len(whole)/2])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		packet := &meshpb.Packet{}
		if proto.Unmarshal(data, packet) != nil {
			return
		}
		l := groupOfLeader(t, 0, 4, preparedState)
		for range 2 {
			l.agent.handlePacketForTest(packet)
		}
		l.silentRanksToRead(start.Add(1))
	})
}

// handlePacketForTest handles a packet without the goroutines of orders, which need a mesh.
func (a *Agent) handlePacketForTest(packet *meshpb.Packet) {
	if o := packet.GetOrder(); o != nil {
		if m, err := a.decodeMap(o); err == nil {
			_ = m.Version
		}
		packet.Order = nil
	}
	a.Handle(mesh.Peer{ID: agentID(2), Incarnation: 5}, packet)
}

// An order of an unknown kind was sent to the model server as "go", which releases a group
// that is held before a pass.
func TestOrderOfAnUnknownKindIsNotCarriedOut(t *testing.T) {
	for _, kind := range []uint32{0, uint32(groupmap.Release) + 1, 200, 256 + uint32(groupmap.Release), math.MaxUint32} {
		engine := newFakeEngine(0, 4, preparedState)
		a := newFakeAgent("s", map[string]*fakeEngine{"s": engine})
		node, err := mesh.Listen(mesh.Options{Self: mesh.Peer{ID: "a", Address: "127.0.0.1:0", Role: mesh.RankAgent}, OnError: func(error) {}})
		assert.NilError(t, err)
		a.mesh = node
		a.handleOrder(&meshpb.RankOrder{Kind: kind, Group: "g", Epoch: 1, Step: 10})
		time.Sleep(50 * time.Millisecond) // Orders are carried out in the background.
		engine.mu.Lock()
		assert.Equal(t, len(engine.orders), 0, "kind %d was carried out", kind)
		engine.mu.Unlock()
	}
}
