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

// Handler serves the control interface of one rank. A connection belongs to the
// engine process that it first reached and ends with it.
func (g *RankGroup) Handler(rank int) http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, do func(r *standinRank, w http.ResponseWriter, req *http.Request)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, req *http.Request) {
			if g.cfg.OnOrder != nil && req.Method == http.MethodPost {
				g.cfg.OnOrder(rank, req.URL.Path)
			}
			g.mu.Lock()
			defer g.mu.Unlock()
			r := g.ranks[rank]
			if r.gone(req.RemoteAddr) {
				panic(http.ErrAbortHandler)
			}
			do(r, w, req)
		})
	}
	handle("GET /status", func(r *standinRank, w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, rankctl.FromStatus(r.register.Status()))
	})
	handle("POST /arm", g.arm)
	handle("POST /confirm", onAttempt((*mapswitch.Register).Confirm))
	handle("POST /release", onAttempt((*mapswitch.Register).Release))
	handle("GET /windows", sendWindows)
	handle("PUT /maps/{id}", g.load(rank))
	handle("GET /maps/{id}", func(r *standinRank, w http.ResponseWriter, req *http.Request) {
		encoded, ok := r.encoded[req.PathValue("id")]
		if !ok {
			http.NotFound(w, req)
			return
		}
		_, _ = w.Write(encoded) // The reader may be gone.
	})
	return mux
}

// gone says whether the connection belongs to an earlier engine process.
func (r *standinRank) gone(remote string) bool {
	if r.bound[remote] == 0 {
		r.bound[remote] = r.process
	}
	return r.bound[remote] != r.process
}

func (g *RankGroup) arm(r *standinRank, w http.ResponseWriter, req *http.Request) {
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
	if g.cfg.ObeyAtOnce {
		r.register.Confirm(order.Attempt)
	}
	w.WriteHeader(http.StatusNoContent)
}

func onAttempt(do func(*mapswitch.Register, mapswitch.Attempt)) func(*standinRank, http.ResponseWriter, *http.Request) {
	return func(r *standinRank, w http.ResponseWriter, req *http.Request) {
		var a rankctl.Attempt
		if err := json.NewDecoder(req.Body).Decode(&a); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		do(r.register, mapswitch.Attempt(a))
		w.WriteHeader(http.StatusNoContent)
	}
}

func sendWindows(r *standinRank, w http.ResponseWriter, req *http.Request) {
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

// load takes a map in and counts the experts that the rank did not hold in any
// map before.
func (g *RankGroup) load(rank int) func(*standinRank, http.ResponseWriter, *http.Request) {
	return func(r *standinRank, w http.ResponseWriter, req *http.Request) {
		body, err := readAll(req)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		m, err := expertmap.ParseMap(body)
		if err != nil || m.Label() != req.PathValue("id") || m.Ranks != g.cfg.Ranks || m.Layers != g.cfg.Layers || m.Experts != g.cfg.Experts {
			http.Error(w, "not a map of this group", http.StatusBadRequest)
			return
		}
		r.loaded += r.missing(m, rank)
		r.keep(m, body)
		w.WriteHeader(http.StatusNoContent)
	}
}

// keep adds a map and drops those that are not needed any more.
func (r *standinRank) keep(m *expertmap.Map, encoded []byte) {
	label := m.Label()
	r.order = append(slices.DeleteFunc(r.order, func(id string) bool { return id == label }), label)
	r.maps[label], r.encoded[label] = m, encoded
	s := r.register.Status()
	needed := slices.Clone(r.order[max(0, len(r.order)-mapsKept):])
	needed = append(needed, string(s.InUse.Map))
	if s.Hold != nil {
		needed = append(needed, string(s.Hold.Label.Map))
	}
	r.order = slices.DeleteFunc(r.order, func(id string) bool {
		if slices.Contains(needed, id) {
			return false
		}
		delete(r.maps, id)
		delete(r.encoded, id)
		return true
	})
}

func (r *standinRank) missing(m *expertmap.Map, rank int) int {
	type place struct {
		layer  int
		expert uint16
	}
	held := map[place]bool{}
	each := func(m *expertmap.Map, do func(place)) {
		for l := range m.Layers {
			for _, c := range m.Layer(l)[rank*m.Slots : (rank+1)*m.Slots] {
				if c.Expert != expertmap.NoExpert {
					do(place{l, c.Expert})
				}
			}
		}
	}
	if using := r.maps[string(r.register.Status().InUse.Map)]; using != nil {
		each(using, func(p place) { held[p] = true })
	}
	n := 0
	each(m, func(p place) {
		if !held[p] {
			n++
		}
	})
	return n
}
