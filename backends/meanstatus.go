package backends

import "time"

// meanStatuses returns for each group, by name, the mean of the statuses of its ranks
// that are up, with counts rounded up. The caller holds the lock.
func (d *Directory) meanStatuses() map[string]Status {
	ranks := make(map[string]int)
	sums := make(map[string]Status)
	for _, s := range d.statuses {
		if !s.Up || s.Group.Name == "" {
			continue
		}
		sum := sums[s.Group.Name]
		if ranks[s.Group.Name] == 0 || s.ReceivedAt.Before(sum.ReceivedAt) {
			sum.ReceivedAt = s.ReceivedAt
		}
		ranks[s.Group.Name]++
		sum.Running += s.Running
		sum.Waiting += s.Waiting
		sum.PassTime += s.PassTime
		sums[s.Group.Name] = sum
	}
	for name, sum := range sums {
		n := ranks[name]
		sum.Up, sum.RelativePassTime = true, 1
		sum.Running = (sum.Running + n - 1) / n
		sum.Waiting = (sum.Waiting + n - 1) / n
		sum.PassTime /= time.Duration(n)
		sums[name] = sum
	}
	return sums
}

// statusOrMean returns the status of a server or, for a rank without one, the mean of its
// group, because it is as busy as the others. ok is false if neither is known. The caller
// holds the lock.
func (d *Directory) statusOrMean(e *serverState, means map[string]Status) (status Status, ok bool) {
	if status, ok = d.statuses[e.Address]; ok {
		return status, true
	}
	status, ok = means[e.Group.Name]
	return status, ok
}
