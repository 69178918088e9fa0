package allotter

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// partUnit is the precision of Entitled.Parts.
	partUnit = 1.0 / (1 << 20)
	// sumTolerance is how far the fractions of an entry may add up to more than one for rounding.
	sumTolerance = 1e-3
)

// Entitled are the instances that have an entitlement, as the lease holder writes them into the entries
// of the lease. Whatever these do not name may be assigned to anyone, the rest of the caps included.
type Entitled struct {
	// Addresses are hashes of the instances' addresses.
	Addresses []uint32 `msgpack:"a,omitempty"`
	// Part is the smallest fraction of one. It is the fraction of each if there are no Parts.
	Part float64 `msgpack:"p,omitempty"`
	// Parts are the fractions in units of 1/2^20, rounded down. Builds before formats 6 do not know them.
	Parts []uint32 `msgpack:"f,omitempty"`
}

// add appends an instance, unless its fraction is too small to be told from none. It reports whether
// it did.
func (e *Entitled) add(hash uint32, fraction float64) bool {
	units := uint32(min(fraction, 1) / partUnit)
	if units == 0 {
		return false
	}
	if len(e.Addresses) == 0 {
		e.Part = fraction
	}
	e.Addresses, e.Parts = append(e.Addresses, hash), append(e.Parts, units)
	e.Part = min(e.Part, fraction)
	return true
}

// compact drops the fractions if they are all the same.
func (e *Entitled) compact() {
	if len(e.Parts) > 0 && slices.Min(e.Parts) == slices.Max(e.Parts) {
		e.Parts = nil
	}
}

// fractions returns the fraction of each instance by the hash of its address, nothing if the entry can't
// be right. Instances whose hashes collide are left out.
func (e Entitled) fractions() map[uint32]float64 {
	if len(e.Parts) > 0 && len(e.Parts) != len(e.Addresses) || !(e.Part > 0 && e.Part <= 1) {
		return nil
	}
	fractions, collided, sum := map[uint32]float64{}, []uint32{}, 0.0
	for i, hash := range e.Addresses {
		f := e.Part
		if len(e.Parts) > 0 {
			f = float64(e.Parts[i]) * partUnit
		}
		if _, ok := fractions[hash]; ok {
			collided = append(collided, hash)
		}
		fractions[hash] = f
		sum += f
	}
	if sum > 1+sumTolerance {
		return nil
	}
	for _, hash := range collided {
		delete(fractions, hash)
	}
	return fractions
}

func addressHash(address string) uint32 { return uint32(xxhash.Sum64String(address)) }
