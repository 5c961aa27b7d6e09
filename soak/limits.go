package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Bounds of the check for servers that state a request limit.
const (
	// limitGrace is the time after a server first stated a limit from which it must be
	// kept.
	limitGrace = 3 * time.Second
	// limitWindow is the span in which a server may get limitRatio times what its limit
	// allows, and limitSlack requests more.
	limitWindow = 4 * time.Second
	limitRatio  = 1.5
	limitSlack  = 5
	// limitNoticeTime is the time from a response with a limit to the first request of
	// the same gateway that counts.
	limitNoticeTime = 500 * time.Millisecond
	// minLimit and limitSpread bound the limits that servers state, in requests a second.
	minLimit, limitSpread = 0.5, 5.0
	// minLimitPeriod is the minimum time for which servers state a limit.
	minLimitPeriod = limitGrace + limitWindow
)

// limitPeriod is a period in which a server states a request limit.
type limitPeriod struct {
	server      string
	perSecond   float64
	begin, end  time.Time
	firstStated time.Time
}

// limiter is a simulated server that can state a request limit.
type limiter interface{ SetRequestLimit(perSecond float64) }

// limitServers makes a share of the plain servers, or of the ranks, state request limits.
func (r *testbed) limitServers(rng *rand.Rand) func() func() {
	share, ranks := 0.3+0.7*rng.Float64(), rng.IntN(2) == 0
	perSecond := minLimit + limitSpread*rng.Float64()
	rng = rand.New(rand.NewPCG(rng.Uint64(), 5))
	return func() func() {
		servers := make(map[string]limiter)
		for _, s := range r.plainServers {
			if !ranks {
				servers[s.ID] = s
			}
		}
		for _, s := range r.ranks {
			if ranks {
				servers[s.ID] = s
			}
		}
		var ends []func()
		for id, s := range servers {
			if rng.Float64() < share {
				ends = append(ends, r.limitServer(id, s, perSecond))
			}
		}
		return func() {
			for _, end := range ends {
				end()
			}
		}
	}
}

// limitServer makes a server state a request limit until the returned function is called.
func (r *testbed) limitServer(id string, s limiter, perSecond float64) func() {
	end := r.history.beginLimit(id, perSecond)
	s.SetRequestLimit(perSecond)
	return func() { s.SetRequestLimit(0); end() }
}

func (h *history) beginLimit(server string, perSecond float64) func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	index := len(h.limitPeriods)
	h.limitPeriods = append(h.limitPeriods, limitPeriod{server: server, perSecond: perSecond, begin: time.Now()})
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.limitPeriods[index].end = time.Now()
	}
}

// limitedArrival is a request that reached a server while it stated a limit.
type limitedArrival struct {
	at, endedAt time.Time
	gateway     string
	startNumber int
	answered    bool
}

// limitsExceeded finds servers that got far more requests than the limit that they stated.
// Periods of one server that overlap are left out: their limits replace each other.
func (h *history) limitsExceeded() []string {
	var out []string
	for i := range h.limitPeriods {
		p := h.limitPeriods[i]
		if h.overlapsAnother(i) {
			continue
		}
		if p.end.IsZero() {
			p.end = time.Now()
		}
		out = append(out, h.limitExceeded(&p)...)
	}
	return out
}

func (h *history) overlapsAnother(index int) bool {
	p := &h.limitPeriods[index]
	for i := range h.limitPeriods {
		other := &h.limitPeriods[i]
		if i != index && other.server == p.server && (other.end.IsZero() || other.end.After(p.begin)) && (p.end.IsZero() || p.end.After(other.begin)) {
			return true
		}
	}
	return false
}

// limitExceeded returns the violation in one period.
func (h *history) limitExceeded(p *limitPeriod) []string {
	arrivals := h.limitedArrivals(p)
	told := firstTold(arrivals)
	p.firstStated = p.end
	for _, at := range told {
		if at.Before(p.firstStated) {
			p.firstStated = at
		}
	}
	var counted []time.Time
	for _, got := range arrivals {
		toldAt, wasTold := told[processStart{got.gateway, got.startNumber}]
		if wasTold && !got.at.Before(toldAt.Add(limitNoticeTime)) && !got.at.Before(p.firstStated.Add(limitGrace)) && h.gatewayInTouch(got.gateway, got.at, got.at) {
			counted = append(counted, got.at)
		}
	}
	allowed := limitRatio*p.perSecond*limitWindow.Seconds() + limitSlack
	for i, from := range counted {
		n := 0
		for _, at := range counted[i:] {
			if at.Sub(from) < limitWindow {
				n++
			}
		}
		if float64(n) > allowed {
			return []string{fmt.Sprintf("%s: %d requests in %v, allowed %.1f at a limit of %.2f a second", p.server, n, limitWindow, allowed, p.perSecond)}
		}
	}
	return nil
}

// limitedArrivals returns the arrivals at the server of a period within it, in their order.
func (h *history) limitedArrivals(p *limitPeriod) []limitedArrival {
	var arrivals []limitedArrival
	for _, a := range h.attempts {
		for _, got := range a.arrivals {
			if got.Server == p.server && got.At.After(p.begin) && got.At.Before(p.end) {
				arrivals = append(arrivals, limitedArrival{
					at: got.At, endedAt: a.endedAt, gateway: a.gateway, startNumber: a.startNumber,
					answered: strings.HasPrefix(a.response.Seal, p.server+"."),
				})
			}
		}
	}
	slices.SortFunc(arrivals, func(a, b limitedArrival) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	return arrivals
}

// processStart is one start of a gateway's process.
type processStart struct {
	gateway string
	number  int
}

// firstTold returns when each gateway first passed on a response with the limit.
func firstTold(arrivals []limitedArrival) map[processStart]time.Time {
	told := make(map[processStart]time.Time)
	for _, got := range arrivals {
		key := processStart{got.gateway, got.startNumber}
		if first, known := told[key]; got.answered && (!known || got.endedAt.Before(first)) {
			told[key] = got.endedAt
		}
	}
	return told
}
