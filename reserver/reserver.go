// Package reserver keeps the memory budget of a process. What is held for clients and servers
// is charged before it is allocated, and credited when it is freed.
//
// The budget is divided into rooms, so that large bodies can't take what requests with small
// ones and connections need. A reservation that does not fit is refused. The reservations in
// its way that have made no progress for a while are ended then: whoever holds one releases it
// when told so.
package reserver

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Kind is what memory is held for.
type Kind int

// The kinds.
const (
	// Body is the body of a client's request.
	Body Kind = iota
	// Answer is the body of a server's answer.
	Answer
	// Head is the head of a client's request beyond what a connection has anyway.
	Head
	// Connection is a client's connection with its buffers.
	Connection
	// Detour is a connection to a server that is served for a peer.
	Detour
	// Message is a message of a peer, until it is handled.
	Message
	// Stream is what waits for clients of streams to read it.
	Stream
	// Store is the reply of the platform's store, until it is decoded.
	Store
	// Queue is what waits to be written to peers.
	Queue
	kinds
)

// Kinds returns all kinds.
func Kinds() []Kind {
	return []Kind{Body, Answer, Head, Connection, Detour, Message, Stream, Store, Queue}
}

// String returns the name of the kind in metrics.
func (k Kind) String() string {
	return [kinds]string{"body", "answer", "head", "connection", "detour", "message", "stream", "store", "queue"}[k]
}

const (
	// SmallBytes is the largest body that is charged to the room for small ones.
	SmallBytes = 64 << 10
	// smallShare, connectionShare and messageShare are the parts of the budget for small bodies,
	// for connections, heads and detours, and for messages of peers.
	smallShare, connectionShare, messageShare = 0.25, 0.15, 0.1
	// answerShare is what answers may hold beside the budget, as a part of it. They have a room of
	// their own since the bodies that fill the one for large bodies are freed only once their
	// answers are delivered.
	answerShare = 0.15
	// queueShare is what waits to be written to peers may hold beside the budget, as a part of it. It
	// has a room of its own since it is not refused: the queue to one peer that does not read would
	// otherwise have the messages of all peers refused.
	queueShare = 0.05
	// progressBytes is how much has to arrive to count as progress: 4 KiB within stallTime is
	// what a link of 32 kbit/s carries.
	progressBytes = 4 << 10
	// stallTime is for how long a reservation has made no progress before it may be ended.
	stallTime = time.Second
	// unreadTime is the same for an answer that is sent to its client. It is longer, since such an
	// answer is not repeated; clients of streams have as long.
	unreadTime = 3 * time.Second
)

// The rooms.
const (
	largeRoom = iota
	smallRoom
	connectionRoom
	messageRoom
	answerRoom
	queueRoom
	rooms
)

// room is a part of the budget.
type room struct{ limit, held int64 }

// over returns how much does not fit if n more bytes are held in a room. What answers and queues
// hold beyond their own rooms is missing to large bodies. r.mu must be held.
func (r *Reserver) over(in int, n int64) int64 {
	over := r.rooms[in].held + n - r.rooms[in].limit
	if in == largeRoom {
		for _, beside := range []int{answerRoom, queueRoom} {
			over += max(r.rooms[beside].held-r.rooms[beside].limit, 0)
		}
	}
	return over
}

// Reserver is a memory budget. It is safe for concurrent use.
type Reserver struct {
	clock     clockwork.Clock
	stallTime time.Duration

	mu    sync.Mutex
	rooms [rooms]room
	open  map[*Reservation]struct{}
	held  [kinds]int64
	// refused and ended count reservations by kind.
	refused, ended [kinds]int64
	// turns are the answers that have asked for memory in turn, the oldest first. changed is closed
	// at the next change if waits of them wait for it.
	turns   []*Reservation
	changed chan struct{}
	waits   int
}

// Option sets an option of a Reserver.
type Option func(*Reserver)

// WithClock sets the clock; the default is the real one.
func WithClock(c clockwork.Clock) Option { return func(r *Reserver) { r.clock = c } }

// WithStallTime sets for how long a reservation has made no progress before it may be ended.
func WithStallTime(d time.Duration) Option { return func(r *Reserver) { r.stallTime = d } }

// New returns a budget of a number of bytes.
func New(total int64, options ...Option) *Reserver {
	r := &Reserver{clock: clockwork.NewRealClock(), stallTime: stallTime, open: map[*Reservation]struct{}{}, changed: make(chan struct{})}
	r.Resize(total)
	for _, o := range options {
		o(r)
	}
	return r
}

// Resize changes the size of the budget. Reservations that are held stay.
func (r *Reserver) Resize(total int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	small, connections, messages := int64(smallShare*float64(total)), int64(connectionShare*float64(total)), int64(messageShare*float64(total))
	r.rooms[largeRoom].limit = total - small - connections - messages
	r.rooms[smallRoom].limit = small
	r.rooms[connectionRoom].limit = connections
	r.rooms[messageRoom].limit = messages
	r.rooms[answerRoom].limit = int64(answerShare * float64(total))
	r.rooms[queueRoom].limit = int64(queueShare * float64(total))
	r.announceChange()
}

// Largest returns the size of the largest body that can ever be reserved.
func (r *Reserver) Largest() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.rooms[largeRoom].limit, min(r.rooms[smallRoom].limit, SmallBytes))
}

// Held returns how many bytes are held for a kind, Refused how many reservations of it or of
// more for it were refused, and Ended how many were ended.
func (r *Reserver) Held(k Kind) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held[k]
}

// Refused is described at Held.
func (r *Reserver) Refused(k Kind) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refused[k]
}

// Ended is described at Held.
func (r *Reserver) Ended(k Kind) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended[k]
}

// roomOf returns the room for n bytes of a kind.
func roomOf(k Kind, n int64) int {
	switch {
	case k == Head || k == Connection || k == Detour:
		return connectionRoom
	case k == Message:
		return messageRoom
	case k == Queue:
		return queueRoom
	case k == Answer || k == Stream || k == Store:
		return answerRoom
	case k == Body && n <= SmallBytes:
		return smallRoom
	}
	return largeRoom
}

// Acquire reserves n bytes. It reports false if they don't fit; reservations that have stalled
// are ended then, so that a later attempt may succeed. Zero bytes always fit.
func (r *Reserver) Acquire(kind Kind, n int64) (*Reservation, bool) {
	r.mu.Lock()
	now := r.clock.Now()
	s := &Reservation{reserver: r, kind: kind, room: roomOf(kind, n), started: now, progressed: now}
	if n > 0 && r.over(s.room, n) > 0 {
		r.refuse(s, s.room, n)
		return nil, false
	}
	defer r.mu.Unlock()
	r.open[s] = struct{}{}
	s.add(n)
	return s, true
}

// refuse counts the refusal of n bytes, ends stalled reservations that are in their way, and
// unlocks r.mu.
func (r *Reserver) refuse(s *Reservation, room int, n int64) {
	r.refused[s.kind]++
	ended := r.endStalled(r.over(room, n), func(o *Reservation) bool { return o != s && o.room == room })
	r.mu.Unlock()
	for _, reclaim := range ended {
		reclaim()
	}
}

// EndStalled ends the reservation of a kind that has stalled for longest, if there is one and
// no other one is ending yet. It is for a lack of something else than memory that the holder
// has too.
func (r *Reserver) EndStalled(kind Kind) {
	r.mu.Lock()
	ended := r.endStalled(1, func(o *Reservation) bool { return o.kind == kind })
	r.mu.Unlock()
	for _, reclaim := range ended {
		reclaim()
	}
}

// endStalled marks stalled reservations as ended until need bytes are about to be freed, and
// returns whom to tell. The longest without progress is ended first, then the oldest, then
// the largest.
func (r *Reserver) endStalled(need int64, among func(*Reservation) bool) []func() {
	now := r.clock.Now()
	var stalled []*Reservation
	for s := range r.open {
		switch {
		case !among(s):
		case s.ended:
			need -= s.size
		case s.reclaim != nil && now.Sub(s.progressed) >= r.stallTimeOf(s.kind):
			stalled = append(stalled, s)
		}
	}
	slices.SortFunc(stalled, func(a, b *Reservation) int {
		return cmp.Or(a.progressed.Compare(b.progressed), a.started.Compare(b.started), cmp.Compare(b.size, a.size))
	})
	var tell []func()
	for _, s := range stalled {
		if need <= 0 {
			break
		}
		need -= s.size
		s.ended = true
		r.ended[s.kind]++
		tell = append(tell, s.reclaim)
	}
	return tell
}

// stallTimeOf returns for how long a reservation of a kind has made no progress before it may be ended.
func (r *Reserver) stallTimeOf(k Kind) time.Duration {
	if k == Answer {
		return unreadTime
	}
	return r.stallTime
}

// Reservation is memory that is held. All methods may be called on nil, which holds nothing.
type Reservation struct {
	reserver *Reserver
	kind     Kind
	room     int
	size     int64
	reclaim  func()
	// ended is set once reclaim is to be called, released once nothing is held any more.
	ended, released bool
	started         time.Time
	// progressed is when the last progressBytes had arrived, pending what has arrived since.
	progressed time.Time
	pending    int64
}

// add changes what is held by n bytes.
func (s *Reservation) add(n int64) {
	s.size += n
	s.reserver.rooms[s.room].held += n
	s.reserver.held[s.kind] += n
}

// move moves the reservation to another room.
func (s *Reservation) move(room int) {
	s.reserver.rooms[s.room].held -= s.size
	s.reserver.rooms[room].held += s.size
	s.room = room
}

// Grow reserves n more bytes. If it reports false nothing has changed, but stalled
// reservations were ended as Acquire does.
func (s *Reservation) Grow(n int64) bool {
	if s == nil {
		return true
	}
	r := s.reserver
	r.mu.Lock()
	if s.ended || s.released {
		r.mu.Unlock()
		return false
	}
	room, more := roomOf(s.kind, s.size+n), n
	if room != s.room {
		more += s.size
	}
	if r.over(room, more) > 0 {
		r.refuse(s, room, more)
		return false
	}
	defer r.mu.Unlock()
	if room != s.room {
		s.move(room)
	}
	s.add(n)
	return true
}

// Force holds n more bytes whether or not they fit, for what must not be cut off. What does not
// fit is missing to later reservations, and stalled ones are ended.
func (s *Reservation) Force(n int64) {
	if s == nil {
		return
	}
	r := s.reserver
	r.mu.Lock()
	if s.released {
		r.mu.Unlock()
		return
	}
	s.add(n)
	room := s.room
	if room == answerRoom || room == queueRoom {
		room = largeRoom
	}
	var ended []func()
	if over := r.over(room, 0); over > 0 {
		ended = r.endStalled(over, func(o *Reservation) bool { return o.room == room })
	}
	r.mu.Unlock()
	for _, reclaim := range ended {
		reclaim()
	}
}

// Shrink frees n bytes.
func (s *Reservation) Shrink(n int64) {
	if s == nil {
		return
	}
	s.reserver.mu.Lock()
	defer s.reserver.mu.Unlock()
	if !s.released {
		s.add(-min(n, s.size))
		s.reserver.announceChange()
	}
}

// Progress records that n bytes have arrived for the reservation.
func (s *Reservation) Progress(n int) {
	if s == nil {
		return
	}
	s.reserver.mu.Lock()
	defer s.reserver.mu.Unlock()
	if s.pending += int64(n); s.pending >= progressBytes {
		s.pending, s.progressed = 0, s.reserver.clock.Now()
	}
}

// OnReclaim sets what is called when the reservation is ended. The holder releases it then.
// Without it a reservation is never ended.
func (s *Reservation) OnReclaim(f func()) {
	if s == nil {
		return
	}
	s.reserver.mu.Lock()
	defer s.reserver.mu.Unlock()
	s.reclaim = f
}

// Keep has the reservation not be ended from now on. It reports false if it already is.
func (s *Reservation) Keep() bool {
	if s == nil {
		return true
	}
	s.reserver.mu.Lock()
	defer s.reserver.mu.Unlock()
	s.reclaim = nil
	return !s.ended
}

// Ended reports whether the reservation was ended.
func (s *Reservation) Ended() bool {
	if s == nil {
		return false
	}
	s.reserver.mu.Lock()
	defer s.reserver.mu.Unlock()
	return s.ended
}

// Release frees all that is held. Releasing twice is harmless.
func (s *Reservation) Release() {
	if s == nil {
		return
	}
	s.reserver.mu.Lock()
	defer s.reserver.mu.Unlock()
	if s.released {
		return
	}
	s.released = true
	s.add(-s.size)
	delete(s.reserver.open, s)
	s.reserver.endTurn(s)
}
