package suspects

// HomeServer returns the index of the home server, the only server that runs a
// given request on probation. It is selected by rendezvous hashing of homeKey,
// which is Decision.HomeKey, over the identifiers of the live servers. Entries
// with the same set of servers select the same one, and when a server leaves,
// only the requests whose home server it was move to another. HomeServer returns
// false if servers is empty.
func HomeServer(homeKey uint64, servers []uint64) (int, bool) {
	bestHash, bestIndex := uint64(0), -1
	for i, server := range servers {
		if hash := mix(server, homeKey); bestIndex < 0 || hash > bestHash {
			bestHash, bestIndex = hash, i
		}
	}
	return bestIndex, bestIndex >= 0
}
