package backends

import "time"

// meanStatuses returns for each group, by name, the mean of the statuses of its ranks
// that are up, with counts rounded up. The caller holds the lock.
func (d *Directory) meanStatuses() map[string]Status {
	type groupSum struct {
		Status
		ranks int
	}
	sums := make(map[string]*groupSum)
	for _, s := range d.statuses {
		if !s.Up || s.Group.Name == "" {
			continue
		}
		sum := sums[s.Group.Name]
		if sum == nil {
			sum = &groupSum{Status: Status{ReceivedAt: s.ReceivedAt}}
			sums[s.Group.Name] = sum
		}
		if s.ReceivedAt.Before(sum.ReceivedAt) {
			sum.ReceivedAt = s.ReceivedAt
		}
		sum.ranks++
		sum.Running += s.Running
		sum.Waiting += s.Waiting
		sum.PassTime += s.PassTime
	}
	means := make(map[string]Status, len(sums))
	for name, sum := range sums {
		mean, n := sum.Status, sum.ranks
		mean.Up, mean.RelativePassTime = true, 1
		mean.Running = (mean.Running + n - 1) / n
		mean.Waiting = (mean.Waiting + n - 1) / n
		mean.PassTime /= time.Duration(n)
		means[name] = mean
	}
	return means
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
