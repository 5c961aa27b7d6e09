package admission

import (
	"math"
	"time"
)

const (
	// promiseSpan is the span of time by which promised returns are counted, and
	// promiseSpans how many spans ahead are.
	promiseSpan  = 500 * time.Millisecond
	promiseSpans = 6
)

// promises counts the returns that were promised, by the span in which they are due.
type promises map[int64]int

// spanOf returns the number of the span that contains the given time.
func spanOf(t time.Time) int64 { return t.UnixNano() / int64(promiseSpan) }

// next returns the counts of the spans from now on, without zeros at the end, and forgets
// those of the past.
func (p promises) next(now time.Time) []int {
	first := spanOf(now)
	var counts []int
	for span, n := range p {
		i := int(span - first)
		if i < 0 {
			delete(p, span)
			continue
		}
		for len(counts) <= i && i < promiseSpans {
			counts = append(counts, 0)
		}
		if i < promiseSpans {
			counts[i] = n
		}
	}
	return counts
}

// promisedReturns estimates how many returns all gateways have promised for the spans from
// now on, by priority.
func (r *Registry) promisedReturns(service string, gateways int, now time.Time) (counts [Priorities][promiseSpans]float64) {
	key, first := Hash(service), spanOf(now)
	add := func(priority int, promised []int, measuredAt time.Time) {
		for i, n := range promised {
			if i = int(spanOf(measuredAt)-first) + i; i >= 0 && i < promiseSpans {
				counts[priority][i] += float64(n)
			}
		}
	}
	if own := r.own[key]; own != nil {
		for p := range Priorities {
			add(p, own.promised[p].next(now), now)
		}
	}
	known := 1
	for _, h := range r.others {
		if now.Sub(h.measuredAt) >= ReportLifetime {
			continue
		}
		known++
		for _, s := range h.services {
			for _, c := range s.Classes {
				if s.Service == key {
					add(c.Priority, c.Promised, h.measuredAt)
				}
			}
		}
	}
	scale := max(1, float64(max(1, gateways))/float64(known))
	for p := range counts {
		for i := range counts[p] {
			counts[p][i] *= scale
		}
	}
	return counts
}

// Refusal describes a request that is refused for load.
type Refusal struct {
	Service  string
	Priority int
	// Ahead is the number of requests that wait ahead of it, FreedPerSecond how many slots
	// become free in a second.
	Ahead, FreedPerSecond float64
	// Earliest and Latest bound the time after which its caller may return.
	Earliest, Latest time.Duration
	Gateways         int
}

// ReturnTime draws a time after which the caller of a refused request may return. At that
// time there is capacity left over by the requests that wait, the new ones of the same
// priority and more urgent ones, and the returns that all gateways have promised. Times with
// more capacity are more likely, so that callers are spread also if the other gateways decide
// on the same numbers. ok is false if there is no such time; the result is then the latest
// time. Without known demand any time is as likely as another, and ok is true.
func (r *Registry) ReturnTime(refusal *Refusal, now time.Time) (after time.Duration, ok bool) {
	earliest := min(refusal.Earliest, refusal.Latest)
	priority := ClampPriority(refusal.Priority)
	total := r.Total(refusal.Service, refusal.Gateways, now)
	if !total.Known {
		return r.between(earliest, refusal.Latest), true
	}
	promised := r.promisedReturns(refusal.Service, refusal.Gateways, now)
	newPerSecond := sum(total.NewPerSecond[:priority+1])
	backlog := refusal.Ahead
	var left [promiseSpans]float64
	all := 0.0
	for i := range promiseSpans {
		from, until := spanBounds(i, now)
		room := (refusal.FreedPerSecond - newPerSecond) * (until - from).Seconds()
		due := 0.0
		for p := range priority + 1 {
			due += promised[p][i]
		}
		if free := room - backlog; free > 0 {
			// The part of the span in which the caller may return has that part of its capacity.
			allowed := max(0, min(until, refusal.Latest)-max(from, earliest))
			left[i] = max(0, free*allowed.Seconds()/(until-from).Seconds()-due)
			all += left[i]
		}
		backlog = max(0, backlog+due-room)
	}
	if all < 1 {
		return refusal.Latest, false
	}
	chosen := r.rng.Float64() * all
	for i := range promiseSpans {
		if chosen -= left[i]; chosen < 0 {
			from, until := spanBounds(i, now)
			return r.between(max(from, earliest), min(until, refusal.Latest)), true
		}
	}
	return refusal.Latest, true // Only by rounding.
}

// spanBounds returns the bounds of the i-th span from now on, as times after now.
func spanBounds(i int, now time.Time) (from, until time.Duration) {
	first := time.Unix(0, spanOf(now)*int64(promiseSpan)).Sub(now)
	from = first + time.Duration(i)*promiseSpan
	return max(0, from), from + promiseSpan
}

// between draws a time between two.
func (r *Registry) between(earliest, latest time.Duration) time.Duration {
	return earliest + time.Duration(r.rng.Float64()*float64(max(0, latest-earliest)))
}

// RecordPromise records that a caller was told to return after the given time.
func (r *Registry) RecordPromise(service string, priority int, after time.Duration, now time.Time) {
	d := r.ensureOwn(service)
	p := ClampPriority(priority)
	if d.promised[p] == nil {
		d.promised[p] = make(promises)
	}
	d.promised[p][spanOf(now.Add(after))]++
}

// promisedPerSecond returns the rate at which promised returns are due now, by priority.
func (r *Registry) promisedPerSecond(service string, gateways int, now time.Time) (rates [Priorities]float64) {
	for p, counts := range r.promisedReturns(service, gateways, now) {
		// Callers are late by the time of a message, and spans differ between gateways.
		rates[p] = math.Min(counts[0], counts[1]) / promiseSpan.Seconds()
	}
	return rates
}
