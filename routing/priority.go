package routing

// RFC 9218 urgencies range from 0, the most urgent, to 7. Requests up to
// defaultUrgency get the highest priority; requests from backgroundUrgency on
// get the lowest.
const (
	defaultUrgency    = 3
	backgroundUrgency = 6
)

// PriorityOf returns the priority of a request from its RFC 9218 urgency and
// from whether it is of the batch class.
func PriorityOf(batch bool, urgency int) Priority {
	switch {
	case batch || urgency >= backgroundUrgency:
		return Batch
	case urgency > defaultUrgency:
		return Standard
	default:
		return Interactive
	}
}
