package backends

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/ingress"
)

// A rank whose agent was restarted had no status for a while. It was taken for idle, got
// all streams, and refused them.
func TestRankWithoutAStatusIsNotTakenForIdle(t *testing.T) {
	d := NewDirectory("z", 1)
	engine := &ingress.Engine{Slots: 12, Step: 5 * time.Millisecond, AnswerTokens: 140, Stride: 5, PrefillPerSecond: 60_000}
	service := &ingress.Service{Name: "svc", Engine: engine}
	start := time.Now()
	for rank := range 4 {
		group := Group{Name: "g", Epoch: 1, Rank: rank, Size: 4}
		address := fmt.Sprintf("10.0.0.%d:1", rank)
		d.Put(Server{ID: fmt.Sprint(rank), Service: "svc", Address: address, Zone: "z", Slots: 12, Group: group, Open: true})
		if rank > 0 {
			d.UpdateStatus(address, Status{Up: true, Open: true, Group: group, Running: 6, PassTime: 60 * time.Millisecond, ReceivedAt: start})
		}
	}
	picked := make(map[string]int)
	for i := range 24 {
		now := start.Add(time.Duration(i) * 5 * time.Millisecond)
		choice, err := d.Pick(PickRequest{
			Service: service, ServiceName: "svc", PromptTokens: 800, StartObjective: 400 * time.Millisecond, GatewayCount: 1,
		}, now)
		assert.NilError(t, err)
		picked[choice.ID]++
	}
	assert.Assert(t, picked["0"] <= 8, "%v", picked)
	assert.Assert(t, picked["0"] > 0, "%v", picked)
}
