package server

import (
	"encoding/hex"
	"math/rand/v2"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// randomSource generates ids and random fractions. It is seeded, so that tests
// are reproducible.
type randomSource struct {
	mu   sync.Mutex
	rand *rand.ChaCha8
}

func newRandomSource(seed uint64) *randomSource {
	var key [32]byte
	for i := range 8 {
		key[i] = byte(seed >> (8 * i))
	}
	return &randomSource{rand: rand.NewChaCha8(key)}
}

// id returns 128 random bits as hex digits.
func (s *randomSource) id() string {
	var raw [16]byte
	s.mu.Lock()
	_, _ = s.rand.Read(raw[:])
	s.mu.Unlock()
	return hex.EncodeToString(raw[:])
}

// fraction returns a random number from 0 (inclusive) to 1 (exclusive).
func (s *randomSource) fraction() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(s.rand.Uint64()>>11) / (1 << 53)
}

// seedOf derives the seed of a generation from its request id, so that any
// instance can generate the same answer again. It never returns 0, which means
// that no seed is set.
func seedOf(id string) int64 {
	return int64(xxhash.Sum64String(id)>>1 | 1)
}
