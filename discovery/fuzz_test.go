package discovery

import (
	"context"
	"errors"
	"io"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/backends"
	"bluebellwind.example/discovery/discoverypb"
	"bluebellwind.example/ingress"
	"bluebellwind.example/internal/logging"
	"bluebellwind.example/internal/panics"
)

var testConfig = &ingress.Config{
	Version: 5, Routes: []ingress.Route{{Name: "r", Host: "h", Prefix: "/", Split: []ingress.Share{{Service: "s", Weight: 1}}, MaxAttempts: 1}},
	Services: []ingress.Service{{Name: "s", Engine: &ingress.Engine{Slots: 2, Stride: 1}}},
}

func newFuzzFollower(source Source) *Follower {
	return NewFollower(source, backends.NewDirectory("z", 1), PeerAddresses{}, logging.New(io.Discard, "error"))
}

// A reply of a peer, whatever its fields, must not end the process, and must not date a proof
// into the future: a revoked key would be accepted until then.
func FuzzReplyOfAPeer(f *testing.F) {
	config, err := encode(testConfig)
	assert.NilError(f, err)
	servers, err := encode([]backends.Server{{ID: "a", Service: "s", Address: "127.0.0.1:1", Slots: -3}, {}})
	assert.NilError(f, err)
	f.Add(int64(5), int64(1), int64(1000), int64(0), int64(1000), int64(5), config, servers)
	f.Add(int64(5), int64(1), int64(-1e12), int64(0), int64(0), int64(5), config, servers)
	f.Add(int64(5), int64(math.MaxInt64), int64(math.MaxInt64), int64(math.MaxInt64), int64(math.MinInt64), int64(-1), config, servers[:len(servers)/2])
	f.Add(int64(-5), int64(-1), int64(0), int64(-1), int64(0), int64(0), config[:20], []byte("\xff\xff"))
	f.Fuzz(func(t *testing.T, version, revision, age, era, eraAge, published int64, config, servers []byte) {
		follower := newFuzzFollower(&fakeSource{})
		reply := &discoverypb.Reply{
			Version: version, Revision: revision, AgeUs: age, Era: era, EraAgeUs: eraAge, PublishedVersion: published, Config: config, Servers: servers,
		}
		for range 2 {
			_ = follower.applyReply(reply, follower.uptime(), "peer") // Most replies are refused.
		}
		if age, ok := follower.ProofAge(); ok && age < 0 {
			t.Fatalf("the proof is %v old", age)
		}
		_, _ = follower.Published(context.Background(), &discoverypb.Question{})
		pickFromAll(follower)
	})
}

// pickFromAll uses whatever a follower has been told.
func pickFromAll(f *Follower) {
	table := f.Table()
	if table == nil {
		return
	}
	for _, s := range f.directory.Servers() {
		choice, err := f.directory.Pick(backends.PickRequest{
			Service: table.Service(s.Service), ServiceName: s.Service, PromptTokens: 10, GatewayCount: 3, StartObjective: time.Second,
		}, time.Now())
		if err == nil {
			choice.Release()
		}
	}
	f.directory.Expire(time.Now().Add(time.Hour))
}

// A proof with a negative age stayed fresh long after the source was gone.
func TestReplyWithANegativeAgeProvesNothing(t *testing.T) {
	config, err := encode(testConfig)
	assert.NilError(t, err)
	f := newFuzzFollower(&fakeSource{})
	assert.ErrorContains(t, f.applyReply(&discoverypb.Reply{Format: replyFormat, Version: 5, Revision: 1, Config: config, AgeUs: -time.Hour.Microseconds()}, f.uptime(), "peer"), "age")
	_, ok := f.ProofAge()
	assert.Assert(t, !ok)
	assert.NilError(t, f.applyReply(&discoverypb.Reply{Format: replyFormat, Version: 5, Revision: 1, Config: config, AgeUs: 1000}, f.uptime(), "peer"))
	age, ok := f.ProofAge()
	assert.Assert(t, ok && age >= time.Millisecond, "%v", age)
}

// panickingSource panics at each call.
type panickingSource struct{ fakeSource }

func (*panickingSource) Read(context.Context) (*Snapshot, error) { panic("cannot read this") }

// A panic while a response of the source was read or applied ended the process.
func TestPanicOfTheSourceIsAFailedCall(t *testing.T) {
	f := newFuzzFollower(&panickingSource{})
	_, err := f.pollSource(t.Context())
	var caught *panics.Error
	assert.Assert(t, errors.As(err, &caught), "%v", err)
}
