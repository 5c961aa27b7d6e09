package node

import (
	"math"
	"time"

	"bluebellwind.example/backends"
	"bluebellwind.example/mesh"
	"bluebellwind.example/mesh/meshpb"
	"bluebellwind.example/ratelimit"
)

// limitExchange exchanges with other gateways what each knows of servers that limit their
// requests. It is safe for concurrent use once its fields are set.
type limitExchange struct {
	mesh      *mesh.Node
	directory *backends.Directory
}

// tellAll tells all other gateways.
func (e *limitExchange) tellAll(list []ratelimit.Statement) {
	e.send(list, e.mesh.Peers(mesh.Gateway)...)
}

// tellStarted tells a gateway that has started what this one knows.
func (e *limitExchange) tellStarted(to mesh.Peer) { e.tellActive(to) }

// tellActive tells other gateways again what they may have missed.
func (e *limitExchange) tellActive(to ...mesh.Peer) {
	e.send(e.directory.ActiveLimits(time.Now()), to...)
}

// handle merges what another gateway tells.
func (e *limitExchange) handle(_ mesh.Peer, packet *meshpb.Packet) {
	if len(packet.Limits) > 0 {
		e.directory.MergeLimits(limitsFromProto(packet.Limits), time.Now())
	}
}

func (e *limitExchange) send(list []ratelimit.Statement, to ...mesh.Peer) {
	if len(list) > 0 && len(to) > 0 {
		e.mesh.Send(&meshpb.Packet{Limits: limitsToProto(list)}, to...)
	}
}

func limitsToProto(list []ratelimit.Statement) []*meshpb.ServerLimit {
	out := make([]*meshpb.ServerLimit, 0, len(list))
	for i := range list {
		s := &list[i]
		out = append(out, &meshpb.ServerLimit{
			Id: s.Server.ID, Started: s.Server.Started, PerSecond: s.PerSecond, Lifted: s.Lifted, AgeMs: ageToMillis(s.Age),
		})
	}
	return out
}

// limitsFromProto leaves out what is no limit.
func limitsFromProto(list []*meshpb.ServerLimit) []ratelimit.Statement {
	out := make([]ratelimit.Statement, 0, len(list))
	for _, told := range list {
		if !(told.PerSecond >= 0) || math.IsInf(told.PerSecond, 1) {
			continue
		}
		out = append(out, ratelimit.Statement{
			Server: ratelimit.Server{ID: told.Id, Started: told.Started}, PerSecond: told.PerSecond, Lifted: told.Lifted,
			Age: time.Duration(told.AgeMs) * time.Millisecond,
		})
	}
	return out
}
