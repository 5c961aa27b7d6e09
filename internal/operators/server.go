// Package operators answers the operators' client at one instance. It writes no
// shared state.
package operators

import (
	"context"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"bluebellwind.example/internal/operatorpb"
	"bluebellwind.example/internal/peering"
	"bluebellwind.example/internal/platform"
	"bluebellwind.example/internal/trace"
	"bluebellwind.example/membership"
	"bluebellwind.example/verdict"
)

// Options configure a Server. Functions that are nil give nothing.
type Options struct {
	Name        string
	Incarnation uint64
	Peering     *peering.Peering
	// Drain makes the process leave and drain; it returns at once and may be
	// called again.
	Drain func()
	// Active counts the requests in flight and Draining says whether the
	// process is leaving.
	Active   func() int
	Draining func() bool
	Servers  func(now time.Time) []*operatorpb.Server
	Limits   func() []*operatorpb.Limit
	Trace    *trace.Ring
}

// Server implements the Operator service. It is safe for concurrent use.
type Server struct {
	o Options

	mu     sync.Mutex
	listed []platform.Instance
}

// NewServer returns a server.
func NewServer(o Options) *Server { return &Server{o: o} }

// Handler returns the drpc handler for peers in the operator role.
func (s *Server) Handler() (drpc.Handler, error) {
	mux := drpcmux.New()
	return mux, operatorpb.DRPCRegisterOperator(mux, s)
}

// SetList takes the platform's instance list.
func (s *Server) SetList(list platform.InstanceList) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed = list.Instances
}

// Self implements the Operator service.
func (s *Server) Self(context.Context, *operatorpb.SelfRequest) (*operatorpb.Instance, error) {
	for _, st := range s.o.Peering.Node.Rollout() {
		if st.Instance.ID == s.o.Name {
			in := instanceOf(st.Instance)
			in.Rules = rulesOf(st)
			in.Leaving = s.o.Draining()
			return in, nil
		}
	}
	return nil, verdict.Refuse(verdict.Internal, verdict.NotRun, "the instance does not know itself")
}

// Fleet implements the Operator service.
func (s *Server) Fleet(context.Context, *operatorpb.FleetRequest) (*operatorpb.FleetReply, error) {
	reply := &operatorpb.FleetReply{AnsweredBy: s.o.Name, Instances: s.instances()}
	if s.o.Servers != nil {
		reply.Servers = s.o.Servers(time.Now())
	}
	if s.o.Limits != nil {
		reply.Limits = s.o.Limits()
	}
	return reply, nil
}

// answerTime is how long the answer to a drain may take to its operator.
const answerTime = 150 * time.Millisecond

// Drain implements the Operator service. The drain begins once the answer has
// reached the operator: an idle process ends at once and would cut it off.
func (s *Server) Drain(ctx context.Context, r *operatorpb.DrainRequest) (*operatorpb.DrainReply, error) {
	if r.GetName() != s.o.Name || r.GetIncarnation() != s.o.Incarnation {
		return nil, verdict.Refuse(verdict.InvalidRequest, verdict.NotRun, "another instance has taken this place")
	}
	reply := &operatorpb.DrainReply{Already: s.o.Draining(), Active: uint32(s.o.Active())}
	context.AfterFunc(ctx, func() { time.AfterFunc(answerTime, s.o.Drain) })
	return reply, nil
}

// Trace implements the Operator service.
func (s *Server) Trace(_ context.Context, r *operatorpb.TraceRequest) (*operatorpb.TraceReply, error) {
	reply := &operatorpb.TraceReply{AnsweredBy: s.o.Name}
	if s.o.Trace != nil {
		reply.Events = s.o.Trace.Of(r.GetRequestId())
	}
	return reply, nil
}

// instances joins what instances say of themselves with the platform's list.
func (s *Server) instances() []*operatorpb.Instance {
	byName := map[string]*operatorpb.Instance{}
	var out []*operatorpb.Instance
	for _, in := range s.o.Peering.Node.Alive() {
		byName[in.ID] = instanceOf(in)
		out = append(out, byName[in.ID])
	}
	for _, st := range s.o.Peering.Node.Rollout() {
		if in := byName[st.Instance.ID]; in != nil && in.GetIncarnation() == st.Instance.Incarnation {
			in.Rules = rulesOf(st)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.listed {
		if byName[l.Name] == nil {
			out = append(out, listedOf(l))
		}
	}
	return out
}

func instanceOf(i membership.Instance) *operatorpb.Instance {
	role := roleEntry
	if i.Role == membership.Agent {
		role = roleAgent
	}
	return &operatorpb.Instance{
		Name: i.ID, Zone: i.Zone, Region: i.Region, Role: role, Address: string(i.Addr),
		Incarnation: i.Incarnation, Leaving: i.Leaving, Heard: true,
	}
}

// The roles as operators see them.
const (
	roleEntry = "entry"
	roleAgent = "agent"
)

func listedOf(l platform.Instance) *operatorpb.Instance {
	role := roleEntry
	if l.Role == platform.RoleServer {
		role = roleAgent
	}
	return &operatorpb.Instance{
		Name: l.Name, Zone: l.Zone, Region: l.Region, Role: role, Address: l.Address, Leaving: l.Leaving,
	}
}

func rulesOf(s membership.InstanceStatus) *operatorpb.Rules {
	return &operatorpb.Rules{
		Revision:        s.Number,
		Digest:          s.Digest,
		RefusedRevision: s.Refused.Number,
		RefusedReason:   s.Refused.Reason,
		Conflict:        s.Conflict,
		StaleRevision:   s.StaleNumber,
		SourceFailing:   s.SourceFailing,
		AgeMs:           s.Age.Milliseconds(),
	}
}
