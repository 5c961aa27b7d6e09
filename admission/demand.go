package admission

import (
	"cmp"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// Priorities is the number of priorities that are told apart; 0 is the most urgent.
	// Less urgent ones count as the last.
	Priorities = 5
	// ReportLifetime is how long the demand of a gateway is counted after it was measured.
	ReportLifetime = 3 * time.Second
	// rateTimeConstant is the time constant of the average rate of a gateway's requests.
	rateTimeConstant = time.Second
	// minKnownShare is the share of the gateways, at least two, whose demand must be known
	// for the estimate of the total. The rate of a single gateway is a few requests a second, and
	// scaling it to all of them turns chance into demand.
	minKnownShare = 0.25
	// maxOrganisations is the number of organisations, the largest ones, of which a
	// gateway reports the demand.
	maxOrganisations = 24
	// minReportedRate is the rate in requests per second below which demand is not reported.
	minReportedRate = 0.05
	// maxReportedRate bounds what a report may state as a rate, in requests per second.
	maxReportedRate = 1e5
	// maxOrigins bounds the number of gateways whose reports are kept.
	maxOrigins = 1024
)

// Hash identifies a gateway, service or organisation by its name in reports, which keeps
// them small.
func Hash(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // Write of a hash never fails.
	return h.Sum32()
}

// ClampPriority returns the priority as it is counted.
func ClampPriority(priority int) int { return min(max(priority, 0), Priorities-1) }

// ClassDemand is the demand of one priority.
type ClassDemand struct {
	Priority int
	// NewPerSecond is the rate of new requests, ReturnsPerSecond that of requests whose
	// caller was refused before.
	NewPerSecond, ReturnsPerSecond float64
	// Unanswered is the number of requests that were sent to a server and have no first
	// event yet.
	Unanswered int
	// Promised is the number of callers that were told to return, by the time until then in
	// spans of promiseSpan; missing ones are zero.
	Promised []int
}

// OrganisationDemand is the demand of one organisation within one priority.
type OrganisationDemand struct {
	Organisation uint32
	Priority     int
	// PerSecond is the rate of new requests.
	PerSecond float64
}

// ServiceDemand is the demand for one service.
type ServiceDemand struct {
	Service uint32
	Classes []ClassDemand
	// Organisations are the organisations with the highest rates, the highest first.
	Organisations []OrganisationDemand
}

// Report is the demand that one gateway has measured.
type Report struct {
	Origin uint32
	// Age is the time since it was measured.
	Age      time.Duration
	Services []ServiceDemand
}

// Arrival is one request of a caller.
type Arrival struct {
	Service, Organisation string
	Priority              int
	// Returned says that its caller was refused before.
	Returned bool
}

// meter measures a rate as an exponentially decaying average.
type meter struct {
	perSecond float64
	updatedAt time.Time
}

func (m *meter) record(now time.Time) {
	m.perSecond = m.rateAt(now) + 1/rateTimeConstant.Seconds()
	m.updatedAt = now
}

func (m *meter) rateAt(now time.Time) float64 {
	return m.perSecond * math.Exp(-now.Sub(m.updatedAt).Seconds()/rateTimeConstant.Seconds())
}

// organisationKey identifies an organisation within one priority.
type organisationKey struct {
	organisation uint32
	priority     int
}

// ownDemand is what this gateway measures for one service.
type ownDemand struct {
	fresh, returns [Priorities]meter
	unanswered     [Priorities]int
	promised       [Priorities]promises
	organisations  map[organisationKey]*meter
}

// heard is a report of another gateway.
type heard struct {
	measuredAt time.Time
	services   []ServiceDemand
}

// Registry knows the demand at all gateways. It is not safe for concurrent use.
type Registry struct {
	self   uint32
	rng    *rand.Rand
	own    map[uint32]*ownDemand
	others map[uint32]heard
}

// NewRegistry returns a registry that knows no demand.
func NewRegistry(rng *rand.Rand) *Registry {
	return &Registry{rng: rng, own: make(map[uint32]*ownDemand), others: make(map[uint32]heard)}
}

// SetSelf sets the name of this gateway.
func (r *Registry) SetSelf(name string) { r.self = Hash(name) }

func (r *Registry) ensureOwn(service string) *ownDemand {
	key := Hash(service)
	d := r.own[key]
	if d == nil {
		d = &ownDemand{organisations: make(map[organisationKey]*meter)}
		r.own[key] = d
	}
	return d
}

// RecordArrival records a request of a caller.
func (r *Registry) RecordArrival(a *Arrival, now time.Time) {
	d := r.ensureOwn(a.Service)
	priority := ClampPriority(a.Priority)
	if a.Returned {
		d.returns[priority].record(now)
		return
	}
	d.fresh[priority].record(now)
	key := organisationKey{organisation: Hash(a.Organisation), priority: priority}
	m := d.organisations[key]
	if m == nil {
		m = &meter{}
		d.organisations[key] = m
	}
	m.record(now)
}

// RecordSent records that a request was sent to a server.
func (r *Registry) RecordSent(service string, priority int) {
	r.ensureOwn(service).unanswered[ClampPriority(priority)]++
}

// RecordAnswered records the first event, or the end, of a request that was sent.
func (r *Registry) RecordAnswered(service string, priority int) {
	d := r.ensureOwn(service)
	p := ClampPriority(priority)
	d.unanswered[p] = max(0, d.unanswered[p]-1)
}

// OwnReport returns the demand at this gateway.
func (r *Registry) OwnReport(now time.Time) Report {
	report := Report{Origin: r.self}
	for service, d := range r.own {
		report.Services = append(report.Services, d.report(service, now))
	}
	slices.SortFunc(report.Services, func(a, b ServiceDemand) int { return cmp.Compare(a.Service, b.Service) })
	return report
}

// report returns the demand for one service. It forgets organisations without demand.
func (d *ownDemand) report(service uint32, now time.Time) ServiceDemand {
	out := ServiceDemand{Service: service}
	for p := range Priorities {
		class := ClassDemand{Priority: p, NewPerSecond: d.fresh[p].rateAt(now), ReturnsPerSecond: d.returns[p].rateAt(now), Unanswered: d.unanswered[p], Promised: d.promised[p].next(now)}
		if class.NewPerSecond >= minReportedRate || class.ReturnsPerSecond >= minReportedRate || class.Unanswered > 0 || len(class.Promised) > 0 {
			out.Classes = append(out.Classes, class)
		}
	}
	for key, m := range d.organisations {
		rate := m.rateAt(now)
		if rate < minReportedRate {
			delete(d.organisations, key)
			continue
		}
		out.Organisations = append(out.Organisations, OrganisationDemand{Organisation: key.organisation, Priority: key.priority, PerSecond: rate})
	}
	slices.SortFunc(out.Organisations, func(a, b OrganisationDemand) int {
		return cmp.Or(cmp.Compare(b.PerSecond, a.PerSecond), cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Priority, b.Priority))
	})
	out.Organisations = out.Organisations[:min(len(out.Organisations), maxOrganisations)]
	return out
}

// Reports returns the demand at this gateway, and then up to n reports of others in random
// order, of which the younger ones are more likely.
func (r *Registry) Reports(n int, now time.Time) []Report {
	origins := make([]uint32, 0, len(r.others))
	for origin := range r.others {
		origins = append(origins, origin)
	}
	slices.Sort(origins)
	// Each second of age makes a report 16 times less likely. With 4 times the total is
	// less exact, with 64 times as exact, and beyond that fewer gateways are known.
	weights := make(map[uint32]float64, len(origins))
	for _, origin := range origins {
		age := now.Sub(r.others[origin].measuredAt).Seconds()
		weights[origin] = -math.Log(1-r.rng.Float64()) * math.Exp2(4*age)
	}
	slices.SortFunc(origins, func(a, b uint32) int { return cmp.Compare(weights[a], weights[b]) })
	reports := []Report{r.OwnReport(now)}
	for _, origin := range origins {
		h := r.others[origin]
		age := now.Sub(h.measuredAt)
		if len(reports) > n {
			break
		}
		if age < ReportLifetime {
			reports = append(reports, Report{Origin: origin, Age: age, Services: h.services})
		}
	}
	return reports
}

// Merge stores reports of other gateways. The newest of each gateway counts; reports that
// are older than their lifetime or state impossible values are ignored.
func (r *Registry) Merge(reports []Report, now time.Time) {
	for _, report := range reports {
		measuredAt := now.Add(-report.Age)
		old, known := r.others[report.Origin]
		switch {
		case report.Origin == r.self || report.Age < 0 || report.Age >= ReportLifetime:
		case known && !measuredAt.After(old.measuredAt):
		case !known && len(r.others) >= maxOrigins:
		case !validServices(report.Services):
		default:
			r.others[report.Origin] = heard{measuredAt: measuredAt, services: report.Services}
		}
	}
}

// Expire forgets reports that are not counted any more.
func (r *Registry) Expire(now time.Time) {
	for origin, h := range r.others {
		if now.Sub(h.measuredAt) >= ReportLifetime {
			delete(r.others, origin)
		}
	}
}

func validRate(rate float64) bool { return rate >= 0 && rate <= maxReportedRate }

func validServices(services []ServiceDemand) bool {
	for _, s := range services {
		for _, c := range s.Classes {
			if c.Priority < 0 || c.Priority >= Priorities || !validRate(c.NewPerSecond) || !validRate(c.ReturnsPerSecond) || c.Unanswered < 0 || len(c.Promised) > promiseSpans {
				return false
			}
		}
		for _, o := range s.Organisations {
			if o.Priority < 0 || o.Priority >= Priorities || !validRate(o.PerSecond) {
				return false
			}
		}
	}
	return true
}

// Demand is the estimated demand of all gateways for one service, by priority. The zero
// value means that it is not known.
type Demand struct {
	// Known says that the demand of enough gateways is known.
	Known bool
	// PerSecond is the rate of all requests, NewPerSecond that of new ones.
	PerSecond, NewPerSecond [Priorities]float64
	// PromisedPerSecond is the rate at which callers that were told to return are due now.
	PromisedPerSecond [Priorities]float64
	// Unanswered is the number of requests that were sent to a server and have no first
	// event yet.
	Unanswered [Priorities]float64
}

// Total estimates the demand of all gateways for a service. Gateways whose demand is not
// known are assumed to have as much as the others on average.
func (r *Registry) Total(service string, gateways int, now time.Time) Demand {
	key := Hash(service)
	known := 1
	var total Demand
	if own := r.own[key]; own != nil {
		for p := range Priorities {
			fresh := own.fresh[p].rateAt(now)
			total.NewPerSecond[p] += fresh
			total.PerSecond[p] += fresh + own.returns[p].rateAt(now)
			total.Unanswered[p] += float64(own.unanswered[p])
		}
	}
	for _, h := range r.others {
		if now.Sub(h.measuredAt) >= ReportLifetime {
			continue
		}
		known++
		for _, s := range h.services {
			if s.Service == key {
				total.add(s.Classes)
			}
		}
	}
	gateways = max(gateways, 1)
	if known < gateways && float64(known) < max(2, minKnownShare*float64(gateways)) {
		return Demand{}
	}
	total.Known = true
	total.scale(max(1, float64(gateways)/float64(known)))
	total.PromisedPerSecond = r.promisedPerSecond(service, gateways, now)
	return total
}

func (d *Demand) add(classes []ClassDemand) {
	for _, c := range classes {
		d.NewPerSecond[c.Priority] += c.NewPerSecond
		d.PerSecond[c.Priority] += c.NewPerSecond + c.ReturnsPerSecond
		d.Unanswered[c.Priority] += float64(c.Unanswered)
	}
}

// Scaled returns the given share of the demand.
func (d *Demand) Scaled(share float64) Demand {
	scaled := *d
	scaled.scale(share)
	return scaled
}

func (d *Demand) scale(factor float64) {
	for p := range Priorities {
		d.NewPerSecond[p] *= factor
		d.PerSecond[p] *= factor
		d.PromisedPerSecond[p] *= factor
		d.Unanswered[p] *= factor
	}
}

// moreUrgentPerSecond returns the rate of requests that are more urgent than the priority:
// new ones, and returns as they arrive or as they were promised. Promises do not count
// against requests of the same priority: in the replay of competing callers 1.2 of 100 fewer
// were then on time, and no more were served.
func (d *Demand) moreUrgentPerSecond(priority int) float64 {
	total := 0.0
	for p := range priority {
		total += d.NewPerSecond[p] + max(d.PerSecond[p]-d.NewPerSecond[p], d.PromisedPerSecond[p])
	}
	return total
}

// lessUrgentShare returns the share of counts, which are by priority, that belongs to
// requests less urgent than the priority.
func lessUrgentShare(counts *[Priorities]float64, priority int) float64 {
	all := sum(counts[:])
	if all <= 0 {
		return 0
	}
	return sum(counts[priority+1:]) / all
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}
