package logging

import "sync"

// maxOnce bounds the number of texts that a Once remembers.
const maxOnce = 256

// Once tells which texts, such as the keys of items that cannot be decoded, were logged
// before. It is safe for concurrent use; the zero value remembers none.
type Once struct {
	mu   sync.Mutex
	seen map[string]bool
}

// First reports whether text is new, and remembers it. It returns false once maxOnce texts
// are remembered, so that a log stays bounded whatever others write.
func (o *Once) First(text string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.seen[text] || len(o.seen) >= maxOnce {
		return false
	}
	if o.seen == nil {
		o.seen = make(map[string]bool)
	}
	o.seen[text] = true
	return true
}
