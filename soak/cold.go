package soak

import (
	"fmt"
	"slices"
	"time"

	"bluebellwind.example/platform/platformtest"
)

// Properties of the servers that may be cold, in runs that have them: they handle
// coldPerSecond requests a second while they are cold, and at most coldPerSecond *
// coldOvershoot + coldSlack reach one in any second.
const (
	coldPerSecond = 6.0
	coldOvershoot = 1.5
	coldSlack     = 3.0
	// coldGrace is the time after a server became cold from which the bound must be kept.
	// Plain servers have no standing budget here, because their slots complete more.
	coldGrace = 1500 * time.Millisecond
	// statedColdTime is for how long servers say that they stay cold.
	statedColdTime = 30 * time.Second
)

// coldPeriod is a period in which a server is cold.
type coldPeriod struct {
	server     string
	begin, end time.Time
}

// coolServer makes a plain server cold without notice until the returned function is called.
// Its entry says so delay later.
func (r *testbed) coolServer(s *plainServer, delay time.Duration) func() {
	end := r.history.beginCold(s.ID)
	s.SetColdRemaining(statedColdTime)
	entry := s.entry
	entry.ColdRemaining = statedColdTime
	publish := time.AfterFunc(delay, func() { r.store.PutServer(entry) })
	return func() {
		publish.Stop()
		s.SetColdRemaining(0)
		r.store.PutServer(s.entry)
		end()
	}
}

func (h *history) beginCold(server string) func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	index := len(h.coldPeriods)
	h.coldPeriods = append(h.coldPeriods, coldPeriod{server: server, begin: time.Now()})
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.coldPeriods[index].end = time.Now()
	}
}

// coldServersOverrun finds servers that got too many requests in a second while they were cold.
func (h *history) coldServersOverrun() []string {
	var out []string
	for i := range h.coldPeriods {
		p := &h.coldPeriods[i]
		if most := h.mostInASecond(p); float64(most) > coldPerSecond*coldOvershoot+coldSlack {
			out = append(out, fmt.Sprintf("%s got %d requests in a second, of %.0f", p.server, most, coldPerSecond*coldOvershoot+coldSlack))
		}
	}
	return out
}

// mostInASecond returns the greatest number of requests that a server got in any second of a
// period, without its first coldGrace.
func (h *history) mostInASecond(p *coldPeriod) int {
	var times []time.Time
	for _, a := range h.attempts {
		for _, got := range a.arrivals {
			if got.Server == p.server && got.At.After(p.begin.Add(coldGrace)) && (p.end.IsZero() || got.At.Before(p.end)) {
				times = append(times, got.At)
			}
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// enableColdServers sets the rate of the plain servers in a configuration.
func enableColdServers(c *platformtest.Config) {
	c.ColdPerSecond = map[string]float64{appService: coldPerSecond}
}
