package rig

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// Group is a stand-in of a group of model servers without requests. It is safe for
// concurrent use.
type Group struct {
	Name  string
	Ranks []*ModelServer

	mu    sync.Mutex
	epoch int
	open  bool
}

// ModelServer is a stand-in of one model server, which is a rank of a group once the
// platform has formed it.
type ModelServer struct {
	ID, Address string

	group  *Group
	rank   int
	record *Record
	server *http.Server
	// formed says that the server has been told of its group since its start.
	formed bool
	down   bool
	born   int64
}

// StartGroup starts the servers of a group, which is open.
func StartGroup(r *Record, name string, ids []string) (*Group, error) {
	g := &Group{Name: name, epoch: 1, open: true}
	for i, id := range ids {
		s := &ModelServer{ID: id, group: g, rank: i, record: r, formed: true}
		if err := s.listen("127.0.0.1:0"); err != nil {
			return nil, err
		}
		g.Ranks = append(g.Ranks, s)
	}
	return g, nil
}

// listen begins a new incarnation of the server.
func (s *ModelServer) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.Address, s.born, s.server = l.Addr().String(), time.Now().UnixMilli(), &http.Server{Handler: s}
	server := s.server
	go func() { _ = server.Serve(l) }() // Serves until the incarnation ends.
	return nil
}

// Crash ends the incarnations of some ranks: their connections are closed, and the group is
// broken.
func (g *Group) Crash(ranks ...*ModelServer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = false
	for _, s := range ranks {
		s.down, s.formed = true, false
		s.record.Logf("model server %s (rank %d of %s) crashes", s.ID, s.rank, g.Name)
		_ = s.server.Close() // The incarnation ends in any case.
	}
}

// Restart starts crashed ranks again. The group opens after formTime, in a new epoch. known
// says that the servers know their group from the start; otherwise they learn it as it
// opens.
func (g *Group) Restart(formTime time.Duration, known bool, ranks ...*ModelServer) error {
	g.mu.Lock()
	for _, s := range ranks {
		if err := s.listen(s.Address); err != nil {
			g.mu.Unlock()
			return err
		}
		s.down, s.formed = false, known
		s.record.Logf("model server %s is back, and knows its group: %v", s.ID, known)
	}
	g.mu.Unlock()
	time.Sleep(formTime)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.epoch++
	g.open = true
	for _, s := range ranks {
		s.formed = true
	}
	ranks[0].record.Logf("group %s is open in epoch %d", g.Name, g.epoch)
	return nil
}

// ServeHTTP implements http.Handler.
func (s *ModelServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g := s.group
	g.mu.Lock()
	defer g.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	var body any
	switch {
	case r.URL.Path == "/bluebellwind/report":
		body = s.report()
	case r.URL.Path == "/bluebellwind/picked" && r.URL.Query().Has("lists"):
		body = map[string]any{"epoch": g.epoch, "map": map[string]any{"version": 0, "experts": s.initialExperts()}}
	case r.URL.Path == "/bluebellwind/picked":
		body = map[string]any{"step": 0, "epoch": g.epoch, "counts": make([]int, Sets*Experts)}
	default:
		w.WriteHeader(http.StatusConflict)
		return
	}
	_ = json.NewEncoder(w).Encode(body) // Fails only if the caller has left.
}

// report returns the body of the server's report. Without a group it has just the fields of
// the example in PROTOCOL.md. The caller holds the lock.
func (s *ModelServer) report() map[string]any {
	m := map[string]any{
		"stage": "hybrid", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": 0,
		"waiting": 0, "running": 0, "kv_used": 0, "kv_total": 372000, "handles": 0, "born": s.born,
	}
	if !s.formed {
		return m
	}
	state := "broken"
	if s.group.open {
		state = "open"
	}
	m["group"] = map[string]any{"name": s.group.Name, "epoch": s.group.epoch, "rank": s.rank, "state": state}
	m["size"], m["pace"], m["step"], m["map"], m["prepared"], m["held"] = len(s.group.Ranks), 1.0, 0, 0, 0, 0
	m["armed"] = map[string]any{"version": 0, "step": 0}
	return m
}

// initialExperts returns the experts that the rank holds in map 0.
func (s *ModelServer) initialExperts() [][]int {
	out := make([][]int, Sets)
	for set := range out {
		for e := s.rank; e < Experts; e += len(s.group.Ranks) {
			out[set] = append(out[set], e)
		}
	}
	return out
}

// Sets and Experts are the dimensions of the maps.
const (
	Sets    = 6
	Experts = 64
)

// ModelService returns the entry of a service of model servers in the configuration.
func ModelService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_connections": 258, "engine": map[string]any{
		"slots": 12, "kv_capacity_tokens": 372000, "kv_bytes": 96256, "link_mbps": 92000.0, "stride": 5,
		"models": []any{map[string]any{"name": "m"}}, "step_ms": 5.85, "per_seq_ms": 0.355, "context_per_k": 0.036,
		"read_per_s": 61200.0, "chunk": 512, "report_lag_ms": 200.0, "usual": map[string]any{"prompt": 835, "answer": 139},
		"sets": Sets, "experts": Experts, "places": 11, "spare": 4, "expert_mb": 580.0, "expert_share": 0.85, "form_ms": 600.0,
	}}
}
