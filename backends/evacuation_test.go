package backends

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/ingress"
	"bluebellwind.example/verdict"
)

// newZones returns a directory with a plain server in each of the zones za and zb, and a
// group of two ranks with a rank in each.
func newZones() *Directory {
	d := NewDirectory("za", 1)
	for i, zone := range []string{"za", "zb"} {
		d.Put(Server{ID: "plain-" + zone, Service: "plain", Address: "10.0.0.1:" + zone, Zone: zone, Slots: 2})
		d.Put(Server{
			ID: "rank-" + zone, Service: "model", Address: "10.0.0.2:" + zone, Zone: zone, Slots: 2, Open: true,
			Group: Group{Name: "g", Epoch: 1, Rank: i, Size: 2},
		})
	}
	return d
}

var modelService = &ingress.Service{Name: "model", Engine: &ingress.Engine{Slots: 2, Step: time.Millisecond, AnswerTokens: 4}}

// pickMany returns how many of 50 requests each server gets.
func pickMany(t *testing.T, d *Directory, r PickRequest) map[string]int {
	t.Helper()
	counts := make(map[string]int)
	for i := range 50 {
		c, err := d.Pick(r, time.Now().Add(time.Duration(i)*time.Millisecond))
		assert.NilError(t, err)
		counts[c.ID]++
		c.Release()
	}
	return counts
}

// A server of an evacuated zone must get no request, also when its table was just built,
// and must be chosen again once the evacuation ends.
func TestEvacuatedZoneGetsNothing(t *testing.T) {
	d := newZones()
	requests := []PickRequest{
		{ServiceName: "plain", StartObjective: time.Second},
		{ServiceName: "model", Service: modelService, StartObjective: time.Second},
	}
	for _, r := range requests {
		assert.Equal(t, len(pickMany(t, d, r)), 2)
		d.SetEvacuated([]string{"za"})
		assert.Equal(t, len(pickMany(t, d, r)), 1)
		counts := pickMany(t, d, r)
		assert.Equal(t, counts["plain-zb"]+counts["rank-zb"], 50)
		d.Put(Server{ID: "new", Service: r.ServiceName, Address: "10.0.0.3:1", Zone: "za", Slots: 2})
		assert.Equal(t, len(pickMany(t, d, r)), 1, "a server that starts in the zone is not used either")
		d.Remove("new", 0, time.Now())
		d.SetEvacuated(nil)
		assert.Equal(t, len(pickMany(t, d, r)), 2)
	}
}

// If no server is left, callers must be refused at once and not be invited back at a time
// that nobody knows.
func TestServiceInEvacuatedZonesOnlyIsRefused(t *testing.T) {
	refusalOf := func(d *Directory, service string) *verdict.Error {
		_, err := d.Pick(PickRequest{ServiceName: service, StartObjective: time.Second}, time.Now())
		var refusal *verdict.Error
		assert.Assert(t, errors.As(err, &refusal), "%v", err)
		return refusal
	}
	d := newZones()
	d.SetEvacuated([]string{"za", "zb"})
	for _, service := range []string{"plain", "model"} {
		refusal := refusalOf(d, service)
		assert.Equal(t, refusal.Code, verdict.ZoneEvacuated)
		assert.Equal(t, refusal.Verdict, verdict.NotRun)
		assert.Equal(t, refusal.RetryAfter, time.Duration(0))
	}
	assert.Equal(t, refusalOf(d, "unknown").Code, verdict.Unavailable, "a service without servers is refused for another reason")
	d.SetEvacuated([]string{"za"})
	for range 5 {
		d.RecordFailure("plain-zb", true, time.Now())
	}
	refusal := refusalOf(d, "plain")
	assert.Equal(t, refusal.Code, verdict.Unavailable, "the other zone has a server, which will be back")
	assert.Assert(t, refusal.RetryAfter > 0)
	d.Put(Server{ID: "plain-zb", Service: "plain", Address: "10.0.0.1:zb", Zone: "zb", Slots: 2, Draining: true})
	assert.Equal(t, refusalOf(d, "plain").Code, verdict.ZoneEvacuated, "a server that drains does not come back")
}

// Servers in evacuated zones must not count when callers are told how long all servers
// want no requests.
func TestBackoffOfTheOtherZonesIsTold(t *testing.T) {
	d := newZones()
	d.SetEvacuated([]string{"za"})
	now := time.Now()
	d.BackOff("plain-zb", 4*time.Second, now)
	_, err := d.Pick(PickRequest{ServiceName: "plain", StartObjective: time.Second}, now)
	var refusal *verdict.Error
	assert.Assert(t, errors.As(err, &refusal), "%v", err)
	assert.Assert(t, refusal.RetryAfter >= 4*time.Second, "%v", refusal.RetryAfter)
}

// A gateway that starts during an evacuation must send nothing before it knows the zones.
func TestNothingIsChosenBeforeTheZonesAreKnown(t *testing.T) {
	d := newZones()
	d.AwaitEvacuations()
	_, err := d.Pick(PickRequest{ServiceName: "plain", StartObjective: time.Second}, time.Now())
	var refusal *verdict.Error
	assert.Assert(t, errors.As(err, &refusal), "%v", err)
	assert.Equal(t, refusal.Verdict, verdict.NotRun)
	assert.Assert(t, refusal.RetryAfter > 0)
	d.SetEvacuated([]string{"za"})
	assert.Equal(t, pickMany(t, d, PickRequest{ServiceName: "plain", StartObjective: time.Second})["plain-zb"], 50)
	assert.DeepEqual(t, d.EvacuatedZones(), []string{"za"})
	d.SetEvacuated([]string{"za", "elsewhere"})
	assert.DeepEqual(t, d.EvacuatedZones(), []string{"za"}) // A zone that nothing names is not counted.
}
