package membership

import (
	"bytes"
	"cmp"
	"compress/flate"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Revision is one version of the rules file. It is immutable.
type Revision struct {
	// Number increases with every change that an operator publishes, starting
	// at 1; 0 means that there is no revision.
	Number int64
	// Digest is the xxHash64 of Text.
	Digest uint64
	Text   []byte
}

// NewRevision returns a revision with the given number and text, and the digest
// of the text.
func NewRevision(number int64, text []byte) Revision {
	return Revision{Number: number, Digest: xxhash.Sum64(text), Text: text}
}

// Compare orders revisions by number and, if two texts have the same number, by
// digest. All instances therefore settle on the same one.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Number, other.Number), cmp.Compare(r.Digest, other.Digest))
}

// RevisionOrigin identifies where an instance received a revision from.
type RevisionOrigin string

// The origins of a revision.
const (
	FromService RevisionOrigin = "configuration service"
	FromPeer    RevisionOrigin = "peer"
)

// Outcome is the result of Store.Offer.
type Outcome uint8

// The outcomes of Store.Offer.
const (
	// Accepted means that the revision became the current one.
	Accepted Outcome = iota + 1
	// Unchanged means that the revision was the current one already.
	Unchanged
	// Stale means that the revision is older than the current one and is
	// ignored.
	Stale
	// Refused means that the revision is invalid; the current one is kept.
	Refused
)

// Refusal identifies a refused revision and gives the reason.
type Refusal struct {
	Number int64
	Digest uint64
	Reason string
}

// RevisionStatus is the state of a Store that the rollout command displays for
// an instance.
type RevisionStatus struct {
	Number int64
	Digest uint64
	// Refused is the newest refused revision, if it is newer than the current
	// one.
	Refused Refusal
	// Conflict is set if two different texts with the number of the current
	// revision were seen.
	Conflict bool
	// StaleNumber is the last number below the current one that the
	// configuration service returned; 0 once the service has caught up.
	StaleNumber int64
}

// Store holds the current revision of one instance. A revision only replaces one
// that is lower in the order of Compare. It is safe for concurrent use.
type Store struct {
	validate func([]byte) error
	current  atomic.Pointer[Revision]

	mu      sync.Mutex
	status  RevisionStatus
	changed chan struct{}
	// acceptOlderRevisions disables the order check. Tests set it to check that
	// they fail without it.
	acceptOlderRevisions bool
}

// NewStore returns a store without a current revision. It calls validate with
// each new text, one call at a time; the error becomes the reason of the
// refusal.
func NewStore(validate func(text []byte) error) *Store {
	s := &Store{validate: validate, changed: make(chan struct{})}
	s.current.Store(&Revision{})
	return s
}

// Current returns the current revision; its number is 0 if there is none. A
// request should call it once and use the result throughout, so that it sees a
// single revision.
func (s *Store) Current() Revision { return *s.current.Load() }

// Changed returns a channel that is closed when the current revision or the
// status next changes. Call it before reading the state to miss no change.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Status returns the status for the rollout command.
func (s *Store) Status() RevisionStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status
}

// Offer makes r the current revision if it is newer than the current one and
// valid. The error is nil unless the outcome is Refused.
func (s *Store) Offer(r Revision, from RevisionOrigin) (Outcome, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := *s.current.Load()
	statusBefore := s.status
	outcome, err := s.applyOffer(current, r, from)
	if outcome == Accepted || s.status != statusBefore {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return outcome, err
}

// applyOffer implements Offer, without the notification. The caller holds s.mu.
func (s *Store) applyOffer(current, r Revision, from RevisionOrigin) (Outcome, error) {
	if r.Number <= 0 {
		return Stale, nil
	}
	if from == FromService {
		s.status.StaleNumber = 0
		if r.Number < current.Number {
			s.status.StaleNumber = r.Number
		}
	}
	if r.Number == current.Number && r.Digest != current.Digest {
		s.status.Conflict = true
	}
	order := r.Compare(current)
	if order == 0 {
		return Unchanged, nil
	}
	if order < 0 && !s.acceptOlderRevisions {
		return Stale, nil
	}
	if xxhash.Sum64(r.Text) != r.Digest {
		return Refused, fmt.Errorf("revision %d: the digest does not match the text", r.Number)
	}
	if s.alreadyRefused(r) {
		return Refused, fmt.Errorf("revision %d: %s", r.Number, s.status.Refused.Reason)
	}
	if err := s.checkText(r); err != nil {
		s.recordRefusal(r, err)
		return Refused, fmt.Errorf("revision %d: %w", r.Number, err)
	}
	s.setCurrent(current, r)
	return Accepted, nil
}

// checkText returns an error if the text is too long or fails validation.
func (s *Store) checkText(r Revision) error {
	if len(r.Text) > MaxTextBytes {
		return fmt.Errorf("%d bytes, more than %d", len(r.Text), MaxTextBytes)
	}
	return s.validate(r.Text)
}

// recordRefusal saves the refusal of r in the status, unless a newer one is
// recorded. The caller holds s.mu.
func (s *Store) recordRefusal(r Revision, err error) {
	if r.Compare(Revision{Number: s.status.Refused.Number, Digest: s.status.Refused.Digest}) > 0 {
		s.status.Refused = Refusal{Number: r.Number, Digest: r.Digest, Reason: err.Error()}
	}
}

// setCurrent replaces the current revision. It is the only method that does. The
// caller holds s.mu.
func (s *Store) setCurrent(current, r Revision) {
	s.current.Store(&r)
	s.status.Number, s.status.Digest = r.Number, r.Digest
	if r.Number != current.Number {
		s.status.Conflict = false
	}
	refused := Revision{Number: s.status.Refused.Number, Digest: s.status.Refused.Digest}
	if r.Compare(refused) > 0 {
		s.status.Refused = Refusal{}
	}
}

// alreadyRefused reports whether r is the newest refused revision. The caller
// holds s.mu.
func (s *Store) alreadyRefused(r Revision) bool {
	return s.status.Refused.Number == r.Number && s.status.Refused.Digest == r.Digest
}

// needsText reports whether to request the text of a revision that a peer
// announced: it must be newer than the current one and not refused before.
func (s *Store) needsText(number int64, digest uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	announced := Revision{Number: number, Digest: digest}
	if s.alreadyRefused(announced) {
		return false
	}
	return s.acceptOlderRevisions || announced.Compare(*s.current.Load()) > 0
}

// checkConflict sets the conflict status if an announced revision has the number
// of the current one but another digest.
func (s *Store) checkConflict(number int64, digest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.current.Load()
	if number != current.Number || digest == current.Digest || s.status.Conflict {
		return
	}
	s.status.Conflict = true
	close(s.changed)
	s.changed = make(chan struct{})
}

func compress(text []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(text); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func decompress(compressed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(compressed))
	text, err := io.ReadAll(io.LimitReader(r, MaxTextBytes+1))
	if err != nil {
		return nil, fmt.Errorf("membership: text of a revision: %w", err)
	}
	if len(text) > MaxTextBytes {
		return nil, fmt.Errorf("membership: text of a revision is over %d bytes", MaxTextBytes)
	}
	return text, nil
}
