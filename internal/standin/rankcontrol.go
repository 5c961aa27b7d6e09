package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"

	"bluebellwind.example/expertmap"
	"bluebellwind.example/internal/rankctl"
	"bluebellwind.example/mapswitch"
)

// RankHandler serves the control interface of one rank. A connection belongs to
// the engine process that it first reached, and is aborted when another process
// has replaced that one.
func (g *RankGroup) RankHandler(rank int) http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, do func(r *simulatedRank, w http.ResponseWriter, req *http.Request)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, req *http.Request) {
			if g.cfg.OnOrder != nil && req.Method == http.MethodPost {
				g.cfg.OnOrder(rank, req.URL.Path)
			}
			g.mu.Lock()
			defer g.mu.Unlock()
			r := g.ranks[rank]
			if r.fromEarlierProcess(req.RemoteAddr) {
				panic(http.ErrAbortHandler)
			}
			do(r, w, req)
		})
	}
	handle("GET /status", func(r *simulatedRank, w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, rankctl.FromStatus(r.register.Status()))
	})
	handle("POST /arm", g.serveArm)
	handle("POST /confirm", attemptHandler((*mapswitch.Register).Confirm))
	handle("POST /release", attemptHandler((*mapswitch.Register).Release))
	handle("GET /windows", serveWindows)
	handle("PUT /maps/{id}", g.loadMap(rank))
	handle("GET /maps/{id}", func(r *simulatedRank, w http.ResponseWriter, req *http.Request) {
		encoded, ok := r.encodedMaps[req.PathValue("id")]
		if !ok {
			http.NotFound(w, req)
			return
		}
		_, _ = w.Write(encoded) // An error means that the caller has disconnected.
	})
	return mux
}

// fromEarlierProcess reports whether the connection belongs to an earlier
// engine process. It assigns a new connection to the current process.
func (r *simulatedRank) fromEarlierProcess(remote string) bool {
	if r.connectionProcess[remote] == 0 {
		r.connectionProcess[remote] = r.process
	}
	return r.connectionProcess[remote] != r.process
}

func (g *RankGroup) serveArm(r *simulatedRank, w http.ResponseWriter, req *http.Request) {
	var o rankctl.ArmOrder
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	order := o.Native()
	needed := []mapswitch.MapID{order.Label.Map}
	if order.Join != nil && !order.Join.InUse.IsZero() {
		needed = append(needed, order.Join.InUse.Map)
	}
	for _, id := range needed {
		if r.maps[string(id)] == nil {
			http.Error(w, "the map is not loaded", http.StatusConflict)
			return
		}
	}
	r.register.Arm(order)
	if g.cfg.SkipConfirmation {
		r.register.Confirm(order.Attempt)
	}
	w.WriteHeader(http.StatusNoContent)
}

func attemptHandler(do func(*mapswitch.Register, mapswitch.Attempt)) func(*simulatedRank, http.ResponseWriter, *http.Request) {
	return func(r *simulatedRank, w http.ResponseWriter, req *http.Request) {
		var a rankctl.Attempt
		if err := json.NewDecoder(req.Body).Decode(&a); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		do(r.register, mapswitch.Attempt(a))
		w.WriteHeader(http.StatusNoContent)
	}
}

func serveWindows(r *simulatedRank, w http.ResponseWriter, req *http.Request) {
	after, err := strconv.ParseUint(req.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	out := []rankctl.Window{}
	for _, window := range r.windows {
		if window.Number > after {
			out = append(out, window)
		}
	}
	writeJSON(w, out)
}

// loadMap stores a map and counts the experts that the rank does not hold under
// the map in use.
func (g *RankGroup) loadMap(rank int) func(*simulatedRank, http.ResponseWriter, *http.Request) {
	return func(r *simulatedRank, w http.ResponseWriter, req *http.Request) {
		body, err := readBody(req)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		m, err := expertmap.ParseMap(body)
		if err != nil || m.Label() != req.PathValue("id") || m.Ranks != g.cfg.Ranks || m.Layers != g.cfg.Layers || m.Experts != g.cfg.Experts {
			http.Error(w, "the map is invalid or belongs to another group", http.StatusBadRequest)
			return
		}
		r.loadedExperts += r.countMissingExperts(m, rank)
		r.storeMap(m, body)
		w.WriteHeader(http.StatusNoContent)
	}
}

// storeMap adds a map and deletes those that are no longer needed.
func (r *simulatedRank) storeMap(m *expertmap.Map, encoded []byte) {
	label := m.Label()
	r.loadOrder = append(slices.DeleteFunc(r.loadOrder, func(id string) bool { return id == label }), label)
	r.maps[label], r.encodedMaps[label] = m, encoded
	s := r.register.Status()
	needed := slices.Clone(r.loadOrder[max(0, len(r.loadOrder)-extraMapsKept):])
	needed = append(needed, string(s.InUse.Map))
	if s.Hold != nil {
		needed = append(needed, string(s.Hold.Label.Map))
	}
	r.loadOrder = slices.DeleteFunc(r.loadOrder, func(id string) bool {
		if slices.Contains(needed, id) {
			return false
		}
		delete(r.maps, id)
		delete(r.encodedMaps, id)
		return true
	})
}

func (r *simulatedRank) countMissingExperts(m *expertmap.Map, rank int) int {
	type layerExpert struct {
		layer  int
		expert uint16
	}
	present := map[layerExpert]bool{}
	forEachExpert := func(m *expertmap.Map, do func(layerExpert)) {
		for l := range m.Layers {
			for _, c := range m.Layer(l)[rank*m.Slots : (rank+1)*m.Slots] {
				if c.Expert != expertmap.NoExpert {
					do(layerExpert{l, c.Expert})
				}
			}
		}
	}
	if mapInUse := r.maps[string(r.register.Status().InUse.Map)]; mapInUse != nil {
		forEachExpert(mapInUse, func(p layerExpert) { present[p] = true })
	}
	n := 0
	forEachExpert(m, func(p layerExpert) {
		if !present[p] {
			n++
		}
	})
	return n
}
