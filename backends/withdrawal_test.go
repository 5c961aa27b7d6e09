package backends

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func plainServer(id string, started int64) Server {
	return Server{ID: id, Service: "plain", Address: id + ":1", Zone: "z", Slots: 4, Started: started}
}

// canPick reports whether a request of the plain service can be placed.
func canPick(d *Directory, now time.Time) bool {
	c, err := d.Pick(PickRequest{ServiceName: "plain", StartObjective: 400 * time.Millisecond, GatewayCount: 1}, now)
	if err != nil {
		return false
	}
	c.Release()
	return true
}

// What another gateway has heard concerns one start of a server, which may be another
// than the one that is published here by now.
func TestLeavingIsToldOfOneIncarnation(t *testing.T) {
	d := NewDirectory("z", 1)
	assert.Assert(t, !d.MarkLeavingIncarnation("a", 10, start), "the server is not known")
	d.Put(plainServer("a", 20))
	assert.Assert(t, !d.MarkLeavingIncarnation("a", 10, start))
	assert.Assert(t, canPick(d, start))
	assert.Assert(t, d.MarkLeavingIncarnation("a", 20, start))
	assert.Assert(t, !canPick(d, start))
	assert.Assert(t, !d.MarkLeaving("a", start), "the others are told again")
}

// The store may be away or may have been restored from an older copy, and so publish
// a leaving server as ready.
func TestLeavingServerStaysOutWhateverIsPublished(t *testing.T) {
	d := NewDirectory("z", 1)
	d.Put(plainServer("a", 10))
	assert.Assert(t, d.MarkLeaving("a", start))
	assert.Assert(t, !d.MarkLeaving("a", start), "the same server was reported twice")
	d.Put(plainServer("a", 10))
	assert.Assert(t, !canPick(d, start))
	d.Remove("a", 0, start)
	d.Put(plainServer("a", 10))
	assert.Assert(t, !canPick(d, start))
	assert.Assert(t, d.Servers()[0].Draining, "peers must be told that the server leaves")
	d.Put(plainServer("a", 20))
	assert.Assert(t, canPick(d, start), "another incarnation has not said that it leaves")
}

func TestDrainingServerStaysOutAfterARestore(t *testing.T) {
	d := NewDirectory("z", 1)
	draining := plainServer("a", 10)
	draining.Draining = true
	d.Put(draining)
	d.Restore([]Server{plainServer("a", 10)}, time.Second, start)
	assert.Assert(t, !canPick(d, start))
}

func TestRemovedServerIsHeldBackAfterARestore(t *testing.T) {
	d := NewDirectory("z", 1)
	d.Put(plainServer("a", 10))
	d.Remove("a", 0, start)
	d.Restore([]Server{plainServer("a", 10)}, time.Second, start)
	assert.Assert(t, !canPick(d, start))
	d.Expire(start.Add(restoredHoldTime + time.Millisecond))
	assert.Assert(t, canPick(d, start.Add(restoredHoldTime)), "the store still publishes the server")

	d.Remove("a", 0, start)
	d.Restore([]Server{plainServer("a", 10)}, time.Second, start)
	d.Put(plainServer("a", 10))
	assert.Assert(t, canPick(d, start), "the server has published itself again")
}

func TestServerMissingAfterARestoreIsNotGoneAtOnce(t *testing.T) {
	d := NewDirectory("z", 1)
	d.Put(plainServer("a", 10))
	d.Restore(nil, time.Second, start)
	assert.Assert(t, canPick(d, start))
	d.Expire(start.Add(1100 * time.Millisecond))
	assert.Assert(t, !canPick(d, start.Add(1100*time.Millisecond)))
}

func TestBackoffIsBoundedAndSurvivesRepublication(t *testing.T) {
	d := NewDirectory("z", 1)
	d.Put(plainServer("a", 10))
	d.BackOff("a", 1000*time.Hour, start)
	d.Remove("a", 0, start)
	d.Put(plainServer("a", 10))
	assert.Assert(t, !canPick(d, start.Add(maxBackoff-time.Second)))
	assert.Assert(t, canPick(d, start.Add(maxBackoff+time.Second)))
	d.BackOff("a", 3*time.Second, start)
	d.BackOff("a", time.Second, start)
	assert.Assert(t, !canPick(d, start.Add(2*time.Second)), "a shorter backoff must not end a longer one")
}

func TestWithdrawalsAreForgotten(t *testing.T) {
	d := NewDirectory("z", 1)
	d.Put(plainServer("a", 10))
	d.MarkLeaving("a", start)
	d.BackOff("a", time.Second, start)
	d.Expire(start.Add(time.Hour))
	assert.Equal(t, len(d.withdrawals.leaving), 1, "the server is still published")
	d.Remove("a", 0, start.Add(time.Hour))
	d.Expire(start.Add(time.Hour + departureMemory + time.Second))
	assert.Equal(t, len(d.withdrawals.leaving)+len(d.withdrawals.removed)+len(d.withdrawals.backoffUntil), 0)
}

func TestDirectoriesWithTheSameServersHaveTheSameDigest(t *testing.T) {
	a, b := NewDirectory("z", 1), NewDirectory("z", 2)
	for _, id := range []string{"x", "y", "z"} {
		a.Put(plainServer(id, 1))
	}
	for _, id := range []string{"z", "w", "y", "x"} {
		b.Put(plainServer(id, 1))
	}
	assert.Assert(t, a.MemberDigest() != b.MemberDigest())
	b.Remove("w", 0, start)
	assert.Equal(t, a.MemberDigest(), b.MemberDigest())
}
