package agent

import (
	"fmt"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"bluebellwind.example/expertmap"
	"bluebellwind.example/internal/rankpb"
	"bluebellwind.example/mapswitch"
)

// reach returns all agents that a call reaches, and the depth of the tree.
func reach(addresses []string) (reached []string, depth int) {
	for _, tree := range subtrees(addresses) {
		below, belowDepth := reach(tree.descendants)
		reached = append(append(reached, tree.address), below...)
		depth = max(depth, belowDepth+1)
	}
	return reached, depth
}

func TestTreeReachesEveryAgentOnce(t *testing.T) {
	for n := range 256 {
		var all []string
		for i := range n {
			all = append(all, fmt.Sprintf("10.0.0.%03d:7000", i))
		}
		reached, depth := reach(all)
		slices.Sort(reached)
		assert.DeepEqual(t, reached, all)
		assert.Assert(t, depth <= 8, "%d agents: depth %d", n, depth)
	}
}

// TestLeaderKeepsToItsBytes encodes the messages that the agent that plans and
// leads the largest group sends and receives in a plan interval with one switch:
// 256 ranks on 64 agents, 58 layers of 256 experts. The bound is 24 KB/s over 30 s.
func TestLeaderKeepsToItsBytes(t *testing.T) {
	const agents, total, layers, experts, slots, budgetBytes = 64, 256, 58, 256, 2, 24_000 * 30
	label := mapswitch.Label{Map: "123-0123456789abcdef", ChosenBy: mapswitch.Attempt{ProcessNonce: 1 << 63, Seq: 9}}
	reply := &rankpb.ObserveReply{Popularity: &rankpb.Popularity{StartMs: 1 << 40, EndMs: 1 << 40}}
	request := &rankpb.ObserveRequest{Group: "drafts"}
	for rank := range total {
		status := mapswitch.RankStatus{Process: 1 << 63, Step: 1 << 30, InUse: label, Attempt: label.ChosenBy}
		reply.Ranks = append(reply.Ranks, &rankpb.Observation{Rank: uint32(rank), Status: rankpb.FromStatus(status), Window: 1 << 20, Load: 1, Seconds: 1})
		request.After = append(request.After, &rankpb.Cursor{Rank: uint32(rank), Window: 1 << 20})
	}
	for range layers {
		// 710,000 tokens/s for 30 s, 8 experts per token, all equally popular.
		layer := &rankpb.Layer{}
		for range experts {
			layer.Tokens = append(layer.Tokens, 710_000*30*8/experts)
		}
		reply.Popularity.Layers = append(reply.Popularity.Layers, layer)
	}
	encoded, err := expertmap.NewMap(layers, experts, total, slots).AppendBinary(nil)
	assert.NilError(t, err)
	stage := &rankpb.StageRequest{Group: "drafts", Map: encoded}
	for range agents {
		request.PassOn = append(request.PassOn, "10.0.0.123:7000")
		stage.PassOn = append(stage.PassOn, "10.0.0.123:7000")
	}
	orders := &rankpb.OrderRequest{Group: "drafts"}
	orderReplies := &rankpb.OrderReply{}
	for rank := range mapswitch.Rank(total) {
		status := reply.Ranks[rank].GetStatus().Native()
		status.Hold = &mapswitch.Hold{Label: label, Step: 1 << 30}
		arm := &mapswitch.ArmOrder{Condition: mapswitch.Condition{Process: status.Process, InUse: label, Attempt: status.Attempt}, Attempt: label.ChosenBy, Label: label, Step: status.Step}
		orders.Requests = append(orders.Requests, rankpb.FromRequest(mapswitch.Request{Rank: rank, Kind: mapswitch.Arm, Attempt: label.ChosenBy, Arm: arm}))
		orderReplies.Replies = append(orderReplies.Replies, rankpb.FromReply(mapswitch.Reply{Rank: rank, Kind: mapswitch.Arm, Attempt: label.ChosenBy, Status: status}))
	}
	const phases = 3 // All are counted with the size of the second phase, which arms the ranks.
	switchBytes := phases * (proto.Size(orders) + proto.Size(orderReplies))
	observeBytes := treeFanout * (proto.Size(request) + proto.Size(reply))
	stageBytes := treeFanout * proto.Size(stage)
	t.Logf("in a plan interval: observing %d bytes, sending a map %d bytes, switching %d bytes, together %d of %d", observeBytes, stageBytes, switchBytes, observeBytes+stageBytes+switchBytes, budgetBytes)
	assert.Assert(t, observeBytes+stageBytes+switchBytes <= budgetBytes)
}
