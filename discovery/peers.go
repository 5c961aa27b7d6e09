package discovery

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"bluebellwind.example/backends"
	"bluebellwind.example/discovery/discoverypb"
	"bluebellwind.example/ingress"
	"bluebellwind.example/internal/clock"
	"bluebellwind.example/internal/nettimeout"
)

const (
	// peerAge is the age of the own proof from which peers are asked.
	peerAge = 2 * time.Second
	// peerPeriod is the time between two questions to peers.
	peerPeriod = 500 * time.Millisecond
	// peerTimeout bounds one question to a peer.
	peerTimeout = 400 * time.Millisecond
	// maxPeerAge is the greatest age of a proof that a peer hands on: an older
	// one is of little use to the asker.
	maxPeerAge = 4 * time.Second
)

// errNothing says that this process has nothing to hand on.
var errNothing = errors.New("discovery: nothing is known")

// ServePeers answers other gateways on l until ctx ends.
func (f *Follower) ServePeers(ctx context.Context, l net.Listener) error {
	mux := drpcmux.New()
	if err := discoverypb.DRPCRegisterGateways(mux, f); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	return drpcserver.New(mux).Serve(ctx, l)
}

// Published answers a peer with what is in force here and how fresh it is.
func (f *Follower) Published(_ context.Context, q *discoverypb.Question) (*discoverypb.Reply, error) {
	// The proof is looked at first: it must not be younger than what it is of.
	age, ok := f.Age()
	f.state.Lock()
	table, revision := f.table.Load(), f.revision
	servers := f.directory.Published()
	f.state.Unlock()
	if table == nil || !ok || age > maxPeerAge {
		return nil, errNothing
	}
	reply := &discoverypb.Reply{Version: table.Version(), Revision: revision, AgeUs: age.Microseconds()}
	var err error
	if q.KnownVersion < table.Version() {
		if reply.Config, err = encode(table.Config()); err != nil {
			return nil, err
		}
	}
	if q.KnownRevision != revision {
		reply.Servers, err = encode(servers)
	}
	return reply, err
}

// followPeers asks peers while the own source does not answer.
func (f *Follower) followPeers(ctx context.Context) {
	ticker := time.NewTicker(peerPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if age, ok := f.Age(); ok && age < peerAge {
			continue
		}
		addresses := f.peers.All()
		if len(addresses) == 0 {
			continue
		}
		peer := addresses[rand.IntN(len(addresses))]
		if err := f.askPeer(ctx, peer); err != nil {
			f.log.Debug().Str("event", "peer_unanswered").Str("peer", peer).Str("cause", err.Error()).Msg("")
		}
	}
}

// askPeer takes in what one peer knows. Its proof is as old as the peer says,
// and older by the time that the question took.
func (f *Follower) askPeer(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	question := &discoverypb.Question{KnownRevision: f.knownRevision()}
	if t := f.table.Load(); t != nil {
		question.KnownVersion = t.Version()
	}
	sent := clock.Boot()
	raw, err := nettimeout.Dialer(peerTimeout, peerTimeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("discovery: peer: %w", err)
	}
	conn := drpcconn.New(raw)
	defer func() { _ = conn.Close() }() // The answer is here, or an error is.
	reply, err := discoverypb.NewDRPCGatewaysClient(conn).Published(ctx, question)
	if err != nil {
		return fmt.Errorf("discovery: peer: %w", err)
	}
	return f.takeReply(reply, sent, address)
}

func (f *Follower) takeReply(reply *discoverypb.Reply, sent time.Duration, peer string) error {
	f.state.Lock()
	defer f.state.Unlock()
	if len(reply.Config) > 0 {
		config := &ingress.Config{}
		if err := decode(reply.Config, config); err != nil {
			return err
		}
		f.takeConfig(config)
	}
	table := f.table.Load()
	if table == nil || table.Version() != reply.Version {
		return nil // The peer is behind, or its configuration is refused here.
	}
	if err := f.takeServers(reply); err != nil {
		return err
	}
	f.prove(sent - time.Duration(reply.AgeUs)*time.Microsecond)
	f.mu.Lock()
	line := f.log.Debug()
	if f.lost {
		line = f.log.Info()
	}
	f.mu.Unlock()
	line.Str("event", "proof_of_peer").Str("peer", peer).Int64("version", reply.Version).
		Int64("age_ms", reply.AgeUs/1000).Msg("")
	return nil
}

// takeServers takes a peer's servers in if they are newer. The state is locked.
func (f *Follower) takeServers(reply *discoverypb.Reply) error {
	if reply.Revision <= f.revision || len(reply.Servers) == 0 {
		return nil
	}
	var servers []backends.Server
	if err := decode(reply.Servers, &servers); err != nil {
		return err
	}
	for _, id := range f.directory.Replace(servers, 0, time.Now()) {
		f.logServer(id, "missing at a peer")
	}
	f.revision = reply.Revision
	return nil
}

func encode(v any) ([]byte, error) {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(v); err != nil {
		return nil, fmt.Errorf("discovery: encode: %w", err)
	}
	return b.Bytes(), nil
}

func decode(b []byte, into any) error {
	if err := gob.NewDecoder(bytes.NewReader(b)).Decode(into); err != nil {
		return fmt.Errorf("discovery: decode: %w", err)
	}
	return nil
}
