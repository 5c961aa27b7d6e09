package node

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"bluebellwind.example/admission"
	"bluebellwind.example/backends"
	"bluebellwind.example/mesh"
	"bluebellwind.example/mesh/meshpb"
)

// demandFleet is a fleet of gateways that exchange their demand as demandExchange does, by
// packets of which some are lost.
type demandFleet struct {
	rng        *rand.Rand
	now        time.Time
	registries []*admission.Registry
	nextSend   []time.Time
	// unsent switches the exchange off.
	unsent bool
	loss   float64
	bytes  int
}

func newDemandFleet(gateways int, loss float64, seed uint64) *demandFleet {
	f := &demandFleet{rng: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1000, 0), loss: loss, unsent: os.Getenv("BBW_WITHOUT") == "demand-exchange"}
	for i := range gateways {
		r := admission.NewRegistry(f.rng)
		r.SetSelf(fmt.Sprintf("gateway-%02d", i))
		f.registries = append(f.registries, r)
		f.nextSend = append(f.nextSend, f.now.Add(time.Duration(f.rng.Int64N(int64(demandInterval)))))
	}
	return f
}

// step lets requests arrive for one millisecond at the given rates by priority.
func (f *demandFleet) step(perSecond []float64) {
	f.now = f.now.Add(time.Millisecond)
	for priority, rate := range perSecond {
		for f.rng.Float64() < rate/1000 {
			rate -= 1000
			organisation := min(f.rng.IntN(24), f.rng.IntN(24))
			f.registries[f.rng.IntN(len(f.registries))].RecordArrival(&admission.Arrival{
				Service: "llm", Organisation: fmt.Sprintf("organisation-%02d", organisation), Priority: priority,
			}, f.now)
		}
	}
	for i, r := range f.registries {
		if !f.now.Before(f.nextSend[i]) {
			f.nextSend[i] = f.nextSend[i].Add(demandInterval)
			f.send(r)
		}
	}
}

func (f *demandFleet) send(r *admission.Registry) {
	if f.unsent {
		return
	}
	packet := &meshpb.Packet{Demand: demandToProto(r.Reports(maxForwardedReports, f.now))}
	for range demandFanout {
		f.bytes += proto.Size(packet) + 90
		if f.rng.Float64() >= f.loss {
			f.registries[f.rng.IntN(len(f.registries))].Merge(demandFromProto(packet.Demand), f.now)
		}
	}
}

// errors returns the relative errors of the total rate of a priority at all gateways, sorted.
func (f *demandFleet) errors(priority int, perSecond float64) []float64 {
	var out []float64
	for _, r := range f.registries {
		total := r.Total("llm", len(f.registries), f.now)
		if !total.Known {
			out = append(out, math.Inf(1))
			continue
		}
		out = append(out, math.Abs(total.PerSecond[priority]-perSecond)/perSecond)
	}
	slices.Sort(out)
	return out
}

// Guards against gateways that decide on demand of their own only, and against an exchange
// that costs more than its bound of bytes.
func TestGatewaysKnowTheDemandOfAll(t *testing.T) {
	const gateways = 60
	rates := []float64{81, 36, 107}
	f := newDemandFleet(gateways, 0.02, 1)
	for range 5000 {
		f.step(rates)
	}
	f.bytes = 0
	var all [3][]float64
	for i := range 10000 {
		f.step(rates)
		if i%500 == 0 {
			for p := range rates {
				all[p] = append(all[p], f.errors(p, rates[p])...)
			}
		}
	}
	perSecond := float64(f.bytes) / gateways / 10
	t.Logf("%.0f bytes a second sent by each gateway", perSecond)
	assert.Check(t, perSecond <= 4096)
	for p := range rates {
		slices.Sort(all[p])
		median, p95 := all[p][len(all[p])/2], all[p][len(all[p])*95/100]
		t.Logf("priority %d at %.0f/s: error of the total %.3f in the median, %.3f in 95 of 100", p, rates[p], median, p95)
		assert.Check(t, median <= 0.15 && p95 <= 0.4, "median %.3f, p95 %.3f", median, p95)
	}
	// A burst must be known to most gateways before it is over.
	knownAfter := time.Duration(-1)
	for ms := range 3001 {
		f.step([]float64{81, 36, 2.4 * 107})
		if ms%50 == 0 && f.errors(2, 2.4*107)[gateways/2] <= 0.2 {
			knownAfter = time.Duration(ms) * time.Millisecond
			break
		}
	}
	t.Logf("half of the gateways know a burst within 20%% after %v", knownAfter)
	assert.Check(t, knownAfter >= 0 && knownAfter <= 3*time.Second)
}

// Reports that are not whole, or state impossible values, must not change what is known.
func TestDemandReportsSurviveTheWire(t *testing.T) {
	report := admission.Report{Origin: 7, Age: 300 * time.Millisecond, Services: []admission.ServiceDemand{{
		Service:       9,
		Classes:       []admission.ClassDemand{{Priority: 1, NewPerSecond: 2.5, ReturnsPerSecond: 0.5, Unanswered: 3, Promised: []int{0, 2}}},
		Organisations: []admission.OrganisationDemand{{Organisation: 5, Priority: 1, PerSecond: 2.5}},
	}}}
	told := demandToProto([]admission.Report{report})
	assert.DeepEqual(t, demandFromProto(told), []admission.Report{report})
	told[0].Services[0].PromisedSpans = math.MaxUint32
	assert.Equal(t, len(demandFromProto(told)[0].Services), 0)
	told = demandToProto([]admission.Report{report})
	told[0].Services[0].ClassNew = nil
	assert.Equal(t, len(demandFromProto(told)[0].Services), 0)
}

// A gateway with very many organisations must not exceed the size of a packet.
func TestDemandReportsOfManyOrganisationsFit(t *testing.T) {
	report := admission.Report{Origin: 7, Services: []admission.ServiceDemand{{Service: 9}}}
	for i := range 500 {
		report.Services[0].Organisations = append(report.Services[0].Organisations, admission.OrganisationDemand{Organisation: uint32(i), PerSecond: float64(1000 - i)})
	}
	told := demandToProto([]admission.Report{report})
	assert.Assert(t, proto.Size(told[0]) <= maxDemandBytes)
	assert.Assert(t, len(told[0].Services[0].Organisations) > 10)
	assert.Equal(t, told[0].Services[0].OrganisationRates[0], uint32(10000))
}

// Guards against an exchange that is correct in the model but not connected to the mesh.
func TestDemandIsExchangedThroughTheMesh(t *testing.T) {
	var directories []*backends.Directory
	seed := ""
	for i := range 2 {
		socket, err := net.ListenPacket("udp4", "127.0.0.1:0")
		assert.NilError(t, err)
		address := socket.LocalAddr().String()
		assert.NilError(t, socket.Close())
		if seed == "" {
			seed = address
		}
		name := fmt.Sprintf("gateway-%d", i)
		exchange := &demandExchange{directory: backends.NewDirectory("z", uint64(i))}
		exchange.directory.SetSelf(name)
		node, err := mesh.Listen(mesh.Options{
			Self:    mesh.Peer{ID: name, Address: address, Role: mesh.Gateway, Zone: "z", Incarnation: 1},
			Seeds:   []string{seed},
			Handler: exchange.handle,
			OnError: func(error) {},
		})
		assert.NilError(t, err)
		exchange.mesh = node
		ctx, stop := context.WithCancel(context.Background())
		t.Cleanup(stop)
		go node.Run(ctx)
		go exchange.run(ctx)
		directories = append(directories, exchange.directory)
	}
	for i := range directories {
		other := admission.Hash(fmt.Sprintf("gateway-%d", 1-i))
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			reports := directories[i].DemandReports(1, time.Now())
			if len(reports) == 2 && reports[1].Origin == other {
				return poll.Success()
			}
			return poll.Continue("gateway %d has heard of no demand", i)
		}, poll.WithTimeout(10*time.Second))
	}
}
