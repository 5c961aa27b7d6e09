package gateway

import (
	"errors"
	"io"
	"slices"
	"sync"
	"time"
)

// MemoryLimits bound what the gateway holds for callers and servers, in bytes.
type MemoryLimits struct {
	// ReadAhead bounds what is read ahead of one caller that reads slowly.
	ReadAhead int64
	// Headers bounds the headers of the requests of all callers together, as they are held.
	Headers int64
	// Total bounds the bodies of requests, buffered responses and what is read ahead, of all
	// callers together.
	Total int64
}

// Defaults of MemoryLimits.
const (
	defaultReadAheadBytes = 256 << 10
	defaultTotalBytes     = 64 << 20
	defaultHeaderMemory   = 64 << 20
)

// maxResponseShare is the share of MemoryLimits.Total that responses may take, so that
// callers that read slowly leave room for the bodies of new requests.
const maxResponseShare = 0.5

// withDefaults replaces limits that are zero.
func (l MemoryLimits) withDefaults() MemoryLimits {
	if l.ReadAhead <= 0 {
		l.ReadAhead = defaultReadAheadBytes
	}
	if l.Headers <= 0 {
		l.Headers = defaultHeaderMemory
	}
	if l.Total <= 0 {
		l.Total = defaultTotalBytes
	}
	return l
}

// memory counts the bytes that are held. It is safe for concurrent use.
type memory struct {
	mu     sync.Mutex
	limits MemoryLimits
	// unbounded grants everything; set by tests only.
	unbounded bool
	// held is the number of bytes held, heldByResponses those of responses, and peak the
	// highest value of held.
	held, heldByResponses, peak int64
	holders                     map[*reservation]struct{}
}

func newMemory(limits MemoryLimits) *memory {
	return &memory{limits: limits.withDefaults(), holders: make(map[*reservation]struct{})}
}

// configure replaces the limits. What is held already stays.
func (m *memory) configure(limits MemoryLimits) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limits = limits.withDefaults()
}

// readAheadLimit returns MemoryLimits.ReadAhead.
func (m *memory) readAheadLimit() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.limits.ReadAhead
}

// usage returns the bytes that are held now, and the most that were held.
func (m *memory) usage() (held, peak int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held, m.peak
}

// reservation is a number of bytes that one request holds. It is safe for concurrent use.
type reservation struct {
	memory *memory
	// response says that the bytes are those of a response.
	response bool
	// until is when the bytes are released at the latest; zero if that is not known.
	until time.Time
	bytes int64
}

// reserve returns an empty reservation.
func (m *memory) reserve(response bool, until time.Time) *reservation {
	return &reservation{memory: m, response: response, until: until}
}

// grow adds n bytes to the reservation and reports whether they may be used. If not, the
// reservation is unchanged.
func (r *reservation) grow(n int64) bool {
	m := r.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.unbounded {
		full := m.held+n > m.limits.Total
		if r.response {
			full = full || m.heldByResponses+n > int64(maxResponseShare*float64(m.limits.Total))
		}
		if full {
			return false
		}
	}
	m.add(r, n)
	return true
}

// shrink releases n bytes.
func (r *reservation) shrink(n int64) {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.memory.add(r, -n)
}

// release releases all bytes.
func (r *reservation) release() {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.memory.add(r, -r.bytes)
}

// add changes a reservation by n bytes. The caller holds the lock.
func (m *memory) add(r *reservation, n int64) {
	if n == 0 {
		return
	}
	r.bytes += n
	m.held += n
	m.peak = max(m.peak, m.held)
	if r.response {
		m.heldByResponses += n
	}
	if r.bytes == 0 {
		delete(m.holders, r)
	} else {
		m.holders[r] = struct{}{}
	}
}

// availableAt returns when a body of n bytes has room at the latest, if nothing else is
// held until then. ok is false if that is not known.
func (m *memory) availableAt(n int64) (at time.Time, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	missing := m.held + n - m.limits.Total
	if n > m.limits.Total {
		return time.Time{}, false
	}
	var known []*reservation
	for r := range m.holders {
		if !r.until.IsZero() {
			known = append(known, r)
		}
	}
	slices.SortFunc(known, func(a, b *reservation) int { return a.until.Compare(b.until) })
	for _, r := range known {
		if missing -= r.bytes; missing <= 0 {
			return r.until, true
		}
	}
	return time.Time{}, false
}

// buffer collects bytes whose memory is reserved before it is allocated.
type buffer struct {
	reservation *reservation
	bytes       []byte
}

// minBufferBytes is the size with which a buffer starts if the final size is not known.
const minBufferBytes = 4 << 10

// makeRoom makes room for at least one more byte. expected is the final size, -1 if it is
// not known; a large buffer grows towards it, as the bytes may never come. It returns false
// if there is no memory.
func (b *buffer) makeRoom(expected int64) bool {
	size := int64(cap(b.bytes))
	if int64(len(b.bytes)) < size {
		return true
	}
	grown := max(2*size, minBufferBytes)
	if expected > size {
		grown = min(max(grown, maxExactBytes), expected)
	}
	if !b.reservation.grow(grown - size) {
		return false
	}
	b.bytes = append(make([]byte, 0, grown), b.bytes...)
	return true
}

// maxExactBytes is the size up to which a buffer of known size is allocated at once.
const maxExactBytes = 64 << 10

// readFrom reads from source until its end, up to limit bytes or as long as there is memory.
// It returns whether the end was reached.
func (b *buffer) readFrom(source io.Reader, expected int64, limit int) (whole bool, err error) {
	for {
		if len(b.bytes) >= limit {
			return false, nil
		}
		if int64(len(b.bytes)) == expected {
			// The next read returns the end without a byte.
			var extra [1]byte
			n, err := source.Read(extra[:])
			if n > 0 || err == nil {
				return false, errors.New("gateway: a body is longer than stated")
			}
			if errors.Is(err, io.EOF) {
				return true, nil
			}
			return false, err
		}
		if !b.makeRoom(expected) {
			return false, nil
		}
		n, err := source.Read(b.bytes[len(b.bytes):min(cap(b.bytes), limit)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
}
