package node

import (
	"math"
	"time"

	"bluebellwind.example/gateway"
	"bluebellwind.example/mesh"
	"bluebellwind.example/mesh/meshpb"
	"bluebellwind.example/quarantine"
)

// maxSuspicionsPerPacket keeps a packet within one frame of the network.
const maxSuspicionsPerPacket = 10

// maxMemoryMillis bounds the stated age of the memory of another gateway: longer than any
// crash is remembered.
const maxMemoryMillis = uint64(7 * 24 * time.Hour / time.Millisecond)

// suspicionExchange exchanges with other gateways what each knows of requests under which
// servers crashed. It is safe for concurrent use once its fields are set.
type suspicionExchange struct {
	mesh    *mesh.Node
	gateway *gateway.Gateway
}

// tellAll tells all other gateways.
func (e *suspicionExchange) tellAll(list []quarantine.Suspicion) {
	e.send(list, false, e.mesh.Peers(mesh.Gateway)...)
}

// tellActive tells other gateways again what they may have missed.
func (e *suspicionExchange) tellActive(to ...mesh.Peer) {
	e.send(e.gateway.ActiveSuspicions(), false, to...)
}

// tellStarted tells a gateway that has started what this one knows, also that it knows nothing.
func (e *suspicionExchange) tellStarted(to mesh.Peer) {
	list, memoryAge := e.gateway.RememberedSuspicions()
	e.send(list, false, to)
	// The age comes last: it says that what was sent is complete.
	e.mesh.Send(&meshpb.Packet{Suspicions: &meshpb.Suspicions{MemoryMs: uint64(memoryAge.Milliseconds())}}, to)
}

// handle merges what another gateway tells, and answers with what that one does not know.
// What was learned from an answer is told to all, as they were told the suspicion.
func (e *suspicionExchange) handle(from mesh.Peer, packet *meshpb.Packet) {
	told := packet.GetSuspicions()
	if told == nil {
		return
	}
	answers, learned := e.gateway.MergeSuspicions(suspicionsFromProto(told.Suspicions))
	e.gateway.ExtendCrashMemory(time.Duration(min(told.MemoryMs, maxMemoryMillis)) * time.Millisecond)
	if told.Answer {
		e.tellAll(learned)
		return
	}
	e.send(answers, true, from)
}

func (e *suspicionExchange) send(list []quarantine.Suspicion, answer bool, to ...mesh.Peer) {
	for len(list) > 0 && len(to) > 0 {
		n := min(len(list), maxSuspicionsPerPacket)
		e.mesh.Send(&meshpb.Packet{Suspicions: &meshpb.Suspicions{Suspicions: suspicionsToProto(list[:n]), Answer: answer}}, to...)
		list = list[n:]
	}
}

func suspicionsToProto(list []quarantine.Suspicion) []*meshpb.Suspicion {
	out := make([]*meshpb.Suspicion, 0, len(list))
	for i := range list {
		s := &list[i]
		told := &meshpb.Suspicion{
			Kind: uint32(s.Trait.Kind), Hash: s.Trait.Hash,
			Completed: s.CompletedAge >= 0, CompletedMs: ageToMillis(s.CompletedAge),
			Probed: s.ProbedAge >= 0, ProbedMs: ageToMillis(s.ProbedAge),
		}
		for _, strike := range s.Strikes {
			told.Strikes = append(told.Strikes, &meshpb.Strike{Server: strike.Server, AgeMs: ageToMillis(strike.Age), Begun: strike.Begun})
		}
		out = append(out, told)
	}
	return out
}

func suspicionsFromProto(list []*meshpb.Suspicion) []quarantine.Suspicion {
	out := make([]quarantine.Suspicion, 0, len(list))
	for _, told := range list {
		s := quarantine.Suspicion{
			Trait:        quarantine.Trait{Kind: quarantine.Kind(told.Kind), Hash: told.Hash},
			CompletedAge: ageFromMillis(told.CompletedMs, told.Completed),
			ProbedAge:    ageFromMillis(told.ProbedMs, told.Probed),
		}
		for _, strike := range told.Strikes {
			s.Strikes = append(s.Strikes, quarantine.StrikeAge{
				Server: strike.Server, Age: ageFromMillis(strike.AgeMs, true), Begun: strike.Begun,
			})
		}
		out = append(out, s)
	}
	return out
}

// ageToMillis returns an age in milliseconds; 0 for one that is negative.
func ageToMillis(age time.Duration) uint32 {
	return uint32(min(max(0, age.Milliseconds()), math.MaxUint32))
}

// ageFromMillis is the inverse of ageToMillis. It returns quarantine.NoAge unless known is
// set.
func ageFromMillis(millis uint32, known bool) time.Duration {
	if !known {
		return quarantine.NoAge
	}
	return time.Duration(millis) * time.Millisecond
}
