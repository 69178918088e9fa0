package poolmanager

import (
	"slices"
	"time"

	"primrosehook/orderchecker"
)

// PoolStatus is the state of a pool on one instance, for the operator.
type PoolStatus struct {
	Pool string `json:"pool"`
	// Holder and Fence are the lease as last read from the log. Valid is set if
	// this instance has the lease and it has not expired.
	Holder string `json:"holder"`
	Fence  int64  `json:"fence"`
	Valid  bool   `json:"valid"`
	// ReadAt is when the pool's stream was last read.
	ReadAt  time.Time `json:"read_at"`
	Appends int64     `json:"appends"`
	Engines int       `json:"engines"`
	// Reservations are the orders that may still take effect.
	Reservations []orderchecker.Reservation `json:"reservations"`
	// Moves are the newest moves, the last one the newest.
	Moves  []MoveRecord        `json:"moves"`
	Counts orderchecker.Counts `json:"counts"`
}

// Status returns the state of the pools that this instance follows.
func (m *Manager) Status() []PoolStatus {
	now := m.options.clock.Now()
	all := []PoolStatus{}
	for _, p := range m.followed() {
		all = append(all, p.status(now))
	}
	return all
}

func (p *pool) status(now time.Time) PoolStatus {
	f := p.follower.Status()
	s := PoolStatus{Pool: p.name, ReadAt: f.ReadAt, Appends: f.Appends}
	p.withMachine(func(m *orderchecker.Machine) {
		s.Holder, s.Fence = m.Lease().Holder, int64(m.Lease().Fence)
		s.Valid = p.controller.Valid(now)
		s.Engines = len(m.Engines())
		s.Reservations = orderchecker.Reservations(m)
		s.Moves = slices.Clone(p.moves)
		s.Counts = p.controller.Counts()
	})
	return s
}
