package node

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"bluebellwind.example/admission"
	"bluebellwind.example/backends"
	"bluebellwind.example/internal/clock"
	"bluebellwind.example/mesh"
	"bluebellwind.example/mesh/meshpb"
)

const (
	// demandInterval is the time between two rounds in which a gateway tells demandFanout
	// others, drawn at random, its demand and some of what it has heard.
	demandInterval = 250 * time.Millisecond
	demandFanout   = 2
	// maxDemandBytes bounds the size of the reports in one packet. With the headers and the
	// sender, about 90 bytes, a gateway sends at most 4 KB/s.
	maxDemandBytes = 400
	// maxForwardedReports is the number of reports of others that a packet contains if they
	// fit, maxForwardedOrganisations of how many organisations, the largest ones.
	maxForwardedReports       = 8
	maxForwardedOrganisations = 4
	// ratesPerUnit is the number of units in which a rate of one request a second is stated.
	ratesPerUnit = 10
)

// demandExchange exchanges the demand of gateways. It is safe for concurrent use once its
// fields are set.
type demandExchange struct {
	mesh      *mesh.Node
	directory *backends.Directory
}

// run tells some other gateways periodically until ctx ends.
func (e *demandExchange) run(ctx context.Context) {
	clock.Every(ctx, demandInterval, func(time.Time) {
		peers := e.mesh.Peers(mesh.Gateway)
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		e.send(peers[:min(len(peers), demandFanout)]...)
	})
}

// tellActive does nothing: demand is told more often than what gateways tell each other
// again.
func (e *demandExchange) tellActive(...mesh.Peer) {}

// tellStarted does nothing, as for tellActive.
func (e *demandExchange) tellStarted(mesh.Peer) {}

// handle merges what another gateway tells.
func (e *demandExchange) handle(_ mesh.Peer, packet *meshpb.Packet) {
	if len(packet.Demand) > 0 {
		e.directory.MergeDemand(demandFromProto(packet.Demand), time.Now())
	}
}

func (e *demandExchange) send(to ...mesh.Peer) {
	if len(to) == 0 {
		return
	}
	reports := e.directory.DemandReports(maxForwardedReports, time.Now())
	e.mesh.Send(&meshpb.Packet{Demand: demandToProto(reports)}, to...)
}

// demandToProto converts reports, of which the first is the sender's own, as far as they fit
// in maxDemandBytes. If the own report does not fit, it has fewer organisations.
func demandToProto(reports []admission.Report) []*meshpb.DemandReport {
	var out []*meshpb.DemandReport
	size := 0
	for i := range reports {
		organisations := maxForwardedOrganisations
		if i == 0 {
			organisations = math.MaxInt
		}
		told := reportToProto(&reports[i], organisations)
		for i == 0 && proto.Size(told) > maxDemandBytes && organisations > 0 {
			organisations = longestOrganisations(told) / 2
			told = reportToProto(&reports[i], organisations)
		}
		size += proto.Size(told) + 3 // The tag and length of the field.
		if size > maxDemandBytes && i > 0 {
			break
		}
		out = append(out, told)
	}
	return out
}

func longestOrganisations(r *meshpb.DemandReport) int {
	longest := 0
	for _, s := range r.Services {
		longest = max(longest, len(s.Organisations))
	}
	return longest
}

func reportToProto(r *admission.Report, organisations int) *meshpb.DemandReport {
	told := &meshpb.DemandReport{Origin: r.Origin, AgeMs: ageToMillis(r.Age)}
	for _, s := range r.Services {
		service := &meshpb.ServiceDemand{Service: s.Service}
		for _, c := range s.Classes {
			service.ClassPriorities = append(service.ClassPriorities, uint32(c.Priority))
			service.ClassNew = append(service.ClassNew, rateToUnits(c.NewPerSecond))
			service.ClassReturns = append(service.ClassReturns, rateToUnits(c.ReturnsPerSecond))
			service.ClassUnanswered = append(service.ClassUnanswered, uint32(c.Unanswered))
		}
		spans := longestPromised(s.Classes)
		service.PromisedSpans = uint32(spans)
		for _, c := range s.Classes {
			for i := range spans {
				service.ClassPromised = append(service.ClassPromised, promisedAt(c.Promised, i))
			}
		}
		for _, o := range s.Organisations[:min(len(s.Organisations), organisations)] {
			service.Organisations = append(service.Organisations, o.Organisation)
			service.OrganisationPriorities = append(service.OrganisationPriorities, uint32(o.Priority))
			service.OrganisationRates = append(service.OrganisationRates, rateToUnits(o.PerSecond))
		}
		told.Services = append(told.Services, service)
	}
	return told
}

func longestPromised(classes []admission.ClassDemand) int {
	longest := 0
	for _, c := range classes {
		longest = max(longest, len(c.Promised))
	}
	return longest
}

func promisedAt(promised []int, i int) uint32 {
	if i >= len(promised) {
		return 0
	}
	return uint32(promised[i])
}

func rateToUnits(rate float64) uint32 { return uint32(math.Round(rate * ratesPerUnit)) }

// demandFromProto leaves out what is not complete.
func demandFromProto(list []*meshpb.DemandReport) []admission.Report {
	out := make([]admission.Report, 0, len(list))
	for _, told := range list {
		r := admission.Report{Origin: told.Origin, Age: time.Duration(told.AgeMs) * time.Millisecond}
		for _, s := range told.Services {
			if service, ok := serviceFromProto(s); ok {
				r.Services = append(r.Services, service)
			}
		}
		out = append(out, r)
	}
	return out
}

func serviceFromProto(s *meshpb.ServiceDemand) (service admission.ServiceDemand, ok bool) {
	classes, organisations := len(s.ClassPriorities), len(s.Organisations)
	if len(s.ClassNew) != classes || len(s.ClassReturns) != classes || len(s.ClassUnanswered) != classes ||
		uint64(len(s.ClassPromised)) != uint64(s.PromisedSpans)*uint64(classes) ||
		len(s.OrganisationPriorities) != organisations || len(s.OrganisationRates) != organisations {
		return service, false
	}
	service.Service = s.Service
	for i := range classes {
		class := admission.ClassDemand{
			Priority: int(s.ClassPriorities[i]), NewPerSecond: float64(s.ClassNew[i]) / ratesPerUnit,
			ReturnsPerSecond: float64(s.ClassReturns[i]) / ratesPerUnit, Unanswered: int(s.ClassUnanswered[i]),
		}
		spans := int(s.PromisedSpans)
		for _, n := range s.ClassPromised[i*spans : (i+1)*spans] {
			class.Promised = append(class.Promised, int(n))
		}
		service.Classes = append(service.Classes, class)
	}
	for i := range organisations {
		service.Organisations = append(service.Organisations, admission.OrganisationDemand{
			Organisation: s.Organisations[i], Priority: int(s.OrganisationPriorities[i]), PerSecond: float64(s.OrganisationRates[i]) / ratesPerUnit,
		})
	}
	return service, true
}
