package backends

import (
	"bluebellwind.example/verdict"
)

const (
	// cacheShare is the share of a server's key-value cache that is used: what other
	// gateways have sent since the server's latest status is not known.
	cacheShare = 0.9
	// bytesPerToken estimates the prompt of a request that states no length by its body.
	bytesPerToken = 4
	// maxCountedTokens bounds the numbers of tokens that callers and the configuration state,
	// so that their sums do not overflow.
	maxCountedTokens = 1 << 28
)

// cacheUse is what the requests of this process take of the key-value cache of one server.
type cacheUse struct {
	requests, tokens int
}

// requestTokens returns the tokens that a request takes of a key-value cache: its prompt and
// the answer that is expected.
func (r *PickRequest) requestTokens() int {
	prompt, answer := r.PromptTokens, r.AnswerTokens
	if prompt == 0 {
		prompt = r.BodyBytes / bytesPerToken
	}
	if answer == 0 {
		answer = r.Service.Engine.AnswerTokens
	}
	return min(prompt, maxCountedTokens) + min(max(0, answer), maxCountedTokens)
}

// limitsCache reports whether the configuration states the key-value cache of the servers.
func (r *PickRequest) limitsCache() bool {
	return r.usesEngine() && r.Service.Engine.KVTokens > 0
}

// checkCacheSize returns a refusal of a request that exceeds the cache of every server.
func (d *Directory) checkCacheSize(r *PickRequest) error {
	if !r.limitsCache() || d.noCacheBound || r.requestTokens() <= r.Service.Engine.KVTokens {
		return nil
	}
	return verdict.Refuse(verdict.TooLarge, verdict.NotRun, "the request exceeds the memory of the backend servers")
}

// serversWithFullCache returns the IDs of the servers whose key-value cache has no room for
// the request. A server without any request takes every request that its cache can hold. The
// caller holds the lock.
func (d *Directory) serversWithFullCache(r *PickRequest) []string {
	if !r.limitsCache() || d.noCacheBound {
		return nil
	}
	engine := r.Service.Engine
	limit := int(cacheShare * float64(engine.KVTokens))
	needed := r.requestTokens()
	meanTokens := min(max(0, engine.PromptTokens), maxCountedTokens) + min(max(0, engine.AnswerTokens), maxCountedTokens)
	var full []string
	for id, e := range d.servers {
		if e.Service != r.ServiceName {
			continue
		}
		status := d.statuses[e.Address]
		others := max(0, status.Running+status.Waiting-status.ownRequests)
		held := e.cache.tokens + others*meanTokens
		if held > 0 && held+needed > limit {
			full = append(full, id)
		}
	}
	return full
}

// cacheRefusal returns the refusal of a request for whose tokens no server has room. When
// there is room again is not known.
func cacheRefusal() error {
	return verdict.Refuse(verdict.Overloaded, verdict.NotRun, "the memory of the backend servers is full")
}

// takeCache counts a request to a server and returns the function that takes it back. The
// caller holds the lock, also when it calls that function.
func (e *serverState) takeCache(r *PickRequest) (release func()) {
	tokens := 0
	if r.limitsCache() {
		tokens = r.requestTokens()
	}
	e.cache.requests++
	e.cache.tokens += tokens
	return func() {
		e.cache.requests--
		e.cache.tokens -= tokens
	}
}

// ownRequestsAt returns the number of requests of this process at the server at an address.
// The caller holds the lock.
func (d *Directory) ownRequestsAt(address string) int {
	for _, e := range d.servers {
		if e.Address == address {
			return e.cache.requests
		}
	}
	return 0
}

// HeldTokens returns how many tokens the requests of this process take of the caches of all
// servers whose configuration states them.
func (d *Directory) HeldTokens() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	sum := 0
	for _, e := range d.servers {
		sum += e.cache.tokens
	}
	return sum
}
