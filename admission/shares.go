package admission

import (
	"math"
	"slices"
	"time"
)

// minWaitFactor is the least factor by which the allowed wait of an organisation is
// shortened, so that each gets some slots.
const minWaitFactor = 0.1

// MaxMinLevel returns the level that divides a capacity max-min fair: each demand gets its
// own amount, or the level if it is larger. It is infinite if the capacity covers all
// demands.
func MaxMinLevel(demands []float64, capacity float64) float64 {
	sorted := slices.Clone(demands)
	slices.Sort(sorted)
	remaining := max(0, capacity)
	for i, demand := range sorted {
		level := remaining / float64(len(sorted)-i)
		if demand > level {
			return level
		}
		remaining -= demand
	}
	return math.Inf(1)
}

// Share is what an organisation asks for within one priority, and what it may get.
type Share struct {
	// PerSecond is the rate of its new requests at all gateways, MaxPerSecond the largest
	// rate of an organisation that is served in full.
	PerSecond, MaxPerSecond float64
	// WaitFactor is the factor for the allowed wait of its requests: 1 unless it asks for
	// more than its share.
	WaitFactor float64
}

// unlimitedShare is the share while capacity is not short or demand is not known.
func unlimitedShare() Share { return Share{MaxPerSecond: math.Inf(1), WaitFactor: 1} }

// ShareOf returns the share of an organisation in the requests of a priority that can be
// served, given how many slots become free for the service in a second. Its allowed wait is
// shortened by as much as the part of its demand that fits in its share is smaller than the
// part of all demand that can be served. So it stays as it is if all organisations ask for
// equally much, or if there is only one.
func (r *Registry) ShareOf(a *Arrival, freedPerSecond float64, gateways int, now time.Time) Share {
	total := r.Total(a.Service, gateways, now)
	priority := ClampPriority(a.Priority)
	capacity := freedPerSecond - total.moreUrgentPerSecond(priority)
	all := total.NewPerSecond[priority]
	if !total.Known || all <= capacity {
		return unlimitedShare()
	}
	rates := r.organisationRates(a.Service, priority, gateways, now)
	share := Share{PerSecond: rates[Hash(a.Organisation)]}
	reported := 0.0
	demands := make([]float64, 0, len(rates))
	for _, rate := range rates {
		demands = append(demands, rate)
		reported += rate
	}
	// What is not reported by organisation comes from many small ones.
	unreported := max(0, all-reported)
	capacity = max(capacity, minDrainShare*freedPerSecond)
	share.MaxPerSecond = MaxMinLevel(demands, capacity-unreported)
	share.WaitFactor = 1
	if share.PerSecond > share.MaxPerSecond {
		served := share.MaxPerSecond / share.PerSecond
		share.WaitFactor = min(1, max(minWaitFactor, served/(capacity/all)))
	}
	return share
}

// organisationRates estimates the rates of new requests of a priority at all gateways by
// organisation.
func (r *Registry) organisationRates(service string, priority, gateways int, now time.Time) map[uint32]float64 {
	key := Hash(service)
	rates := make(map[uint32]float64)
	known := 1
	if own := r.own[key]; own != nil {
		for k, m := range own.organisations {
			if k.priority == priority {
				rates[k.organisation] += m.rateAt(now)
			}
		}
	}
	for _, h := range r.others {
		if now.Sub(h.measuredAt) >= ReportLifetime {
			continue
		}
		known++
		for _, s := range h.services {
			if s.Service != key {
				continue
			}
			for _, o := range s.Organisations {
				if o.Priority == priority {
					rates[o.Organisation] += o.PerSecond
				}
			}
		}
	}
	scale := max(1, float64(max(1, gateways))/float64(known))
	for organisation := range rates {
		rates[organisation] *= scale
	}
	return rates
}
