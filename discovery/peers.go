package discovery

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"bluebellwind.example/backends"
	"bluebellwind.example/discovery/discoverypb"
	"bluebellwind.example/ingress"
	"bluebellwind.example/internal/clock"
	"bluebellwind.example/internal/nettimeout"
	"bluebellwind.example/internal/panics"
)

const (
	// peerPollAge is the age of the local freshness proof from which peers are
	// queried.
	peerPollAge = 2 * time.Second
	// peerPollInterval is the time between two queries to peers.
	peerPollInterval = 500 * time.Millisecond
	// peerTimeout bounds one query to a peer, including the connection setup.
	peerTimeout = 400 * time.Millisecond
	// maxServedProofAge is the greatest age of a proof that is served to peers.
	// An older proof is of little use to the querying gateway.
	maxServedProofAge = 4 * time.Second
)

// replyFormat is the format of replies of this build. A build of an older format does not
// know of evacuated zones, and leaves out parts of the configuration, such as the regions
// that a route allows.
const replyFormat = 1

// errOldFormat is returned for the reply of a peer of an older build.
var errOldFormat = errors.New("discovery: the peer's build is too old to depend on")

// errNoFreshState is returned to a peer if this process has no configuration or
// no recent proof to serve. Peers receive and log the text.
var errNoFreshState = errors.New("discovery: nothing is known")

// maxQuestionBytes bounds a message of a peer that is received, in bytes. Questions are a few
// numbers.
const maxQuestionBytes = 4 << 10

// ServePeers serves queries of other gateways on l until ctx ends.
func (f *Follower) ServePeers(ctx context.Context, l net.Listener) error {
	mux := drpcmux.New()
	if err := discoverypb.DRPCRegisterGateways(mux, f); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	reader := drpcwire.ReaderOptions{MaximumBufferSize: maxQuestionBytes}
	return drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: drpcmanager.Options{Reader: reader}}).Serve(ctx, l)
}

// Published implements the Gateways service. It returns the active configuration
// and the servers, as far as the peer does not have them, and the age of the
// proof that the configuration is the newest.
func (f *Follower) Published(_ context.Context, request *discoverypb.Question) (reply *discoverypb.Reply, err error) {
	defer panics.ToError("answering a peer", &err)
	f.queriedAt.Store(int64(f.uptime()))
	// The age is read before the table, so that the proof of a newer table is
	// never returned with an older one.
	age, ok := f.ProofAge()
	state := f.currentState()
	table := state.table
	if table == nil || !ok || age > maxServedProofAge {
		return nil, errNoFreshState
	}
	reply = &discoverypb.Reply{
		Version: table.Version(), Era: state.eras.era, Revision: state.at.revision, AgeUs: age.Microseconds(),
		EraAgeUs: (f.uptime() - state.eras.seenAt).Microseconds(), PublishedVersion: state.published.version,
		Format: replyFormat, Evacuated: state.evacuated,
	}
	if request.KnownVersion < table.Version() {
		if reply.Config, err = encode(table.Config()); err != nil {
			return nil, err
		}
	}
	known := position{era: request.KnownEra, revision: request.KnownRevision}
	if state.at.revision != 0 && (known != state.at || request.KnownMembers != state.members) {
		reply.Servers, err = encode(state.servers)
	}
	return reply, err
}

// state is what a follower knows, all of it of one moment.
type state struct {
	table     *ingress.Table
	at        position
	eras      eraClock
	published publishedConfig
	servers   []backends.Server
	// members is the digest of the IDs of servers.
	members   uint64
	evacuated []*discoverypb.EvacuatedZone
}

func (f *Follower) currentState() state {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	return state{
		table: f.table.Load(), at: f.at, eras: f.eras, published: f.published,
		servers: f.directory.Servers(), members: f.directory.MemberDigest(), evacuated: f.evacuations.encode(),
	}
}

// pollPeers queries a random peer periodically while the local proof is old or
// missing, for example because the source does not respond.
func (f *Follower) pollPeers(ctx context.Context) {
	clock.Every(ctx, peerPollInterval, func(time.Time) { f.pollPeer(ctx) })
}

// pollPeer queries a random peer if the local proof is old or missing.
func (f *Follower) pollPeer(ctx context.Context) {
	if age, ok := f.ProofAge(); ok && age < peerPollAge {
		return
	}
	addresses := f.peers.All()
	if len(addresses) == 0 {
		return
	}
	peer := addresses[rand.IntN(len(addresses))]
	if err := f.queryPeer(ctx, peer); err != nil {
		f.log.Debug().Str("event", "peer_unanswered").Str("peer", peer).Str("cause", err.Error()).Msg("")
	}
}

// queryPeer queries one peer and applies the reply. The proof is dated by the
// time at which the query was sent, minus the age that the peer states, so that
// the duration of the query counts as age.
func (f *Follower) queryPeer(ctx context.Context, address string) (err error) {
	defer panics.ToError("asking a peer", &err)
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	request := f.newQuestion()
	sentAt := f.uptime()
	tcpConn, err := nettimeout.Dialer(peerTimeout, peerTimeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("discovery: connect to peer: %w", err)
	}
	conn := drpcconn.New(tcpConn)
	defer func() { _ = conn.Close() }() // The result of the call is known by then.
	reply, err := discoverypb.NewDRPCGatewaysClient(conn).Published(ctx, request)
	if err != nil {
		return fmt.Errorf("discovery: query peer: %w", err)
	}
	return f.applyReply(reply, sentAt, address)
}

// newQuestion returns a question that states what this process knows.
func (f *Follower) newQuestion() *discoverypb.Question {
	at := f.currentPosition()
	question := &discoverypb.Question{KnownEra: at.era, KnownRevision: at.revision, KnownMembers: f.directory.MemberDigest()}
	if t := f.table.Load(); t != nil {
		question.KnownVersion = t.Version()
	}
	return question
}

// applyReply applies the configuration and the servers of a peer's reply. It
// records the peer's proof if both gateways have the same version of the
// configuration, the peer knows the newest era, and its servers and evacuated zones are
// of a known revision.
func (f *Follower) applyReply(reply *discoverypb.Reply, sentAt time.Duration, peer string) error {
	if err := checkReply(reply); err != nil {
		return err
	}
	if reply.Format < replyFormat {
		return errOldFormat
	}
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	if len(reply.Config) > 0 {
		config := &ingress.Config{}
		if err := decode(reply.Config, config); err != nil {
			return err
		}
		f.applyConfig(config)
	}
	order := f.observeEra(reply.Era, f.uptime()-time.Duration(reply.EraAgeUs)*time.Microsecond)
	table := f.table.Load()
	if order == olderEra || table == nil || table.Version() != reply.Version {
		return nil // The peer has an older version, or its configuration was rejected here.
	}
	provenAt := sentAt - time.Duration(reply.AgeUs)*time.Microsecond
	if err := f.applyServers(reply, provenAt); err != nil {
		return err
	}
	if table.Version() < f.newestVersion || reply.Revision == 0 {
		return nil // A newer configuration was rejected here, or the peer has yet to read its servers and zones.
	}
	if f.zonesAt != (position{era: reply.Era, revision: reply.Revision}) && !f.eras.settled(provenAt) {
		return nil // The peer may know a zone that the source has lost, and that was not taken over.
	}
	f.recordProof(provenAt)
	f.mu.Lock()
	entry := f.log.Debug()
	if f.sourceUnreachable {
		entry = f.log.Info()
	}
	f.mu.Unlock()
	entry.Str("event", "proof_of_peer").Str("peer", peer).Int64("version", reply.Version).
		Int64("age_ms", reply.AgeUs/1000).Msg("")
	return nil
}

// maxReplyAge is the greatest age in a reply: longer than a process runs, and short enough
// for a duration.
const maxReplyAge = 10 * 365 * 24 * time.Hour

// checkReply returns an error if a reply has values that no gateway sends. A negative age
// would date a proof into the future, so that it never became stale.
func checkReply(reply *discoverypb.Reply) error {
	for name, micros := range map[string]int64{"age of the proof": reply.AgeUs, "age of the era": reply.EraAgeUs} {
		if micros < 0 || micros > maxReplyAge.Microseconds() {
			return fmt.Errorf("discovery: reply of a peer: %s: %d us", name, micros)
		}
	}
	if reply.Version < 0 || reply.Revision < 0 || reply.Era < 0 || reply.PublishedVersion < 0 {
		return errors.New("discovery: reply of a peer: negative version, revision or era")
	}
	return nil
}

// applyServers replaces the servers and the evacuated zones by those of a peer of the
// same era, unless the peer's revision is older or not known. At the same revision they
// differ if the grace of a server or of a zone has ended at the peer, or if this process
// has started after a restore. provenAt is the date of the peer's proof. The caller holds
// applyMu.
func (f *Follower) applyServers(reply *discoverypb.Reply, provenAt time.Duration) error {
	if reply.Revision < f.at.revision || reply.Revision == 0 || f.precedesZones(reply) {
		return nil
	}
	var servers []backends.Server
	if len(reply.Servers) > 0 {
		if err := decode(reply.Servers, &servers); err != nil {
			return err
		}
	}
	servers = slices.DeleteFunc(servers, func(s backends.Server) bool {
		err := s.Validate()
		if err != nil && f.unusableServers.First(s.ID) {
			f.log.Warn().Str("event", "server_unreadable").Str("server", fmt.Sprintf("%.128q", s.ID)).Str("cause", err.Error()).Msg("")
		}
		return err != nil
	})
	f.applyPeerZones(reply, provenAt)
	if len(reply.Servers) == 0 {
		return nil
	}
	f.replaceServers(servers, f.restoreGrace(), "missing at a peer")
	f.logZones()
	if reply.PublishedVersion == 0 {
		return nil // Without it, the position would not tell what the source publishes.
	}
	f.at.revision = reply.Revision
	f.published = publishedConfig{version: reply.PublishedVersion}
	return nil
}

// encode encodes v as a gob. A gob names the fields of structs, so the field
// names of ingress.Config and backends.Server are part of the protocol between
// gateways.
func encode(v any) ([]byte, error) {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(v); err != nil {
		return nil, fmt.Errorf("discovery: encode: %w", err)
	}
	return buffer.Bytes(), nil
}

func decode(data []byte, into any) error {
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(into); err != nil {
		return fmt.Errorf("discovery: decode: %w", err)
	}
	return nil
}
