package backends

import (
	"slices"
	"time"

	"bluebellwind.example/ingress"
)

// minSlowRatio is how many times the median of its group the relative pass time of a
// rank must be for the rank to count as slow.
const minSlowRatio = 1.3

// slotsOfSlowRank returns how many of the slots that a rank of the group may use are
// to be used by one with the given relative pass time. A pass lasts as long as the
// slowest rank needs for its own requests, so a slow rank gets only as many as it
// handles in the time that the others need for theirs. The result is 0 if there are
// none, so that the rank takes only its part of the work for experts.
func slotsOfSlowRank(e *ingress.Engine, slots int, relativePassTime, median float64) int {
	if median == 0 || relativePassTime < minSlowRatio*median {
		return slots
	}
	ratio := relativePassTime / median
	stepTime := func(n int) float64 { return float64(e.Step) + float64(n)*float64(e.PerSequence) }
	n := slots
	for n > 0 && ratio*stepTime(n) > stepTime(slots) {
		n--
	}
	return n
}

// SlowsGroup reports whether a rank is so slow, compared with the others of its group,
// that it should run no requests, while passes of the group exceed the longest allowed
// pause. The streams of the rank are then better moved to other ranks.
func (d *Directory) SlowsGroup(s *Server, service *ingress.Service, maxPause time.Duration) bool {
	if service == nil || service.Engine == nil || maxPause == 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	status, reported := d.statuses[s.Address]
	if !reported || status.PassTime <= maxPause {
		return false
	}
	e := service.Engine
	return slotsOfSlowRank(e, e.Slots, status.RelativePassTime, d.medianPassTimes()[status.Group.Name]) == 0
}

// medianPassTimes returns the median of the relative pass times of the ranks of each
// group that are up. The caller holds the lock.
func (d *Directory) medianPassTimes() map[string]float64 {
	byGroup := make(map[string][]float64)
	for _, s := range d.statuses {
		if s.Up && s.RelativePassTime > 0 {
			byGroup[s.Group.Name] = append(byGroup[s.Group.Name], s.RelativePassTime)
		}
	}
	medians := make(map[string]float64, len(byGroup))
	for name, times := range byGroup {
		slices.Sort(times)
		medians[name] = times[len(times)/2]
	}
	return medians
}
