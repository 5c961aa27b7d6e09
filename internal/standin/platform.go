// Package standin simulates the systems outside of the daemons for tests and
// the demo: the platform, a model engine, a group of engine ranks, and a plain
// service. It implements the interfaces of docs/INTERFACE.md and is not part of
// a release.
package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"bluebellwind.example/internal/platform"
)

// Platform simulates the configuration service and the instance list. Besides
// the interface that the daemons read, it accepts writes of an operator under
// /operator.
type Platform struct {
	mu        sync.Mutex
	values    map[string]platform.Value
	instances platform.InstanceList
	// oddInstances are JSON texts that are served with the instances.
	oddInstances []string
	changed      chan struct{}
	down         bool
	reads        int
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{values: map[string]platform.Value{}, changed: make(chan struct{})}
}

// Publish sets a value and returns its new revision.
func (p *Platform) Publish(key, value string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := platform.Value{Revision: p.values[key].Revision + 1, Value: value}
	p.values[key] = v
	p.notifyWatches()
	return v.Revision
}

// Restore sets a value with an old revision, like a service that was restored
// from a backup.
func (p *Platform) Restore(key string, v platform.Value) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.values[key] = v
	p.notifyWatches()
}

// AddToInstances adds JSON texts to the served instance list, as another writer may.
func (p *Platform) AddToInstances(elements ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.oddInstances = append(p.oddInstances, elements...)
}

// instanceList returns the served instance list. The caller holds mu.
func (p *Platform) instanceList() json.RawMessage {
	var elements []string
	for _, instance := range p.instances.Instances {
		text, err := json.Marshal(instance)
		if err != nil {
			panic(err) // Cannot happen: each instance has a JSON form.
		}
		elements = append(elements, string(text))
	}
	elements = append(append([]string{}, p.oddInstances...), elements...)
	return json.RawMessage(fmt.Sprintf(`{"revision":%d,"instances":[%s]}`, p.instances.Revision, strings.Join(elements, ",")))
}

// SetInstances sets the instance list.
func (p *Platform) SetInstances(list []platform.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = platform.InstanceList{Revision: p.instances.Revision + 1, Instances: list}
	p.notifyWatches()
}

// SetDown makes all reads fail with status 503, or ends this fault.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.notifyWatches()
}

// Reads returns the number of reads so far, including watches.
func (p *Platform) Reads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

func (p *Platform) notifyWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Handler serves the platform.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/config/{key}", func(w http.ResponseWriter, r *http.Request) {
		key := r.PathValue("key")
		p.serveRead(w, r, func() (any, int64, bool) {
			v, ok := p.values[key]
			return v, v.Revision, ok
		})
	})
	mux.HandleFunc("GET /v1/instances", func(w http.ResponseWriter, r *http.Request) {
		p.serveRead(w, r, func() (any, int64, bool) { return p.instanceList(), p.instances.Revision, true })
	})
	mux.HandleFunc("PUT /operator/config/{key}", func(w http.ResponseWriter, r *http.Request) {
		body, err := readBody(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, map[string]int64{"revision": p.Publish(r.PathValue("key"), string(body))})
	})
	mux.HandleFunc("PUT /operator/instances", func(w http.ResponseWriter, r *http.Request) {
		var list []platform.Instance
		if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.SetInstances(list)
	})
	return mux
}

// serveRead serves a read or a watch. It calls read with mu held.
func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request, read func() (any, int64, bool)) {
	afterRevision, watch := watchRevision(r)
	ctx, cancel := context.WithTimeout(r.Context(), watchTimeout(r))
	defer cancel()
	p.countRead()
	for {
		value, revision, ok, down, changed := p.read(read)
		if down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if ok && (!watch || revision != afterRevision) {
			writeJSON(w, value)
			return
		}
		if !watch {
			http.NotFound(w, r)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			if !ok {
				http.NotFound(w, r)
				return
			}
			writeJSON(w, value)
			return
		}
	}
}

func (p *Platform) read(read func() (any, int64, bool)) (value any, revision int64, ok, down bool, changed chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	value, revision, ok = read()
	return value, revision, ok, p.down, p.changed
}

func (p *Platform) countRead() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
}

func watchRevision(r *http.Request) (afterRevision int64, watch bool) {
	text := r.URL.Query().Get("after")
	if text == "" {
		return 0, false
	}
	afterRevision, err := strconv.ParseInt(text, 10, 64)
	return afterRevision, err == nil
}

func watchTimeout(r *http.Request) time.Duration {
	d, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		return time.Second
	}
	return min(d, time.Minute)
}
