package rankagent

import (
	"errors"
	"hash/fnv"
	"time"

	"bluebellwind.example/mesh/meshpb"
)

// Units and bits of meshpb.StatusDigest.
const (
	digestDown   = 1
	digestClosed = 2
	paceDivide   = 10
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

// EncodeDigest returns a digest of statuses of one group, which are sorted by rank and of
// one epoch. servers are the addresses of all ranks, which the digest contains if
// withServers is set.
func EncodeDigest(entries []DigestEntry, servers []string, withServers bool, period time.Duration) *meshpb.StatusDigest {
	first := entries[0].Status
	d := &meshpb.StatusDigest{
		Group: first.Group, Epoch: first.Epoch, Size: uint32(len(servers)), PassUs: first.PassUs, ReadMs: first.ReadMs,
		PeriodMs: uint32(period.Milliseconds()), ServersHash: hashServers(servers),
	}
	if withServers {
		d.Servers = servers
	}
	for _, e := range entries {
		d.Step = max(d.Step, e.Status.Step)
	}
	for _, e := range entries {
		s := e.Status
		var flags uint32
		if !s.Up {
			flags |= digestDown
		}
		if !s.Open {
			flags |= digestClosed
		}
		d.Flags = append(d.Flags, flags)
		d.Running = append(d.Running, s.Running)
		d.Waiting = append(d.Waiting, s.Waiting)
		d.StepsBehind = append(d.StepsBehind, d.Step-s.Step)
		d.PassUsDiff = append(d.PassUsDiff, int64(s.PassUs)-int64(d.PassUs))
		d.PaceDiff = append(d.PaceDiff, (int32(s.PaceMilli)-paceUnit)/paceDivide)
		d.AgeMs = append(d.AgeMs, uint32(max(0, (e.Age+time.Millisecond-1).Milliseconds()))) // Rounded up.
		d.ReadMsDiff = append(d.ReadMsDiff, s.ReadMs-d.ReadMs)
		if len(entries) < len(servers) {
			d.Ranks = append(d.Ranks, s.Rank)
		}
	}
	d.Flags, d.Running, d.Waiting = unlessZero(d.Flags), unlessZero(d.Running), unlessZero(d.Waiting)
	d.StepsBehind, d.PassUsDiff, d.PaceDiff = unlessZero(d.StepsBehind), unlessZero(d.PassUsDiff), unlessZero(d.PaceDiff)
	return d
}

// unlessZero returns values, or nil if all of them are zero.
func unlessZero[T comparable](values []T) []T {
	var zero T
	for _, v := range values {
		if v != zero {
			return values
		}
	}
	return nil
}

// valueAt returns a value of a field that is empty if all values are zero.
func valueAt[T any](values []T, i int) T {
	if len(values) == 0 {
		var zero T
		return zero
	}
	return values[i]
}

var errBadDigest = errors.New("rankagent: digest with inconsistent entries")

// wellFormed reports whether the fields of a digest fit each other.
func wellFormed(d *meshpb.StatusDigest) bool {
	n, size := len(d.AgeMs), int(d.Size)
	if n == 0 || n > size || size > maxDigestRanks || d.Group == "" || len(d.ReadMsDiff) != n {
		return false
	}
	for _, length := range []int{len(d.Flags), len(d.Running), len(d.Waiting), len(d.StepsBehind), len(d.PassUsDiff), len(d.PaceDiff)} {
		if length != n && length != 0 {
			return false
		}
	}
	if len(d.Ranks) == 0 && n != size || len(d.Ranks) != 0 && len(d.Ranks) != n {
		return false
	}
	return len(d.Servers) == 0 || len(d.Servers) == size && hashServers(d.Servers) == d.ServersHash
}

// DecodeDigest returns the entries of a digest.
func DecodeDigest(d *meshpb.StatusDigest) ([]DigestEntry, error) {
	if !wellFormed(d) {
		return nil, errBadDigest
	}
	n := len(d.AgeMs)
	entries := make([]DigestEntry, n)
	statuses := make([]meshpb.RankStatus, n)
	for i := range entries {
		s := &statuses[i]
		rank := uint32(i)
		if len(d.Ranks) != 0 {
			rank = d.Ranks[i]
		}
		behind, passUs := valueAt(d.StepsBehind, i), int64(d.PassUs)+valueAt(d.PassUsDiff, i)
		pace := paceUnit + int64(valueAt(d.PaceDiff, i))*paceDivide
		if rank >= d.Size || behind > d.Step || passUs < 0 || passUs > maxPassUs || pace < 0 {
			return nil, errBadDigest
		}
		flags := valueAt(d.Flags, i)
		s.Group, s.Epoch, s.Size, s.Rank = d.Group, d.Epoch, d.Size, rank
		s.Up, s.Open = flags&digestDown == 0, flags&digestClosed == 0
		s.Running, s.Waiting = valueAt(d.Running, i), valueAt(d.Waiting, i)
		s.Step, s.PassUs, s.PaceMilli = d.Step-behind, uint32(passUs), uint32(pace)
		s.ReadMs = d.ReadMs + d.ReadMsDiff[i]
		entries[i] = DigestEntry{Status: s, Age: time.Duration(d.AgeMs[i]) * time.Millisecond}
	}
	return entries, nil
}

// maxPassUs is the greatest time of a pass that fits the field of a status.
const maxPassUs = 1<<32 - 1

// hashServers returns a hash of the addresses of the servers of a group, so that digests
// need not repeat them. It is not 0.
func hashServers(servers []string) uint64 {
	h := fnv.New64a()
	for _, address := range servers {
		_, _ = h.Write([]byte(address)) // Write of a hash never fails.
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64() | 1
}
