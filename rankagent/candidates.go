package rankagent

const (
	// maxSmallGroup is the greatest number of ranks of a group all of whose agents are
	// candidates.
	maxSmallGroup = 16
	// largeGroupCandidates is the number of candidates in a larger group.
	largeGroupCandidates = 8
)

// isCandidate reports whether the agent of a rank may become the active leader of a
// group of size ranks. In a large group only a few are candidates, since each of them
// needs the status of every rank. They are spread evenly over the ranks, whose servers
// are in different availability zones, and rank 0 is one of them.
func isCandidate(rank, size int) bool {
	if size <= maxSmallGroup {
		return true
	}
	for i := range largeGroupCandidates {
		if rank == i*size/largeGroupCandidates {
			return true
		}
	}
	return false
}
