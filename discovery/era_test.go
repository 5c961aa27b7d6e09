package discovery

import (
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/backends"
	"bluebellwind.example/ingress"
	"bluebellwind.example/internal/logging"
)

// newIdleFollower returns a follower that a test drives by hand, at the time *uptime
// since the machine booted.
func newIdleFollower(uptime *time.Duration) *Follower {
	f := NewFollower(&fakeSource{}, backends.NewDirectory("z", 1), PeerAddresses{}, logging.New(io.Discard, "error"))
	f.uptime = func() time.Duration { return *uptime }
	return f
}

// unservableConfig returns a configuration that NewTable rejects.
func unservableConfig(version int64) *ingress.Config {
	c := newConfig(version)
	c.Routes[0].Split = []ingress.Share{{Service: "s", Weight: -1}}
	return c
}

// A key may have been revoked in a configuration that this process cannot use. Its
// own, older configuration is then no longer the newest.
func TestConfigurationThatCannotBeUsedProvesNothing(t *testing.T) {
	responses := map[string]*Changes{
		"rejected":  {Revision: 12, Config: unservableConfig(9)},
		"undecoded": {Revision: 12, ConfigInvalid: true},
	}
	for name, changes := range responses {
		t.Run(name, func(t *testing.T) {
			uptime := 10 * time.Second
			f := newIdleFollower(&uptime)
			assert.NilError(t, f.applySnapshot(position{}, &Snapshot{Config: newConfig(7), Revision: 10}, 9*time.Second))
			assert.NilError(t, applied(f.applyChanges(position{revision: 10}, changes, 10*time.Second)))
			age, ok := f.ProofAge()
			assert.Assert(t, ok && age == time.Second, "the response was taken for a proof: %v", age)
			assert.NilError(t, applied(f.applyChanges(position{revision: 12}, &Changes{Revision: 13}, 10*time.Second)))
			age, _ = f.ProofAge()
			assert.Equal(t, age, time.Second, "a later response without changes was taken for a proof")
			assert.NilError(t, applied(f.applyChanges(position{revision: 13}, &Changes{Revision: 14, Config: newConfig(11)}, 10*time.Second)))
			age, _ = f.ProofAge()
			assert.Equal(t, age, time.Duration(0))
		})
	}
}

// After a restore the source gives out the same revisions again for other contents,
// so the changes after a revision of the era before must not be applied.
func TestRestoredSourceIsReadAnew(t *testing.T) {
	uptime := 10 * time.Second
	f := newIdleFollower(&uptime)
	assert.NilError(t, f.applySnapshot(position{}, &Snapshot{Era: 0, Config: newConfig(7), Revision: 10}, uptime))
	at := f.currentPosition()
	changes := &Changes{Era: 2, Revision: 14, Config: newConfig(8)}
	assert.NilError(t, applied(f.applyChanges(at, changes, uptime)))
	assert.Equal(t, f.Table().Version(), int64(7), "changes of another history were applied")
	assert.Equal(t, f.currentPosition(), position{era: 2})

	assert.ErrorIs(t, f.applySnapshot(position{era: 2}, &Snapshot{Era: 0, Config: newConfig(7), Revision: 10}, uptime), errOlderEra)
	assert.Equal(t, f.currentPosition(), position{era: 2})
}

// The copy from which the source was restored may lack a revocation that was already
// acknowledged. Its state proves nothing until the operators have had time to publish
// theirs again, and never if it is older than what this process has used.
func TestRestoredSourceProvesNothingUntilItHasSettled(t *testing.T) {
	uptime := 10 * time.Second
	f := newIdleFollower(&uptime)
	assert.NilError(t, f.applySnapshot(position{}, &Snapshot{Era: 0, Config: newConfig(7), Revision: 10}, uptime))
	provenAt := uptime

	uptime += time.Second
	assert.NilError(t, f.applySnapshot(position{era: 0, revision: 10}, &Snapshot{Era: 2, Config: newConfig(5), Revision: 8}, uptime))
	assert.Equal(t, f.Table().Version(), int64(7), "the configuration went back")
	uptime += restoreSettleTime
	assert.NilError(t, applied(f.applyChanges(position{era: 2, revision: 8}, &Changes{Era: 2, Revision: 9}, uptime)))
	age, _ := f.ProofAge()
	assert.Equal(t, age, uptime-provenAt, "an older configuration than the one in use was taken for the newest")

	assert.NilError(t, applied(f.applyChanges(position{era: 2, revision: 9}, &Changes{Era: 2, Revision: 10, Config: newConfig(7)}, uptime)))
	age, _ = f.ProofAge()
	assert.Equal(t, age, time.Duration(0))

	assert.NilError(t, applied(f.applyChanges(f.currentPosition(), &Changes{Era: 3, Revision: 11}, uptime)))
	assert.NilError(t, f.applySnapshot(f.currentPosition(), &Snapshot{Era: 3, Config: newConfig(7), Revision: 9}, uptime))
	provenAt = uptime
	uptime += restoreSettleTime / 2
	assert.NilError(t, applied(f.applyChanges(f.currentPosition(), &Changes{Era: 3, Revision: 9}, uptime)))
	age, _ = f.ProofAge()
	assert.Equal(t, age, uptime-provenAt, "the source may still lack a newer version")
}

// A process that starts after a restore cannot tell when that was, unless a peer says
// so.
func TestProcessThatStartsAfterARestoreAsksAPeerForItsAge(t *testing.T) {
	uptime := 100 * time.Second
	f := newIdleFollower(&uptime)
	assert.NilError(t, f.applySnapshot(position{}, &Snapshot{Era: 4, Config: newConfig(7), Revision: 10}, uptime))
	_, ok := f.ProofAge()
	assert.Assert(t, !ok)

	earlier := uptime - time.Minute
	peer := newIdleFollower(&earlier)
	assert.NilError(t, peer.applySnapshot(position{}, &Snapshot{Era: 4, Config: newConfig(7), Revision: 9}, earlier))
	peer.uptime = f.uptime
	assert.NilError(t, applied(peer.applyChanges(peer.currentPosition(), &Changes{Era: 4, Revision: 10}, uptime)))
	reply, err := peer.Published(t.Context(), f.newQuestion())
	assert.NilError(t, err)
	assert.NilError(t, f.applyReply(reply, uptime, "peer"))
	assert.NilError(t, applied(f.applyChanges(f.currentPosition(), &Changes{Era: 4, Revision: 10}, uptime)))
	age, ok := f.ProofAge()
	assert.Assert(t, ok && age == 0)
}

// A peer that has not heard of the restore yet has nothing to say about the servers or
// the freshness of the configuration, but a newer configuration is used in any case.
func TestReplyOfAnOlderEraProvesNothing(t *testing.T) {
	uptime := 100 * time.Second
	behind, ahead := newIdleFollower(&uptime), newIdleFollower(&uptime)
	server := backends.Server{ID: "old", Service: "s", Address: "127.0.0.1:1", Slots: 1}
	assert.NilError(t, behind.applySnapshot(position{}, &Snapshot{Era: 0, Config: newConfig(9), Servers: []backends.Server{server}, Revision: 50}, uptime))
	assert.NilError(t, ahead.applySnapshot(position{}, &Snapshot{Era: 2, Config: newConfig(7), Revision: 10}, uptime))
	reply, err := behind.Published(t.Context(), ahead.newQuestion())
	assert.NilError(t, err)
	assert.NilError(t, ahead.applyReply(reply, uptime, "peer"))
	assert.Equal(t, ahead.Table().Version(), int64(9))
	_, ok := ahead.ProofAge()
	assert.Assert(t, !ok)
	assert.Equal(t, len(ahead.directory.Servers()), 0)
	assert.Equal(t, ahead.currentPosition(), position{era: 2, revision: 10})
}

// A reader in whose directory the grace of a server ends does not get a new revision.
// Those that depend on it must learn of the removal all the same.
func TestEndOfAGraceReachesDependents(t *testing.T) {
	uptime := 100 * time.Second
	reader, dependent := newIdleFollower(&uptime), newIdleFollower(&uptime)
	server := backends.Server{ID: "a", Service: "s", Address: "127.0.0.1:1", Slots: 1}
	other := backends.Server{ID: "b", Service: "s", Address: "127.0.0.1:2", Slots: 1}
	assert.NilError(t, reader.applySnapshot(position{}, &Snapshot{Config: newConfig(7), Servers: []backends.Server{server, other}, Revision: 10}, uptime))
	ask := func() {
		reply, err := reader.Published(t.Context(), dependent.newQuestion())
		assert.NilError(t, err)
		assert.NilError(t, dependent.applyReply(reply, uptime, "reader"))
	}
	ask()
	assert.Equal(t, len(dependent.directory.Servers()), 2)
	now := time.Now()
	reader.directory.Remove("a", time.Second, now)
	ask()
	assert.Equal(t, len(dependent.directory.Servers()), 2)
	reader.directory.Expire(now.Add(2 * time.Second))
	ask()
	assert.Equal(t, len(dependent.directory.Servers()), 1)
}

// A store may begin to count its eras at zero or at one. A process that saw the first restore, or
// started after it, took what the store published for proved, and accepted a revoked key.
func TestFirstRestoreProvesNothingUntilItHasSettled(t *testing.T) {
	uptime := 10 * time.Second
	f := newIdleFollower(&uptime)
	assert.NilError(t, f.applySnapshot(position{}, &Snapshot{Era: 0, Config: newConfig(7), Revision: 10}, uptime))
	uptime += time.Second
	assert.NilError(t, f.applySnapshot(f.at, &Snapshot{Era: 1, Config: newConfig(7), Revision: 8}, uptime))
	age, _ := f.ProofAge()
	assert.Equal(t, age, time.Second, "the restore may have lost a newer version")
	uptime += restoreSettleTime
	assert.NilError(t, applied(f.applyChanges(f.at, &Changes{Era: 1, Revision: 9}, uptime)))
	age, _ = f.ProofAge()
	assert.Equal(t, age, time.Duration(0))

	started := newIdleFollower(&uptime)
	assert.NilError(t, started.applySnapshot(position{}, &Snapshot{Era: 1, Config: newConfig(7), Revision: 9}, uptime))
	_, ok := started.ProofAge()
	assert.Assert(t, !ok, "a process that starts cannot tell whether the store was restored just before")
}
