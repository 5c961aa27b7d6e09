package discovery

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"bluebellwind.example/backends"
	"bluebellwind.example/discovery/discoverypb"
	"bluebellwind.example/ingress"
	"bluebellwind.example/internal/logging"
)

// zonesUsed returns the evacuated zones that the directory applies, or an error while it
// refuses all requests.
func zonesUsed(f *Follower, zones ...string) ([]string, error) {
	var used []string
	for _, zone := range zones {
		if f.directory.Evacuated(&backends.Server{Zone: zone}) {
			used = append(used, zone)
		}
	}
	_, err := f.directory.Pick(backends.PickRequest{ServiceName: "s"}, time.Now())
	return used, err
}

func zonesSnapshot(era, revision int64, zones ...string) *Snapshot {
	return &Snapshot{
		Config: newConfig(7), Era: era, Revision: revision, EvacuatedZones: zones,
		Servers: []backends.Server{{ID: "a", Service: "s", Address: "127.0.0.1:1", Zone: "za", Slots: 1}, {ID: "b", Service: "s", Address: "127.0.0.1:2", Zone: "zb", Slots: 1}},
	}
}

// An evacuation must begin and end with its key, whether that is seen in a change or in a
// full read after the source has lost its history.
func TestEvacuationFollowsItsKey(t *testing.T) {
	now := time.Minute
	f := newIdleFollower(&now)
	assert.NilError(t, f.applySnapshot(position{}, zonesSnapshot(0, 10, "za"), now))
	used, err := zonesUsed(f, "za", "zb")
	assert.NilError(t, err)
	assert.DeepEqual(t, used, []string{"za"})
	changes := []ZoneChange{{"zb", true}, {"za", false}, {"za", true}, {"za", false}}
	assert.NilError(t, applied(f.applyChanges(f.at, &Changes{Era: 0, Revision: 14, Evacuations: changes}, now)))
	used, _ = zonesUsed(f, "za", "zb")
	assert.DeepEqual(t, used, []string{"zb"})
	f.resetRevision()
	assert.NilError(t, f.applySnapshot(f.at, zonesSnapshot(0, 20, "za"), now))
	used, _ = zonesUsed(f, "za", "zb")
	assert.DeepEqual(t, used, []string{"za"})
	unreadable := zonesSnapshot(0, 21)
	unreadable.UnreadableEvacuations = []string{"za", "zb"}
	f.resetRevision()
	assert.NilError(t, f.applySnapshot(f.at, unreadable, now))
	used, _ = zonesUsed(f, "za", "zb")
	assert.DeepEqual(t, used, []string{"za"}) // It neither ends nor begins.
}

// A restore may lose the newest evacuations. They must stay until a response shows that the
// operators have not published them again, and no longer.
func TestEvacuationOutlivesARestore(t *testing.T) {
	now := time.Minute
	f := newIdleFollower(&now)
	assert.NilError(t, f.applySnapshot(position{}, zonesSnapshot(0, 10, "za"), now))
	now += time.Second
	assert.NilError(t, applied(f.applyChanges(f.at, &Changes{Era: 2, Revision: 9}, now)))
	assert.NilError(t, f.applySnapshot(f.at, zonesSnapshot(2, 9, "zb"), now))
	used, _ := zonesUsed(f, "za", "zb")
	assert.DeepEqual(t, used, []string{"za", "zb"}) // What is published counts at once.
	sentAt := now + restoreSettleTime - time.Millisecond
	now += 10 * restoreSettleTime // The source did not respond, so nothing is known.
	assert.NilError(t, applied(f.applyChanges(f.at, &Changes{Era: 2, Revision: 9}, sentAt)))
	used, _ = zonesUsed(f, "za", "zb")
	assert.DeepEqual(t, used, []string{"za", "zb"})
	assert.NilError(t, applied(f.applyChanges(f.at, &Changes{Era: 2, Revision: 9}, now)))
	used, _ = zonesUsed(f, "za", "zb")
	assert.DeepEqual(t, used, []string{"zb"})

	// The deletion of a key takes effect at once, also soon after a restore.
	assert.NilError(t, applied(f.applyChanges(f.at, &Changes{Era: 3, Revision: 9}, now)))
	assert.NilError(t, f.applySnapshot(f.at, zonesSnapshot(3, 9, "zb"), now))
	assert.NilError(t, applied(f.applyChanges(f.at, &Changes{Era: 3, Revision: 10, Evacuations: []ZoneChange{{"zb", false}}}, now)))
	used, _ = zonesUsed(f, "za", "zb")
	assert.Equal(t, len(used), 0)
}

// A gateway that starts soon after a restore cannot know which evacuations it has lost: it
// must send nothing until the operators had time, or until a peer tells.
func TestGatewayThatStartsAfterARestoreAwaitsTheZones(t *testing.T) {
	now := time.Minute
	fresh := func() *Follower {
		f := newIdleFollower(&now)
		assert.NilError(t, f.applySnapshot(position{}, zonesSnapshot(2, 10), now))
		_, err := zonesUsed(f)
		assert.ErrorContains(t, err, "not known yet")
		_, proven := f.ProofAge()
		assert.Assert(t, !proven)
		return f
	}
	alone, told := fresh(), fresh()
	now += restoreSettleTime
	assert.NilError(t, applied(alone.applyChanges(alone.at, &Changes{Era: 2, Revision: 10}, now)))
	_, err := zonesUsed(alone)
	assert.NilError(t, err)

	reply := &discoverypb.Reply{
		Format: replyFormat, Version: 7, Era: 2, Revision: 9, AgeUs: time.Second.Microseconds(), PublishedVersion: 7,
		Evacuated: []*discoverypb.EvacuatedZone{{Zone: "za", Lost: true}},
	}
	assert.NilError(t, told.applyReply(reply, now-restoreSettleTime, "older"))
	_, err = zonesUsed(told)
	assert.ErrorContains(t, err, "not known yet", "the peer is behind")
	reply.Revision = 10
	assert.NilError(t, told.applyReply(reply, now-restoreSettleTime, "peer"))
	used, err := zonesUsed(told, "za")
	assert.NilError(t, err)
	assert.DeepEqual(t, used, []string{"za"})
	assert.NilError(t, applied(told.applyChanges(told.at, &Changes{Era: 2, Revision: 10}, now)))
	used, _ = zonesUsed(told, "za")
	assert.Equal(t, len(used), 0)
}

// A gateway that reads through others must learn of an evacuation and of its end without a
// call to the source, well within half of the bound of five seconds.
func TestReadersHandOnEvacuations(t *testing.T) {
	s := &fakeSource{snapshot: *zonesSnapshot(0, 10)}
	reader, dependent := newReaderAndDependent(t, s, &fakeSource{down: true})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go dependent.Run(ctx)
	poll.WaitOn(t, hasVersion(reader, 7))
	poll.WaitOn(t, hasVersion(dependent, 7))
	uses := func(want string) poll.Check {
		return func(poll.LogT) poll.Result {
			if used, err := zonesUsed(dependent, "za"); strings.Join(used, "") == want && err == nil {
				return poll.Success()
			}
			return poll.Continue("not in effect yet")
		}
	}
	for i, zones := range [][]string{{"za"}, nil} {
		changedAt := time.Now()
		s.update(func(s *fakeSource) {
			s.snapshot.EvacuatedZones, s.snapshot.Revision, s.historyGone = zones, int64(20+i), true
		})
		poll.WaitOn(t, uses(strings.Join(zones, "")), poll.WithDelay(10*time.Millisecond))
		took := time.Since(changedAt)
		t.Logf("in effect after %v", took)
		assert.Assert(t, took < 2500*time.Millisecond, "%v", took)
	}
}

// A peer of an older build states no zones and leaves out parts of the configuration, so
// nothing of its replies may be used.
func TestPeerOfAnOlderBuildIsIgnored(t *testing.T) {
	now := time.Minute
	f := newIdleFollower(&now)
	config, err := encode(newConfig(7))
	assert.NilError(t, err)
	err = f.applyReply(&discoverypb.Reply{Version: 7, Revision: 10, Config: config, PublishedVersion: 7}, now, "old")
	assert.Assert(t, errors.Is(err, errOldFormat))
	assert.Assert(t, f.Table() == nil)
}

// Keys for zones that nothing names must not flood the log or use up memory, and must take
// effect once a server of the zone starts.
func TestUnknownZonesAreBounded(t *testing.T) {
	now := time.Minute
	var log bytes.Buffer
	f := NewFollower(&fakeSource{}, backends.NewDirectory("z", 1), PeerAddresses{}, logging.New(&log, "info"))
	f.uptime = func() time.Duration { return now }
	zones := []string{"zb"}
	for i := range 4 * maxZones {
		zones = append(zones, fmt.Sprintf("odd-%d", i))
	}
	for i := range 3 {
		f.resetRevision()
		assert.NilError(t, f.applySnapshot(f.at, zonesSnapshot(0, int64(10+i), zones...), now))
	}
	assert.Equal(t, len(f.evacuations.zones), maxZones)
	used, _ := zonesUsed(f, "zb", "za")
	assert.DeepEqual(t, used, []string{"zb"})
	assert.Assert(t, strings.Count(log.String(), "evacuation_of_unknown_zone") <= maxZones)
	assert.Equal(t, strings.Count(log.String(), "change=began"), 1, "%s", log.String())

	f.resetRevision()
	assert.NilError(t, f.applySnapshot(f.at, zonesSnapshot(0, 30, "new"), now))
	assert.Assert(t, strings.Contains(log.String(), "change=ended"))
	started := &Changes{Era: 0, Revision: 31, Updated: []backends.Server{{ID: "n", Service: "s", Address: "127.0.0.1:3", Zone: "new", Slots: 1}}}
	assert.NilError(t, applied(f.applyChanges(f.at, started, now)))
	used, _ = zonesUsed(f, "new")
	assert.DeepEqual(t, used, []string{"new"})
	assert.Assert(t, strings.Contains(log.String(), "zone=new change=began era=0 revision=31"), "%s", log.String())
}

// A misspelt region refuses all requests of its route, so it must be found in the log, once.
func TestUnknownRegionsAreLoggedOnce(t *testing.T) {
	now := time.Minute
	var log bytes.Buffer
	directory := backends.NewDirectory("z", 1)
	directory.SetRegions(map[string]string{"za": "east", "zb": ""})
	f := NewFollower(&fakeSource{}, directory, PeerAddresses{}, logging.New(&log, "info"))
	f.uptime = func() time.Duration { return now }
	for version := range int64(3) {
		c := newConfig(7 + version)
		c.Routes[0].AllowedRegions = []string{"east", "eats"}
		c.Organisations = []ingress.Organisation{{Name: "north", AllowedRegions: []string{"eats", ""}}}
		f.resetRevision()
		assert.NilError(t, f.applySnapshot(f.at, &Snapshot{Config: c, Era: 0, Revision: 10 + version}, now))
	}
	assert.Equal(t, strings.Count(log.String(), "region_unknown"), 2, "%s", log.String())
	assert.Assert(t, strings.Contains(log.String(), "region=eats route=r"), "%s", log.String())
}
