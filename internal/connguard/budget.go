package connguard

import "sync"

// Budget counts the bytes that connections hold together. It is safe for concurrent use.
type Budget struct {
	mu          sync.Mutex
	limit, held int64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// SetLimit replaces the limit. What is held already stays.
func (b *Budget) SetLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// Reserve adds n bytes and reports whether they may be used. If not, nothing is added.
func (b *Budget) Reserve(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held+n > b.limit {
		return false
	}
	b.held += n
	return true
}

// Release takes n bytes back.
func (b *Budget) Release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= n
}

// Held returns the number of bytes that are reserved.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}
