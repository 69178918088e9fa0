package pinner

import "time"

const (
	// pinTTL is how long a pin is kept: longer than clients go on with one stream, their
	// tries included.
	pinTTL = 90 * time.Second
	// maxPins bounds the pins of a table. Beyond it the oldest are dropped.
	maxPins = 1 << 16
)

// Software names the software of a server.
type Software struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by reflection
	Service  string
	Build    string
}

// Origin is what began a stream.
type Origin struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by reflection
	Software
	// Process is the hash of the server's incarnation if the build is only known from its
	// registration, which may have been out of date; zero if it is known for certain.
	Process uint64
}

// Pin says that the stream of a request, given by the hash of its ID, was begun by a process
// of a software, given by its index in a list.
type Pin struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by reflection
	ID       uint64
	Software int
	Process  uint64
}

// Table holds pins for pinTTL each. It does no I/O and is not safe for concurrent use.
type Table struct {
	pins map[uint64]pinned
	// order are the pins by age, the oldest first.
	order []orderedPin
}

type pinned struct {
	software *Software
	process  uint64
	at       time.Time
	// ambiguous is set if several builds were pinned.
	ambiguous bool
}

type orderedPin struct {
	id uint64
	at time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{pins: map[uint64]pinned{}} }

// Len returns the number of pins.
func (t *Table) Len() int { return len(t.pins) }

// Put pins a stream to what began it, and reports whether that is new. A stream that is
// pinned to two builds has none that is known.
func (t *Table) Put(now time.Time, id uint64, software *Software, process uint64) bool {
	t.expire(now)
	old, ok := t.pins[id]
	switch {
	case ok && old.ambiguous:
		return false
	case ok && *old.software == *software:
		if process == 0 {
			old.process = 0
			t.pins[id] = old
		}
		return false
	}
	t.pins[id] = pinned{software: software, process: process, at: now, ambiguous: ok}
	t.order = append(t.order, orderedPin{id, now})
	return true
}

// Get returns what began a stream and when it was pinned. Known is set if the stream is
// pinned, sure if it is pinned to one build.
func (t *Table) Get(now time.Time, id uint64) (o Origin, at time.Time, known, sure bool) {
	t.expire(now)
	p, known := t.pins[id]
	if !known || p.ambiguous {
		return Origin{}, time.Time{}, known, false
	}
	return Origin{Software: *p.software, Process: p.process}, p.at, true, true
}

// All returns the pins and the list of software that they refer to.
func (t *Table) All(now time.Time) ([]Software, []Pin) {
	t.expire(now)
	b := newBatch()
	for id, p := range t.pins {
		if !p.ambiguous {
			b.add(id, *p.software, p.process)
		}
	}
	return b.software, b.pins
}

// expire drops the pins that are too old, and the oldest beyond maxPins.
func (t *Table) expire(now time.Time) {
	n := 0
	for n < len(t.order) && (now.Sub(t.order[n].at) >= pinTTL || len(t.order)-n > maxPins) {
		if p, ok := t.pins[t.order[n].id]; ok && p.at.Equal(t.order[n].at) {
			delete(t.pins, t.order[n].id)
		}
		n++
	}
	t.order = t.order[n:]
}

// batch collects pins, and each software once.
type batch struct {
	software []Software
	pins     []Pin
	indexes  map[Software]int
}

func newBatch() *batch { return &batch{indexes: map[Software]int{}} }

func (b *batch) add(id uint64, software Software, process uint64) {
	i, ok := b.indexes[software]
	if !ok {
		i = len(b.software)
		b.indexes[software] = i
		b.software = append(b.software, software)
	}
	b.pins = append(b.pins, Pin{ID: id, Software: i, Process: process})
}
