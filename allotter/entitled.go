package allotter

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Entitled are the instances that have an entitlement, as the lease holder writes them into the entries
// of the lease. After the loss of all instances the next holder knows by it what the processes had
// that have ended, and need not wait for Term.
type Entitled struct {
	// Addresses are hashes of their addresses, Part is the smallest fraction of one.
	Addresses []uint32 `msgpack:"a,omitempty"`
	Part      float64  `msgpack:"p,omitempty"`
}

// part returns the least fraction that the instance at an address had.
func (e Entitled) part(address string) float64 {
	if !(e.Part > 0 && e.Part <= 1) || !slices.Contains(e.Addresses, addressHash(address)) {
		return 0
	}
	return e.Part
}

func addressHash(address string) uint32 { return uint32(xxhash.Sum64String(address)) }
