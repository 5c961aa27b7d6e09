package rankagent

import (
	"errors"
	"hash/fnv"
	"time"

	"bluebellwind.example/mesh/meshpb"
)

// Units and bits of meshpb.StatusDigest.
const (
	digestUp   = 1
	digestOpen = 2
	paceDivide = 10
)

// maxDigestRanks is the greatest number of entries of a digest that is accepted.
const maxDigestRanks = 4096

// DigestEntry is the status of one rank in a digest of its group. Of Status only the
// fields are set that gateways use, and not Server.
type DigestEntry struct {
	Status *meshpb.RankStatus
	// Age is the time since the server was read, at the time of the digest.
	Age time.Duration
}

// encodeDigest returns a digest of the statuses of one group, which are sorted by rank and
// of one epoch. With servers, it contains the addresses.
func encodeDigest(entries []DigestEntry, period time.Duration, servers bool) *meshpb.StatusDigest {
	first := entries[0].Status
	d := &meshpb.StatusDigest{
		Group: first.Group, Epoch: first.Epoch, Size: first.Size, PassUs: first.PassUs, ReadMs: first.ReadMs,
		PeriodMs: uint32(period.Milliseconds()), ServersHash: hashServers(entries),
	}
	for _, e := range entries {
		d.Step = max(d.Step, e.Status.Step)
	}
	for _, e := range entries {
		s := e.Status
		var flags uint32
		if s.Up {
			flags |= digestUp
		}
		if s.Open {
			flags |= digestOpen
		}
		d.Flags = append(d.Flags, flags)
		d.Running = append(d.Running, s.Running)
		d.Waiting = append(d.Waiting, s.Waiting)
		d.StepsBehind = append(d.StepsBehind, d.Step-s.Step)
		d.PassUsDiff = append(d.PassUsDiff, int64(s.PassUs)-int64(d.PassUs))
		d.PaceDiff = append(d.PaceDiff, (int32(s.PaceMilli)-paceUnit)/paceDivide)
		d.AgeMs = append(d.AgeMs, uint32(max(0, (e.Age+time.Millisecond-1).Milliseconds()))) // Rounded up.
		d.ReadMsDiff = append(d.ReadMsDiff, s.ReadMs-d.ReadMs)
		if servers {
			d.Servers = append(d.Servers, s.Server)
		}
		if len(entries) < int(d.Size) {
			d.Ranks = append(d.Ranks, s.Rank)
		}
	}
	return d
}

var errBadDigest = errors.New("rankagent: digest with inconsistent entries")

// DecodeDigest returns the entries of a digest.
func DecodeDigest(d *meshpb.StatusDigest) ([]DigestEntry, error) {
	n := len(d.Flags)
	for _, length := range []int{len(d.Running), len(d.Waiting), len(d.StepsBehind), len(d.PassUsDiff), len(d.PaceDiff), len(d.AgeMs), len(d.ReadMsDiff)} {
		if length != n {
			return nil, errBadDigest
		}
	}
	allRanks := len(d.Ranks) == 0
	if n == 0 || n > maxDigestRanks || d.Group == "" || d.Size > maxDigestRanks || n > int(d.Size) ||
		allRanks && n != int(d.Size) || !allRanks && len(d.Ranks) != n || len(d.Servers) != 0 && len(d.Servers) != n {
		return nil, errBadDigest
	}
	entries := make([]DigestEntry, n)
	statuses := make([]meshpb.RankStatus, n)
	for i := range entries {
		s := &statuses[i]
		rank := uint32(i)
		if !allRanks {
			rank = d.Ranks[i]
		}
		passUs := int64(d.PassUs) + d.PassUsDiff[i]
		pace := paceUnit + int64(d.PaceDiff[i])*paceDivide
		if rank >= d.Size || d.StepsBehind[i] > d.Step || passUs < 0 || passUs > maxPassUs || pace < 0 {
			return nil, errBadDigest
		}
		s.Group, s.Epoch, s.Size, s.Rank = d.Group, d.Epoch, d.Size, rank
		s.Up, s.Open = d.Flags[i]&digestUp != 0, d.Flags[i]&digestOpen != 0
		s.Running, s.Waiting = d.Running[i], d.Waiting[i]
		s.Step, s.PassUs, s.PaceMilli = d.Step-d.StepsBehind[i], uint32(passUs), uint32(pace)
		s.ReadMs = d.ReadMs + d.ReadMsDiff[i]
		entries[i] = DigestEntry{Status: s, Age: time.Duration(d.AgeMs[i]) * time.Millisecond}
	}
	return entries, nil
}

// maxPassUs is the greatest time of a pass that fits the field of a status.
const maxPassUs = 1<<32 - 1

// hashServers returns a hash of the ranks and the addresses of a digest, so that the
// addresses need not be repeated. It is not 0.
func hashServers(entries []DigestEntry) uint64 {
	h := fnv.New64a()
	for _, e := range entries {
		rank := e.Status.Rank
		_, _ = h.Write([]byte{byte(rank >> 8), byte(rank)}) // Write of a hash never fails.
		_, _ = h.Write([]byte(e.Status.Server))
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64() | 1
}
