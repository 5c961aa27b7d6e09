package backends

import (
	"time"

	"bluebellwind.example/admission"
)

// recordArrival records a new request to a model engine in the demand. Further attempts of
// the same request are no demand. The caller holds the lock.
func (d *Directory) recordArrival(r *PickRequest, now time.Time) {
	if !r.usesEngine() || r.SentBefore || len(r.TriedServers) > 0 {
		return
	}
	d.demand.RecordArrival(r.arrival(), now)
}

func (r *PickRequest) arrival() *admission.Arrival {
	return &admission.Arrival{Service: r.ServiceName, Organisation: r.Organisation, Priority: r.Priority, Returned: r.RefusedBefore}
}

// shareIfShort returns the share of the organisation of a request if the request would wait
// for a slot, and nil otherwise. The caller holds the lock.
func (d *Directory) shareIfShort(r *PickRequest, onTime, late *pool, demand *admission.Demand, now time.Time) *admission.Share {
	if onTime.estimateWait(r, demand).Wait == 0 && late.estimateWait(r, demand).Wait == 0 {
		return nil
	}
	share := d.demand.ShareOf(r.arrival(), freedPerSecond(onTime, late), r.GatewayCount, now)
	return &share
}

// DemandReports returns the demand at this gateway, and up to n reports of others.
func (d *Directory) DemandReports(n int, now time.Time) []admission.Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.demand.Reports(n, now)
}

// MergeDemand stores what other gateways report of their demand.
func (d *Directory) MergeDemand(reports []admission.Report, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.demand.Merge(reports, now)
}
