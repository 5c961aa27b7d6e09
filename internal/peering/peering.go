// Package peering runs the membership protocol of one instance: it exchanges
// messages with peers over drpc and reads the rules and the instance list from
// the platform.
package peering

import (
	"context"
	"fmt"
	"time"

	"storj.io/drpc/drpcmux"

	"bluebellwind.example/internal/config"
	"bluebellwind.example/internal/platform"
	"bluebellwind.example/internal/rpc"
	"bluebellwind.example/membership"
	"bluebellwind.example/membership/membershippb"
)

// Peering runs the membership of one instance. It is safe for concurrent use.
type Peering struct {
	Node  *membership.Node
	Store *membership.Store

	platform       *platform.Client
	rulesKey       string
	seeds          []membership.Instance
	onInstanceList func(platform.InstanceList)
	onError        func(source string, err error)
}

// Options configure a Peering.
type Options struct {
	Settings *config.Settings
	Role     membership.Role
	// Address is the IP:port at which peers reach this instance.
	Address     string
	Incarnation uint64
	Pool        *rpc.Pool
	// Validate returns an error for invalid rules, which are then not applied.
	Validate func(text []byte) error
	// OnInstanceList, which may be nil, is called with every instance list that was
	// read.
	OnInstanceList func(platform.InstanceList)
	// OnError is called when the platform cannot be read; source is "instances" or
	// "rules".
	OnError func(source string, err error)
}

// New returns a Peering. Run starts it.
func New(o Options) (*Peering, error) {
	s := o.Settings
	store := membership.NewStore(o.Validate)
	seeds := make([]membership.Instance, 0, len(s.Seeds))
	for _, address := range s.Seeds {
		seeds = append(seeds, membership.Instance{Addr: membership.Address(address)})
	}
	node, err := membership.New(membership.Options{
		Self: membership.Instance{
			ID:          s.Name,
			Addr:        membership.Address(o.Address),
			Zone:        s.Zone,
			Region:      s.Region,
			Role:        o.Role,
			Incarnation: o.Incarnation,
		},
		Seeds:      seeds,
		Exchanger:  exchanger{o.Pool},
		Store:      store,
		RandomSeed: o.Incarnation,
		Timing:     membership.Timing{JoinTimeout: s.JoinTimeout.Std()},
	})
	if err != nil {
		return nil, fmt.Errorf("peering: %w", err)
	}
	return &Peering{
		Node:           node,
		Store:          store,
		platform:       platform.NewClient(s.Platform.URL),
		rulesKey:       s.Platform.RulesKey,
		seeds:          seeds,
		onInstanceList: o.OnInstanceList,
		onError:        o.OnError,
	}, nil
}

// Register adds the Peer service to mux.
func (p *Peering) Register(mux *drpcmux.Mux) error {
	return membershippb.DRPCRegisterPeer(mux, p)
}

// Exchange implements the Peer service.
func (p *Peering) Exchange(ctx context.Context, m *membershippb.Message) (*membershippb.Message, error) {
	return p.Node.HandleExchange(ctx, m)
}

// Run starts the membership protocol and the reads of the platform, which end
// with ctx. It does not block.
func (p *Peering) Run(ctx context.Context) {
	go func() { _ = p.Node.Run(ctx) }()
	go func() { _ = p.Node.RunReader(ctx, rulesSource{p}) }()
	go p.pollInstances(ctx)
}

// exchanger sends membership messages to peers over drpc.
type exchanger struct{ pool *rpc.Pool }

// Exchange implements membership.Exchanger.
func (x exchanger) Exchange(ctx context.Context, peer membership.Address, m *membershippb.Message) (*membershippb.Message, error) {
	return membershippb.NewDRPCPeerClient(x.pool.Get(ctx, string(peer))).Exchange(ctx, m)
}

// rulesSource reads the rules from the configuration service.
type rulesSource struct{ p *Peering }

// Fetch implements membership.ConfigSource.
func (s rulesSource) Fetch(ctx context.Context) (membership.Revision, error) {
	v, err := s.p.platform.Fetch(ctx, s.p.rulesKey)
	return s.revision(v, err)
}

// Watch implements membership.ConfigSource.
func (s rulesSource) Watch(ctx context.Context, after int64) (membership.Revision, error) {
	v, err := s.p.platform.Watch(ctx, s.p.rulesKey, after)
	return s.revision(v, err)
}

func (s rulesSource) revision(v platform.Value, err error) (membership.Revision, error) {
	if err != nil {
		s.p.onError("rules", err)
		return membership.Revision{}, err
	}
	return membership.NewRevision(v.Revision, []byte(v.Value)), nil
}

// The mean delay between reads of the instance list grows with the number of
// instances, so that all instances together make at most about 100 reads a second
// at any fleet size.
const (
	pollDelayPerInstance = 10 * time.Millisecond
	minMeanPollDelay     = time.Second
	// readTimeout bounds one read of the instance list.
	readTimeout = 5 * time.Second
)
