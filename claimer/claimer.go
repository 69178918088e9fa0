// Package claimer decides who may run a write that must run at most once. It
// does no I/O.
//
// Writes are sharded by their idempotency key; each shard is one log stream.
// Before a write is sent to its service, its key is claimed in the stream, and
// the first claim in the log wins. The outcome is recorded in the stream too, so
// a repeated request gets the same response from any instance. If the claimant
// is gone and its claim has no outcome, the write is never sent again: the
// client gets the error that it may have run.
//
// Machine is the state of a shard. Attempt is one instance's handling of one
// request. docs/WRITES.md compares the alternatives.
package claimer

import (
	"bytes"
	"container/list"
	"crypto/sha256"
	"net/http"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"primrosehook/replayer"
)

// The entry kinds.
const (
	KindClaim    = "claim"
	KindOutcome  = "outcome"
	KindWithdraw = "withdraw"
)

// MaxBody is the size limit of a recorded response body, in bytes. Of a larger
// response only the status and the headers are recorded.
const MaxBody = 64 << 10

// MaxSkew is the largest tolerated difference between the clocks of clients and
// instances.
const MaxSkew = 2 * time.Minute

// Limits bound a shard's state. They decide which claims are refused, so they
// must be the same on all instances: they are constants of a build, not
// settings.
type Limits struct {
	// Keys is the largest number of keys in a shard.
	Keys int
	// Answers is the number of newest keys that keep their claim and outcome.
	// Older keys are kept as a compactKey.
	Answers int
	// Bytes is the limit on the response bodies kept by a shard, in total.
	Bytes int
	// Remember is the least time that a key is kept. A shard that is full of
	// younger keys refuses new writes.
	Remember time.Duration
}

// DefaultLimits keep a shard's state under 32 MB. Keys are kept for a day, so
// that a client site can repeat in the morning the writes that it could not
// finish the evening before.
func DefaultLimits() Limits {
	return Limits{Keys: 256 << 10, Answers: 16 << 10, Bytes: 4 << 20, Remember: 24 * time.Hour}
}

// TooLate reports whether a claim is too old for its write to be sent. That happens
// when the process was paused: by the time that the request arrives at the
// service, the key may have been forgotten and its write run for another
// request.
func (l Limits) TooLate(age time.Duration) bool { return age > l.Remember/2 }

// Digest identifies the content of a write, so that a key reused for another
// write is detected.
type Digest [16]byte

// DigestOf returns the digest of a request's parts.
func DigestOf(parts ...[]byte) Digest {
	h := sha256.New()
	var length [8]byte
	for _, p := range parts {
		for i := range length {
			length[i] = byte(len(p) >> (8 * i))
		}
		h.Write(length[:])
		h.Write(p)
	}
	var d Digest
	copy(d[:], h.Sum(nil))
	return d
}

// Owner identifies one attempt of one process to run a write.
type Owner struct {
	// Instance is unique to one run of a process.
	Instance string `msgpack:"i"`
	// Attempt is the number of the claim among those of that process.
	Attempt uint64 `msgpack:"t"`
}

// Claim is the body of a claim.
type Claim struct {
	Key    string `msgpack:"k"`
	Digest Digest `msgpack:"d"`
	Owner  Owner  `msgpack:"o"`
	// Time is the claimant's wall time in Unix seconds.
	Time int64 `msgpack:"t"`
	// Issued is when the client created the key, in Unix seconds, or 0 if the
	// key contains no time.
	Issued int64 `msgpack:"s,omitempty"`
	// Now is the time that two instances agree on, in Unix seconds, or 0 if
	// they don't agree. See AgreedTime.
	Now int64 `msgpack:"n,omitempty"`
}

// Outcome is how a write ended.
type Outcome struct {
	// Unknown is set when the write was sent and no response arrived.
	Unknown bool        `msgpack:"u,omitempty"`
	Status  int         `msgpack:"s"`
	Header  http.Header `msgpack:"h,omitempty"`
	Body    []byte      `msgpack:"b,omitempty"`
	// BodyDropped is set when the body was dropped because it was too large or too old.
	BodyDropped bool `msgpack:"c,omitempty"`
}

// Bounded returns the outcome as it is recorded, without a body over MaxBody.
func (o Outcome) Bounded() Outcome {
	if len(o.Body) > MaxBody {
		o.Body = nil
		o.BodyDropped = true
	}
	return o
}

// Record is the body of an outcome entry.
type Record struct {
	Key     string  `msgpack:"k"`
	Owner   Owner   `msgpack:"o"`
	Outcome Outcome `msgpack:"u"`
}

// Withdraw is the body of a withdraw entry. It frees a key whose claim's owner
// has not sent the write and never will send it.
type Withdraw struct {
	Key   string `msgpack:"k"`
	Owner Owner  `msgpack:"o"`
}

// KeyState is a shard's state of one key.
type KeyState struct {
	Claim
	Outcome *Outcome `msgpack:"u,omitempty"`
	// At is an agreed time at which the claim was already in the log, in Unix
	// seconds. It is 0 until a time has been agreed on.
	At int64 `msgpack:"a,omitempty"`
	// Compact is set if the key is kept as a compactKey: then only the first
	// bytes of the digest are set, and the owner is not known.
	Compact bool `msgpack:"-"`
}

// Same reports whether the claim is for the write with this digest.
func (h KeyState) Same(d Digest) bool {
	if h.Compact {
		return [digestPrefixBytes]byte(h.Digest[:]) == [digestPrefixBytes]byte(d[:])
	}
	return h.Digest == d
}

// Answer is the result code of an entry.
type Answer int

// The result codes.
const (
	// Ignored means that the entry changed nothing, such as the outcome of a
	// claim that does not own the key.
	Ignored Answer = iota
	// Accepted means that the entry took effect.
	Accepted
	// Taken means that another claim owns the key.
	Taken
	// Mismatch means that the key was used for another write.
	Mismatch
	// Expired means that the key was issued before keys that the shard has
	// already forgotten.
	Expired
	// Full means that the shard has no room: all its keys are too young to be
	// forgotten.
	Full
	// Lost means that a reset made the shard forget keys too early, and this key
	// may be among them. See Machine.Reset.
	Lost
)

// Result is the result of applying an entry.
type Result struct {
	Answer Answer
	// State is the claim that owns the key, on Taken and Mismatch.
	State KeyState
}

// Machine is the replicated state of one shard of write claims.
type Machine struct {
	limits Limits
	keys   map[string]*list.Element
	// order contains *KeyState in the log order of their claims; bodyBytes is the
	// total size of their response bodies.
	order     *list.List
	bodyBytes int
	// open contains the claims without an outcome.
	open map[string]*KeyState
	// compact contains the keys that are older than those in order.
	compact compactKeys
	window
}

// NewMachine returns an empty shard.
func NewMachine(limits Limits) *Machine {
	return &Machine{
		limits:  limits,
		keys:    map[string]*list.Element{},
		order:   list.New(),
		open:    map[string]*KeyState{},
		compact: newCompactKeys(),
	}
}

// Lookup returns the state of a key, or false if the shard doesn't know it.
func (m *Machine) Lookup(key string) (KeyState, bool) {
	if e, ok := m.keys[key]; ok {
		return *e.Value.(*KeyState), true
	}
	return m.compact.lookup(key)
}

// Freed reports whether a claim is gone because it was withdrawn, so that its
// write did not run. It returns false for a key that may have been forgotten for
// its age.
func (m *Machine) Freed(was KeyState) bool {
	_, known := m.Lookup(was.Key)
	return !known && !m.AwaitingTime && m.ForgottenUntil < was.Time
}

// Open returns the claims of an instance that have no outcome, in no order.
func (m *Machine) Open(instance string) []Claim {
	var open []Claim
	for _, h := range m.open {
		if h.Owner.Instance == instance {
			open = append(open, h.Claim)
		}
	}
	return open
}

// Len returns the number of keys.
func (m *Machine) Len() int { return m.order.Len() + m.compact.len() }

// Apply implements replayer.Machine.
func (m *Machine) Apply(p replayer.Position, e replayer.Entry) Result {
	switch e.Kind {
	case KindClaim:
		var c Claim
		if msgpack.Unmarshal(e.Body, &c) == nil {
			return m.claim(p, c)
		}
	case KindOutcome:
		var r Record
		if msgpack.Unmarshal(e.Body, &r) == nil {
			return m.setOutcome(r)
		}
	case KindWithdraw:
		var w Withdraw
		if msgpack.Unmarshal(e.Body, &w) == nil {
			return m.withdraw(w)
		}
	}
	return Result{}
}

func (m *Machine) claim(p replayer.Position, c Claim) Result {
	if m.advance(c.Now, m.limits.Remember) {
		m.setMissingTimes()
	}
	if keyState, ok := m.Lookup(c.Key); ok {
		if !keyState.Same(c.Digest) {
			return Result{Answer: Mismatch, State: keyState}
		}
		return Result{Answer: Taken, State: keyState}
	}
	if p < m.ResetAt {
		// The claim was decided by the state before the reset, and its write may
		// have been sent. So it owns its key, but a process that still waits for
		// it must not send it.
		m.insert(c)
		return Result{Answer: Lost}
	}
	if answer := m.admit(c); answer != Accepted {
		return Result{Answer: answer}
	}
	if !m.makeRoom() {
		return Result{Answer: Full}
	}
	m.insert(c)
	return Result{Answer: Accepted}
}

func (m *Machine) insert(c Claim) {
	h := &KeyState{Claim: c}
	if c.Now != 0 {
		h.At = m.Now
	}
	m.push(h)
	for m.order.Len() > m.limits.Answers {
		m.compactOldest()
	}
}

// compactOldest replaces the oldest key in order by a compactKey.
func (m *Machine) compactOldest() {
	e := m.order.Front()
	keyState := e.Value.(*KeyState)
	m.remove(e)
	m.compact.push(*keyState)
}

// setMissingTimes sets the agreed time of the newest claims that have none.
func (m *Machine) setMissingTimes() {
	for e := m.order.Back(); e != nil; e = e.Prev() {
		keyState := e.Value.(*KeyState)
		if keyState.At != 0 {
			return
		}
		keyState.At = m.Now
	}
	m.compact.setMissingTimes(m.Now)
}

// makeRoom forgets the oldest key if the shard is full, and reports whether
// there is room. Keys are forgotten only when room is needed, so most are kept
// for much longer than Limits.Remember.
func (m *Machine) makeRoom() bool {
	if m.Len() < m.limits.Keys {
		return true
	}
	if m.compact.len() == 0 {
		m.compactOldest()
	}
	at := m.compact.oldest()
	if !m.mayForget(at, m.limits.Remember) {
		return false
	}
	m.compact.pop()
	m.ForgottenUntil = max(m.ForgottenUntil, at)
	return true
}

func (m *Machine) push(h *KeyState) {
	m.keys[h.Key] = m.order.PushBack(h)
	if h.Outcome == nil {
		m.open[h.Key] = h
		return
	}
	m.bodyBytes += len(h.Outcome.Body)
}

func (m *Machine) remove(e *list.Element) {
	keyState := e.Value.(*KeyState)
	if keyState.Outcome != nil {
		m.bodyBytes -= len(keyState.Outcome.Body)
	}
	delete(m.keys, keyState.Key)
	delete(m.open, keyState.Key)
	m.order.Remove(e)
}

// openClaim returns the element of a key, and whether its claim has this owner
// and no outcome.
func (m *Machine) openClaim(key string, owner Owner) (*list.Element, bool) {
	e, ok := m.keys[key]
	if !ok {
		return nil, false
	}
	keyState := e.Value.(*KeyState)
	return e, keyState.Owner == owner && keyState.Outcome == nil
}

func (m *Machine) setOutcome(r Record) Result {
	e, ok := m.openClaim(r.Key, r.Owner)
	if !ok {
		return Result{}
	}
	outcome := r.Outcome.Bounded()
	e.Value.(*KeyState).Outcome = &outcome
	delete(m.open, r.Key)
	m.bodyBytes += len(outcome.Body)
	m.trimBodies()
	return Result{Answer: Accepted}
}

// trimBodies drops the oldest bodies once their total size is over the limit. The
// keys stay. It drops an eighth more than needed, since each call iterates over
// all older keys.
func (m *Machine) trimBodies() {
	if m.bodyBytes <= m.limits.Bytes {
		return
	}
	target := m.limits.Bytes - m.limits.Bytes/8
	for e := m.order.Front(); e != nil && m.bodyBytes > target; e = e.Next() {
		keyState := e.Value.(*KeyState)
		if keyState.Outcome == nil || len(keyState.Outcome.Body) == 0 {
			continue
		}
		m.bodyBytes -= len(keyState.Outcome.Body)
		// A reader may still use the old outcome, so it is not changed in place.
		trimmed := *keyState.Outcome
		trimmed.Body = nil
		trimmed.BodyDropped = true
		keyState.Outcome = &trimmed
	}
}

// withdraw frees the key if its claim has this owner and no outcome. The owner
// includes the number of the claim: a late withdrawal must not free a later
// claim of the same process, whose write may have been sent.
func (m *Machine) withdraw(w Withdraw) Result {
	e, ok := m.openClaim(w.Key, w.Owner)
	if !ok {
		return Result{}
	}
	m.remove(e)
	return Result{Answer: Accepted}
}

// state is the encoded form of a snapshot.
type state struct {
	Window  window     `msgpack:"w"`
	Compact []byte     `msgpack:"m"`
	Keys    []KeyState `msgpack:"h"`
}

// Snapshot implements replayer.Machine.
func (m *Machine) Snapshot() ([]byte, error) {
	s := state{Window: m.window, Compact: m.compact.encode(), Keys: make([]KeyState, 0, m.order.Len())}
	for e := m.order.Front(); e != nil; e = e.Next() {
		s.Keys = append(s.Keys, *e.Value.(*KeyState))
	}
	return msgpack.Marshal(s)
}

// Restore implements replayer.Machine.
func (m *Machine) Restore(data []byte) error {
	var s state
	d := msgpack.NewDecoder(bytes.NewReader(data))
	if err := d.Decode(&s); err != nil {
		return err
	}
	fresh := NewMachine(m.limits)
	fresh.window = s.Window
	fresh.compact.decode(s.Compact)
	for _, h := range s.Keys {
		fresh.push(&h)
	}
	*m = *fresh
	return nil
}
