package reserver

import "errors"

// ErrIncomplete ends the reading of a stream for whose event or line there is no memory.
var ErrIncomplete = errors.New("no memory for the rest of an event")

// incompleteWeight is what a byte is charged: the buffer is held twice while it grows.
const incompleteWeight = 3

// Incomplete charges the event or line of a stream that has arrived in part, once it is large: few are,
// but a server in trouble may send one without end on each of its streams. It has a reservation for each
// one, since one that has asked for memory in turn stays the oldest until it is released. It is not safe
// for concurrent use.
type Incomplete struct {
	memory  *Reserver
	held    *Reservation
	charged int64
}

// NewIncomplete returns an Incomplete that holds nothing. Without a budget everything fits.
func NewIncomplete(memory *Reserver) *Incomplete { return &Incomplete{memory: memory} }

// Fits charges n bytes that have arrived of an event. It reports false if they don't fit; it does not
// wait, which would make a server look silent.
func (i *Incomplete) Fits(n int) bool {
	if n <= SmallBytes || i.memory == nil {
		i.Release()
		return true
	}
	if i.held == nil {
		i.held, _ = i.memory.Acquire(Stream, 0) // nothing always fits
	}
	for i.charged < int64(n)*incompleteWeight {
		more := max(i.charged, SmallBytes*incompleteWeight)
		if ok, _ := i.held.GrowInTurn(more); !ok {
			return false
		}
		i.charged += more
	}
	return true
}

// Release frees what is held.
func (i *Incomplete) Release() {
	i.held.Release()
	i.held, i.charged = nil, 0
}
