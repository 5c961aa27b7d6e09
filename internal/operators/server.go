// Package operators implements the Operator service of one instance, which the
// operators' client calls. It changes no state that instances share.
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

// Options configure a Server. Servers, Limits and Trace may be nil; the replies
// then hold no such data.
type Options struct {
	Name        string
	Incarnation uint64
	Peering     *peering.Peering
	// Drain marks the process as leaving and starts its drain. It must not block
	// and may be called more than once.
	Drain func()
	// Active returns the number of requests in flight, and Draining whether the
	// process is draining.
	Active   func() int
	Draining func() bool
	Servers  func(now time.Time) []*operatorpb.Server
	Limits   func() []*operatorpb.Limit
	Trace    *trace.Ring
}

// Server implements the Operator service. It is safe for concurrent use.
type Server struct {
	opts Options

	mu     sync.Mutex
	listed []platform.Instance
}

// NewServer returns a Server with the given options.
func NewServer(opts Options) *Server { return &Server{opts: opts} }

// Handler returns the drpc handler for peers with the operator role.
func (s *Server) Handler() (drpc.Handler, error) {
	mux := drpcmux.New()
	return mux, operatorpb.DRPCRegisterOperator(mux, s)
}

// SetInstanceList replaces the platform's instance list.
func (s *Server) SetInstanceList(list platform.InstanceList) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed = list.Instances
}

// Self implements the Operator service.
func (s *Server) Self(context.Context, *operatorpb.SelfRequest) (*operatorpb.Instance, error) {
	for _, status := range s.opts.Peering.Node.RolloutStatus() {
		if status.Instance.ID == s.opts.Name {
			inst := fromMembership(status.Instance)
			inst.Rules = rulesStatus(status)
			inst.Leaving = s.opts.Draining()
			return inst, nil
		}
	}
	return nil, verdict.Refuse(verdict.Internal, verdict.NotRun, "the instance does not know itself")
}

// Fleet implements the Operator service.
func (s *Server) Fleet(context.Context, *operatorpb.FleetRequest) (*operatorpb.FleetReply, error) {
	reply := &operatorpb.FleetReply{AnsweredBy: s.opts.Name, Instances: s.instances()}
	if s.opts.Servers != nil {
		reply.Servers = s.opts.Servers(time.Now())
	}
	if s.opts.Limits != nil {
		reply.Limits = s.opts.Limits()
	}
	return reply, nil
}

// drainReplyDelay is the time between the end of the call and the start of the
// drain, in which the reply is transmitted to the operator.
const drainReplyDelay = time.Second

// Drain implements the Operator service. The drain starts after a delay, because
// an idle process exits immediately and would close the connection before the
// reply has reached the operator.
func (s *Server) Drain(ctx context.Context, r *operatorpb.DrainRequest) (*operatorpb.DrainReply, error) {
	if r.GetName() != s.opts.Name || r.GetIncarnation() != s.opts.Incarnation {
		return nil, verdict.Refuse(verdict.InvalidRequest, verdict.NotRun, "another instance has taken this place")
	}
	reply := &operatorpb.DrainReply{Already: s.opts.Draining(), Active: uint32(s.opts.Active())}
	context.AfterFunc(ctx, func() { time.AfterFunc(drainReplyDelay, s.opts.Drain) })
	return reply, nil
}

// Trace implements the Operator service.
func (s *Server) Trace(_ context.Context, r *operatorpb.TraceRequest) (*operatorpb.TraceReply, error) {
	reply := &operatorpb.TraceReply{AnsweredBy: s.opts.Name}
	if s.opts.Trace != nil {
		reply.Events = s.opts.Trace.Events(r.GetRequestId())
	}
	return reply, nil
}

// instances returns the instances that the membership knows, with their reported
// rules, and then those that only the platform's list contains.
func (s *Server) instances() []*operatorpb.Instance {
	byName := map[string]*operatorpb.Instance{}
	var out []*operatorpb.Instance
	for _, inst := range s.opts.Peering.Node.Alive() {
		byName[inst.ID] = fromMembership(inst)
		out = append(out, byName[inst.ID])
	}
	for _, status := range s.opts.Peering.Node.RolloutStatus() {
		if inst := byName[status.Instance.ID]; inst != nil && inst.GetIncarnation() == status.Instance.Incarnation {
			inst.Rules = rulesStatus(status)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, listed := range s.listed {
		if byName[listed.Name] == nil {
			out = append(out, fromInstanceList(listed))
		}
	}
	return out
}

// fromMembership converts an instance of the membership.
func fromMembership(inst membership.Instance) *operatorpb.Instance {
	role := roleEntry
	if inst.Role == membership.Agent {
		role = roleAgent
	}
	return &operatorpb.Instance{
		Name: inst.ID, Zone: inst.Zone, Region: inst.Region, Role: role, Address: string(inst.Addr),
		Incarnation: inst.Incarnation, Leaving: inst.Leaving, Heard: true,
	}
}

// Roles in replies to operators.
const (
	roleEntry = "entry"
	roleAgent = "agent"
)

// fromInstanceList converts an instance of the platform's list.
func fromInstanceList(listed platform.Instance) *operatorpb.Instance {
	role := roleEntry
	if listed.Role == platform.RoleServer {
		role = roleAgent
	}
	return &operatorpb.Instance{
		Name: listed.Name, Zone: listed.Zone, Region: listed.Region, Role: role, Address: listed.Address, Leaving: listed.Leaving,
	}
}

// rulesStatus returns the state of the rules at an instance.
func rulesStatus(s membership.InstanceStatus) *operatorpb.Rules {
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
