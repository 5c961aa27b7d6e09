package node

import (
	"io"
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"bluebellwind.example/backends"
	"bluebellwind.example/discovery"
	"bluebellwind.example/gateway"
	"bluebellwind.example/ingress"
	"bluebellwind.example/internal/logging"
	"bluebellwind.example/mesh"
	"bluebellwind.example/mesh/meshpb"
	"bluebellwind.example/platform"
	"bluebellwind.example/routing/retry"
)

// A packet of a peer, whatever its fields, must not end a gateway.
func FuzzPacketAtAGateway(f *testing.F) {
	for _, packet := range []*meshpb.Packet{
		{Status: &meshpb.RankStatus{Server: "127.0.0.1:1", Up: true, Group: "g", Epoch: 1, Size: 2, Open: true, Step: 1, PaceMilli: 1000, PassUs: 4000}},
		{Status: &meshpb.RankStatus{
			Server: "127.0.0.1:1", Up: true, Group: "g", Epoch: math.MaxUint64, Rank: math.MaxUint32, Size: math.MaxUint32, Open: true,
			Step: math.MaxUint64, Running: math.MaxUint32, Waiting: math.MaxUint32, PaceMilli: math.MaxUint32, PassUs: math.MaxUint32, Sequence: math.MaxUint64,
		}},
		{Leaving: &meshpb.LeavingServer{Id: "a", Started: math.MinInt64}},
		{Limits: []*meshpb.ServerLimit{{Id: "a", PerSecond: 1e-300}, {Id: "b", PerSecond: 1e300, AgeMs: math.MaxUint32}, {PerSecond: math.NaN()}}},
		{Suspicions: &meshpb.Suspicions{Answer: true, Suspicions: []*meshpb.Suspicion{
			{Kind: math.MaxUint32, Strikes: []*meshpb.Strike{{AgeMs: math.MaxUint32}, {}}, Completed: true, CompletedMs: math.MaxUint32, Probed: true},
		}}},
	} {
		whole, err := proto.Marshal(packet)
		assert.NilError(f, err)
		f.Add(whole)
		f.Add(whole[:len(whole)/2])
	}
	logger := logging.NewBounded(io.Discard, "error")
	service := &ingress.Service{Name: "s", Engine: &ingress.Engine{Slots: 2, Step: time.Millisecond, Stride: 1, PromptTokens: 10, AnswerTokens: 10}}
	f.Fuzz(func(t *testing.T, data []byte) {
		packet := &meshpb.Packet{}
		if proto.Unmarshal(data, packet) != nil {
			return
		}
		directory := backends.NewDirectory("z", 1)
		directory.Put(backends.Server{ID: "a", Service: "s", Address: "127.0.0.1:1", Slots: 2, Open: true, Group: backends.Group{Name: "g", Epoch: 1, Size: 2}})
		directory.Put(backends.Server{ID: "b", Service: "s", Address: "127.0.0.1:2", Slots: 2, Open: true, Group: backends.Group{Name: "g", Epoch: 1, Rank: 1, Size: 2}})
		follower := discovery.NewFollower(nil, directory, discovery.PeerAddresses{}, logger.Logger)
		gw := gateway.New(gateway.Options{
			HeaderCodec: platform.HeaderCodec{}, Follower: follower, Directory: directory, GatewayCount: func() int { return 1 }, Log: logger.Logger,
			Limits: gateway.Limits{RetryWindow: retry.WindowConfig{Span: time.Second}},
		})
		// Nothing is sent: the packet names no peer that could get an answer.
		others := &gossip{topics: []topic{&mergedSuspicions{gateway: gw}, &limitExchange{directory: directory}, &demandExchange{directory: directory}}}
		handle := packetHandler(directory, newStatusFeed("gw", "z", directory, logger), others, logger)
		for range 2 {
			handle(mesh.Peer{ID: "p"}, packet)
		}
		for _, refused := range []bool{false, true} {
			choice, err := directory.Pick(backends.PickRequest{
				Service: service, ServiceName: "s", PromptTokens: 10, AnswerTokens: 10, GatewayCount: 3,
				StartObjective: time.Second, MaxPause: time.Second, RefusedBefore: refused,
			}, time.Now())
			if err == nil {
				choice.Release()
			}
		}
		directory.Expire(time.Now().Add(time.Hour))
	})
}

// mergedSuspicions merges suspicions and sends nothing.
type mergedSuspicions struct{ gateway *gateway.Gateway }

func (*mergedSuspicions) tellActive(...mesh.Peer) {}
func (*mergedSuspicions) tellStarted(mesh.Peer)   {}

func (m *mergedSuspicions) handle(_ mesh.Peer, packet *meshpb.Packet) {
	if told := packet.GetSuspicions(); told != nil {
		m.gateway.MergeSuspicions(suspicionsFromProto(told.Suspicions))
		m.gateway.ActiveSuspicions()
	}
}
