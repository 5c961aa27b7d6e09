package rankagent

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/groupmap"
)

// Guards against a switch that waits for the leader to repeat an order that a server left
// unanswered: the leader does so only after 0.35 s and more, and with many ranks one of
// them has lost the order in each round.
func TestUnansweredPrepareIsRepeatedAtOnce(t *testing.T) {
	engine := newFakeEngine(3, 32, groupmap.RankState{Epoch: 1, Open: true})
	engine.unanswered = 3
	agent := newFakeAgent("a", map[string]*fakeEngine{"a": engine})
	began := time.Now()
	err := agent.orderLocal(context.Background(), groupmap.Order{Rank: 3, Kind: groupmap.Prepare, Epoch: 1, Version: 7})
	assert.NilError(t, err)
	assert.Equal(t, engine.state.PreparedVersion, uint64(7))
	assert.Equal(t, len(engine.orders), 4)
	assert.Assert(t, time.Since(began) < minPrepareResendInterval)
}

// Guards against repetitions without end, and of orders whose repetition is the leader's
// decision.
func TestRepetitionOfOrdersIsBounded(t *testing.T) {
	for _, c := range []struct {
		kind groupmap.OrderKind
		want int
	}{{groupmap.Prepare, maxPrepareAttempts}, {groupmap.Arm, 1}, {groupmap.Hold, 1}, {groupmap.Release, 1}} {
		engine := newFakeEngine(0, 2, groupmap.RankState{Epoch: 1, Open: true})
		engine.unanswered = 100
		agent := newFakeAgent("a", map[string]*fakeEngine{"a": engine})
		err := agent.orderLocal(context.Background(), groupmap.Order{Kind: c.kind, Epoch: 1, Version: 7})
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Equal(t, len(engine.orders), c.want, c.kind.String())
	}
}
