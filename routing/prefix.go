package routing

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxServersPerBlock bounds the number of servers stored for one block.
	maxServersPerBlock = 8
	// maxHints bounds the number of hints returned for one request.
	maxHints = 8
	// probabilityHalfLife is the time after which the estimated probability
	// that a server still holds a block has halved.
	probabilityHalfLife = 2 * time.Minute
	// gapProbabilityFactor scales the probability when cache events of the
	// server were lost after the block was stored.
	gapProbabilityFactor = 0.5
	// minHintProbability is the lowest probability for which a hint is
	// returned.
	minHintProbability = 0.05
)

// BlockHash is the hash of a prompt from its start to the end of one block.
type BlockHash uint64

// HashBlocks appends the hashes of all complete blocks of the prompt to dst.
// Each hash covers the prompt from its start to the end of the block. The salt
// keeps the hashes of different organisations and models distinct. blockBytes
// must be positive.
func HashBlocks(dst []BlockHash, salt uint64, prompt []byte, blockBytes int) []BlockHash {
	digest := xxhash.New()
	var saltBytes [8]byte
	binary.LittleEndian.PutUint64(saltBytes[:], salt)
	_, _ = digest.Write(saltBytes[:])
	for len(prompt) >= blockBytes {
		_, _ = digest.Write(prompt[:blockBytes])
		prompt = prompt[blockBytes:]
		dst = append(dst, BlockHash(digest.Sum64()))
	}
	return dst
}

// blockHolder is a server that held a block at storedAt.
type blockHolder struct {
	server   string
	storedAt time.Time
}

// PrefixIndex records which servers may hold which prompt blocks. Its answers
// are only hints, because cache events, in which servers report the blocks that
// they stored or evicted, arrive late and some are lost. Its memory is bounded
// by keeping two generations of blocks: when the newer one is full, the older
// one is dropped. It is safe for concurrent use.
type PrefixIndex struct {
	mu        sync.Mutex
	rng       *rand.Rand
	maxBlocks int
	newer     map[BlockHash][]blockHolder
	older     map[BlockHash][]blockHolder
	// lastGap maps servers to the time of the last RecordGap.
	lastGap map[string]time.Time
}

// NewPrefixIndex returns an empty index for at most 2*maxBlocks blocks. Entries
// must use different seeds, so that they record different servers for a prefix
// that more than maxServersPerBlock servers hold.
func NewPrefixIndex(maxBlocks int, seed uint64) *PrefixIndex {
	return &PrefixIndex{
		rng:       rand.New(rand.NewPCG(seed, 1)),
		maxBlocks: max(1, maxBlocks),
		newer:     make(map[BlockHash][]blockHolder),
		lastGap:   make(map[string]time.Time),
	}
}

// RecordStored records that the server held the blocks at now, either because
// it reported so or because a request with these blocks was sent to it.
func (x *PrefixIndex) RecordStored(server string, blocks []BlockHash, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, b := range blocks {
		x.addHolder(b, blockHolder{server: server, storedAt: now})
	}
}

// addHolder records h for block b. When the list of b is full, h replaces a
// random holder.
func (x *PrefixIndex) addHolder(b BlockHash, h blockHolder) {
	holders := x.promote(b)
	for i := range holders {
		if holders[i].server == h.server {
			holders[i] = h
			return
		}
	}
	if len(holders) >= maxServersPerBlock {
		holders[x.rng.IntN(len(holders))] = h
		return
	}
	x.newer[b] = append(holders, h)
}

// promote moves block b to the newer generation if it is in the older one, and
// returns its holders. It starts a new generation when the newer one is full.
func (x *PrefixIndex) promote(b BlockHash) []blockHolder {
	if holders, ok := x.newer[b]; ok {
		return holders
	}
	if len(x.newer) >= x.maxBlocks {
		x.older = x.newer
		x.newer = make(map[BlockHash][]blockHolder)
	}
	holders, ok := x.older[b]
	if ok {
		delete(x.older, b)
		x.newer[b] = holders
	}
	return holders
}

// RecordEvicted records that the server evicted the blocks from its cache.
func (x *PrefixIndex) RecordEvicted(server string, blocks []BlockHash) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, b := range blocks {
		removeHolder(x.newer, b, server)
		removeHolder(x.older, b, server)
	}
}

func removeHolder(generation map[BlockHash][]blockHolder, b BlockHash, server string) {
	holders := generation[b]
	for i := range holders {
		if holders[i].server != server {
			continue
		}
		holders[i] = holders[len(holders)-1]
		generation[b] = holders[:len(holders)-1]
		return
	}
}

// RecordGap records that cache events of the server were lost before now.
// Blocks recorded for it earlier get a lower probability.
func (x *PrefixIndex) RecordGap(server string, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lastGap[server] = now
}

// Forget deletes the recorded event gap of a server that has left the fleet.
func (x *PrefixIndex) Forget(server string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.lastGap, server)
}

// Hints appends to dst the servers that may hold a prefix of the blocks,
// longest prefix first. Each block stands for blockTokens tokens.
func (x *PrefixIndex) Hints(dst []Hint, blocks []BlockHash, blockTokens int, now time.Time) []Hint {
	x.mu.Lock()
	defer x.mu.Unlock()
	for i := len(blocks) - 1; i >= 0; i-- {
		holders, ok := x.newer[blocks[i]]
		if !ok {
			holders = x.older[blocks[i]]
		}
		for _, h := range holders {
			probability := x.probability(h, now)
			if probability < minHintProbability || hasHint(dst, h.server) {
				continue
			}
			dst = append(dst, Hint{Server: h.server, Tokens: (i + 1) * blockTokens, Probability: probability})
			if len(dst) == maxHints {
				return dst
			}
		}
	}
	return dst
}

// probability estimates the probability that h still holds the block.
func (x *PrefixIndex) probability(h blockHolder, now time.Time) float64 {
	age := max(0, now.Sub(h.storedAt).Seconds())
	p := math.Exp2(-age / probabilityHalfLife.Seconds())
	if x.lastGap[h.server].After(h.storedAt) {
		p *= gapProbabilityFactor
	}
	return p
}

func hasHint(hints []Hint, server string) bool {
	for i := range hints {
		if hints[i].Server == server {
			return true
		}
	}
	return false
}
