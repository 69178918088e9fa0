package faker

import (
	"fmt"
	"time"

	"primrosehook/driver"
)

// Violation is one moment at which an engine's memory was overcommitted.
type Violation struct {
	At time.Time `json:"at"`
	// Engine and Boot say which life of which engine.
	Engine string `json:"engine"`
	Boot   string `json:"boot"`
	// Why names the change that led to it.
	Why string `json:"why"`
	// Weights, Reserve and Total are in MB.
	Weights int64 `json:"weights"`
	Reserve int64 `json:"reserve"`
	Total   int64 `json:"total"`
}

// memory accounts for an engine's accelerator memory. Weights count from the
// moment a load begins to the moment an unload has ended. The rest must leave
// room for the reserve, from which requests in flight, cached prefixes and
// imported KV cache are taken.
type memory struct {
	total   int64
	reserve int64
	// target is the reserve after a role change under way, else zero.
	target    int64
	residents map[driver.Weights]driver.LoadedWeights
	// flight and cached are in KB.
	flight int64
	cached int64
}

// held returns the reserve that must be kept free for the worst case, in MB:
// while a role changes, both the old and the new reserve must fit.
func (m *memory) held() int64 { return max(m.reserve, m.target) }

// weights returns what the residents take, in MB.
func (m *memory) weights() int64 {
	sum := int64(0)
	for _, r := range m.residents {
		sum += r.MemoryMB
	}
	return sum
}

// used returns all memory in use, in MB.
func (m *memory) used() int64 { return m.weights() + m.inReserve() }

func (m *memory) inReserve() int64 { return (m.flight + m.cached + kbInMB - 1) / kbInMB }

// room returns what requests may still take, in KB. While a role changes, the
// smaller reserve counts.
func (m *memory) room() int64 {
	reserve := m.reserve
	if m.target > 0 {
		reserve = min(reserve, m.target)
	}
	return reserve*kbInMB - m.flight - m.cached
}

// overcommitted tells why the memory is overcommitted, or returns "".
func (m *memory) overcommitted() string {
	need := m.weights() + max(m.held(), m.inReserve())
	if need <= m.total {
		return ""
	}
	return fmt.Sprintf("%d MB needed of %d MB", need, m.total)
}
