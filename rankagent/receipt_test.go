package rankagent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/groupmap"
	"bluebellwind.example/mesh"
	"bluebellwind.example/mesh/meshpb"
)

// Guards against repeated orders that a server rejects, and against an order that failed
// and is never carried out.
func TestRepeatedPrepareIsCarriedOutOnlyIfItFailed(t *testing.T) {
	engine := newFakeEngine(2, 4, groupmap.RankState{Epoch: 1, Open: true})
	a := newFakeAgent("s", map[string]*fakeEngine{"s": engine})
	node, err := mesh.Listen(mesh.Options{Self: mesh.Peer{ID: "a", Address: "127.0.0.1:0"}, OnError: func(error) {}})
	assert.NilError(t, err)
	a.mesh = node
	order := &meshpb.RankOrder{Kind: uint32(groupmap.Prepare), Group: "g", Epoch: 1, Version: 7, Rank: 2}
	assert.Assert(t, a.beginPrepare(order))
	assert.Assert(t, !a.beginPrepare(order), "a repetition was carried out while the order is")
	prepare := groupmap.Order{Rank: 2, Kind: groupmap.Prepare, Epoch: 1, Version: 7}
	a.endPrepare(prepare, nil)
	assert.Assert(t, !a.beginPrepare(order))
	a.endPrepare(prepare, errUnknownBaseMap)
	assert.Assert(t, a.beginPrepare(order), "the repetition of a failed order was ignored")
	order.Epoch = 2
	assert.Assert(t, a.beginPrepare(order))
}

// Guards against repetitions of orders that are still on the link, in groups of any size.
func TestReceiptTimeoutCoversTheTransmission(t *testing.T) {
	const link, bytes = 750_000, 2000
	for _, size := range []int{8, 32, 96, 256} {
		l := groupOfLeader(t, 0, size, groupmap.RankState{Epoch: 1, Open: true})
		l.agent.options.LinkBytesPerSecond = link
		hops := size
		if size > maxSmallGroup {
			hops = largeGroupCandidates + size/largeGroupCandidates
		}
		transmission := time.Duration(float64(hops*bytes) / link * float64(time.Second))
		assert.Assert(t, l.receiptTimeout(bytes) > transmission, "%d ranks", size)
		assert.Assert(t, l.receiptTimeout(bytes) < minReceiptTimeout+3*transmission, "%d ranks", size)
	}
}

// Guards against whole maps that are sent to agents that lost a datagram but can read the
// difference, and against differences that an agent which cannot read them gets for ever.
func TestRepetitionBecomesAWholeMapOnlyWithTime(t *testing.T) {
	l := groupOfLeader(t, 0, 4, groupmap.RankState{Epoch: 1, Open: true, Step: 10, MapVersion: 3})
	l.currentMap = groupmap.InitialMap(groupmap.Shape{Sets: 1, Ranks: 4, Experts: 64})
	l.currentMap.Version = 3
	next := l.currentMap.Clone()
	next.Version, next.Experts[0][1] = 7, append(next.Experts[0][1], 2)
	l.noteMap(2, mapKey{1, 3}, true)
	order := groupmap.Order{Rank: 2, Kind: groupmap.Prepare, Version: 7, Epoch: 1, Map: next, Resent: true, Unconfirmed: wholeMapDelay / 2}
	assert.Assert(t, len(l.orderMessage(relayedOrder{order: order}).Difference) > 0)
	order.Unconfirmed = wholeMapDelay
	assert.Assert(t, len(l.orderMessage(relayedOrder{order: order}).Map) > 0)
}
