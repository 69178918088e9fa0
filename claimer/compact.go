package claimer

import (
	"crypto/sha256"
	"encoding/binary"
)

// Sizes of the parts of an encoded compactKey and of the whole key, in bytes.
const (
	keyHashBytes      = 12
	digestPrefixBytes = 4
	compactKeyBytes   = keyHashBytes + digestPrefixBytes + 4 + 2
)

// keyHash is the start of a key's SHA-256.
type keyHash [keyHashBytes]byte

func hashKey(key string) keyHash {
	sum := sha256.Sum256([]byte(key))
	return keyHash(sum[:])
}

// compactKey is the part kept of a key whose outcome was dropped, so that its
// write still never runs again. It takes a tenth of the memory of the key with
// its outcome.
type compactKey struct {
	digest [digestPrefixBytes]byte
	// at is KeyState.At; 32 unsigned bits suffice until 2106.
	at uint32
	// status is the outcome's, or 0 if it is not known.
	status uint16
}

// compactKeys are the oldest keys of a shard, in the log order of their claims.
type compactKeys struct {
	entries map[keyHash]compactKey
	// order contains the hashes by age; the oldest is at index first.
	order []keyHash
	first int
}

func newCompactKeys() compactKeys { return compactKeys{entries: map[keyHash]compactKey{}} }

func (m *compactKeys) len() int { return len(m.order) - m.first }

func (m *compactKeys) push(h KeyState) {
	k := compactKey{digest: [digestPrefixBytes]byte(h.Digest[:]), at: uint32(h.At)}
	if h.Outcome != nil && !h.Outcome.Unknown {
		k.status = uint16(h.Outcome.Status)
	}
	m.add(hashKey(h.Key), k)
}

func (m *compactKeys) add(n keyHash, k compactKey) {
	m.entries[n] = k
	m.order = append(m.order, n)
}

// pop forgets the oldest key.
func (m *compactKeys) pop() {
	delete(m.entries, m.order[m.first])
	m.first++
	if m.first > len(m.order)/2 {
		m.order = append([]keyHash(nil), m.order[m.first:]...)
		m.first = 0
	}
}

// oldest returns the agreed time of the oldest key, or 0 if it has none yet.
func (m *compactKeys) oldest() int64 { return int64(m.entries[m.order[m.first]].at) }

// setMissingTimes sets the time of the newest keys that have none.
func (m *compactKeys) setMissingTimes(now int64) {
	for i := len(m.order) - 1; i >= m.first; i-- {
		k := m.entries[m.order[i]]
		if k.at != 0 {
			return
		}
		k.at = uint32(now)
		m.entries[m.order[i]] = k
	}
}

// lookup returns the state of a key, with an outcome whose body was dropped. The
// outcome of a key that had none is Unknown: its write may have run.
func (m *compactKeys) lookup(key string) (KeyState, bool) {
	if len(m.entries) == 0 {
		return KeyState{}, false
	}
	k, ok := m.entries[hashKey(key)]
	if !ok {
		return KeyState{}, false
	}
	keyState := KeyState{Claim: Claim{Key: key}, At: int64(k.at), Compact: true}
	copy(keyState.Digest[:], k.digest[:])
	keyState.Outcome = &Outcome{Status: int(k.status), BodyDropped: true}
	if k.status == 0 {
		keyState.Outcome = &Outcome{Unknown: true}
	}
	return keyState, true
}

// encode returns the keys in log order, compactKeyBytes each.
func (m *compactKeys) encode() []byte {
	data := make([]byte, 0, m.len()*compactKeyBytes)
	for _, n := range m.order[m.first:] {
		k := m.entries[n]
		data = append(data, n[:]...)
		data = append(data, k.digest[:]...)
		data = binary.BigEndian.AppendUint32(data, k.at)
		data = binary.BigEndian.AppendUint16(data, k.status)
	}
	return data
}

func (m *compactKeys) decode(data []byte) {
	for ; len(data) >= compactKeyBytes; data = data[compactKeyBytes:] {
		k := compactKey{digest: [digestPrefixBytes]byte(data[keyHashBytes:])}
		k.at = binary.BigEndian.Uint32(data[keyHashBytes+digestPrefixBytes:])
		k.status = binary.BigEndian.Uint16(data[compactKeyBytes-2:])
		m.add(keyHash(data), k)
	}
}
