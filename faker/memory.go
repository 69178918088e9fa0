package faker

import (
	"fmt"
	"time"

	"primrosehook/driver"
)

// Violation records that an engine's memory was overcommitted.
type Violation struct {
	At time.Time `json:"at"`
	// Boot identifies the engine's boot.
	Engine string `json:"engine"`
	Boot   string `json:"boot"`
	// Why names the change that caused it.
	Why string `json:"why"`
	// Weights, Reserve and Total are in MB.
	Weights int64 `json:"weights"`
	Reserve int64 `json:"reserve"`
	Total   int64 `json:"total"`
}

// memory accounts for an engine's accelerator memory. Weights count from the
// start of their load to the end of their unload. The rest must have room for
// the reserve, which holds in-flight requests, cached prefixes and imported KV
// cache.
type memory struct {
	total   int64
	reserve int64
	// nextReserve is the reserve after the current role change, or zero if there
	// is none. total, reserve and nextReserve are in MB.
	nextReserve int64
	residents   map[driver.Weights]driver.LoadedWeights
	// inFlight and cached are what requests and cached prefixes take, in KB.
	inFlight int64
	cached   int64
}

// requiredReserve returns the reserve that must fit, in MB. During a role
// change it is the larger of the old and the new reserve.
func (m *memory) requiredReserve() int64 { return max(m.reserve, m.nextReserve) }

// weights returns the memory that weights take, in MB.
func (m *memory) weights() int64 {
	sum := int64(0)
	for _, r := range m.residents {
		sum += r.MemoryMB
	}
	return sum
}

// used returns all memory in use, in MB.
func (m *memory) used() int64 { return m.weights() + m.usedReserve() }

func (m *memory) usedReserve() int64 { return (m.inFlight + m.cached + kbPerMB - 1) / kbPerMB }

// freeReserve returns the unused part of the reserve, in KB. During a role
// change it is that of the smaller of the old and the new reserve.
func (m *memory) freeReserve() int64 {
	reserve := m.reserve
	if m.nextReserve > 0 {
		reserve = min(reserve, m.nextReserve)
	}
	return reserve*kbPerMB - m.inFlight - m.cached
}

// overcommitted describes how the memory is overcommitted, or returns "" if it
// is not.
func (m *memory) overcommitted() string {
	need := m.weights() + max(m.requiredReserve(), m.usedReserve())
	if need <= m.total {
		return ""
	}
	return fmt.Sprintf("%d MB needed of %d MB", need, m.total)
}
