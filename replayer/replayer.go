// Package replayer applies the entries of a log stream to a state machine. It
// does no I/O.
//
// Every piece of shared state (rule lists, leases, order intents, write
// claims, jobs) is a deterministic Machine: the same records give the same
// state on every instance, so the order of the log is the only consensus that is
// needed.
//
// Retention drops old records, so a machine's state is written back into its
// own stream as a snapshot: the state as of a read offset. A snapshot is a pure
// function of the records before that offset. All instances write the same
// state, so several snapshots do no harm. Re-appending single records under new
// offsets instead would change the order that decided between concurrent
// entries.
//
// Example: retention has dropped offsets 0 to 94. A new reader gets a snapshot
// at offset 100 with Read 60. It can't use it, since records 60 to 94 are gone.
// It can use the snapshot at offset 120 with Read 97: it restores that state
// and replays 97 to 119 from the records that it has buffered.
package replayer

import (
	"bytes"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"primrosehook/recorder"
)

// indexBits is how many bits of a Position number the entry within a record.
const indexBits = 10

// MaxGroup is the largest number of entries in one record.
const MaxGroup = 1 << indexBits

// KindSnapshot marks snapshot entries, which the replica handles and not the
// machine.
const KindSnapshot = "snapshot"

// Position orders all entries of a stream: the record's offset, then the
// entry's index in the record. It serves as a fencing token.
type Position int64

// At returns the position of an entry.
func At(offset int64, index int) Position {
	return Position(offset<<indexBits | int64(index))
}

// Offset returns the offset of the record that contains the entry.
func (p Position) Offset() int64 { return int64(p) >> indexBits }

// Origin identifies an entry by its writer and a sequence number. The sequence
// restarts with every process, so the instance name must include a boot number.
type Origin struct {
	Instance string `msgpack:"i"`
	Seq      uint64 `msgpack:"s"`
}

// Entry is one typed entry of a stream. A record contains a group of them.
type Entry struct {
	Kind   string             `msgpack:"k"`
	Origin Origin             `msgpack:"o"`
	Body   msgpack.RawMessage `msgpack:"b"`
}

// Encode returns the record of a group of entries. It fails for a group over
// MaxGroup.
func Encode(group []Entry) ([]byte, error) {
	if len(group) > MaxGroup {
		return nil, eris.Errorf("group of %d entries is over the limit of %d", len(group), MaxGroup)
	}
	return msgpack.Marshal(group)
}

// Decode returns the entries of a record. It checks the length before it
// allocates the slice: the library would allocate any length that the bytes
// announce.
func Decode(data []byte) ([]Entry, error) {
	d := msgpack.GetDecoder()
	defer msgpack.PutDecoder(d)
	d.Reset(bytes.NewReader(data))
	length, err := d.DecodeArrayLen()
	if err != nil {
		return nil, eris.Wrap(err, "record is malformed")
	}
	if length > MaxGroup {
		return nil, eris.Errorf("record of %d entries is over the limit of %d", length, MaxGroup)
	}
	group := make([]Entry, max(0, length))
	for i := range group {
		if err := d.Decode(&group[i]); err != nil {
			return nil, eris.Wrap(err, "record is malformed")
		}
	}
	return group, nil
}

// Machine is the deterministic state of a stream. R is the result of an entry:
// accepted, or the reason why not.
type Machine[R any] interface {
	// Apply applies one entry. It must depend only on the state, the position
	// and the entry, and must ignore unknown kinds.
	Apply(p Position, e Entry) R
	// Snapshot returns the encoded state.
	Snapshot() ([]byte, error)
	// Restore replaces the state.
	Restore(state []byte) error
}

// Snapshot is the body of a snapshot entry. A state that does not fit one
// record is written in parts, one record each.
type Snapshot struct {
	// Read is the offset up to which, exclusive, all records are in State.
	Read  int64  `msgpack:"r"`
	State []byte `msgpack:"s"`
	// Writer is the instance that wrote it; with Read, Parts and Time it
	// identifies the snapshot that a part belongs to. The states of two snapshots
	// may differ in their bytes, so parts of different snapshots must not be
	// mixed.
	Writer string `msgpack:"w,omitempty"`
	// Part is the index of the part, from 0. Parts is the number of parts; 0
	// means one.
	Part  int `msgpack:"p,omitempty"`
	Parts int `msgpack:"n,omitempty"`
	// Time is the writer's wall time in Unix seconds, different for each of
	// its snapshots. It determines when the next snapshot is due and is never
	// passed to a machine.
	Time int64 `msgpack:"t,omitempty"`
}

// Split returns the parts of a snapshot, whose states are at most size bytes.
func (s Snapshot) Split(size int) []Snapshot {
	parts := max(1, (len(s.State)+size-1)/size)
	all := make([]Snapshot, parts)
	for i := range all {
		all[i] = s
		all[i].Part = i
		all[i].Parts = parts
		all[i].State = s.State[min(len(s.State), i*size):min(len(s.State), (i+1)*size)]
	}
	return all
}

// Applied is the result of one entry that was applied.
type Applied[R any] struct {
	Position Position
	Origin   Origin
	Result   R
}

// Replica applies batches of a stream to a machine.
type Replica[R any] struct {
	machine Machine[R]
	// next is the offset to read from.
	next int64
	// complete is false while records are missing that retention has dropped
	// and that no snapshot has replaced; buffered then contains the records
	// since.
	complete bool
	buffered []recorder.Record
	partials collector
	// emptyState is the encoded state of a new machine.
	emptyState []byte
	// resetAt is the offset of the newest reset that was executed, or -1.
	resetAt int64
	// firstOffset is the oldest offset that the log had at the newest read.
	firstOffset int64
	// snapshotAt is the offset of the newest complete snapshot read, or -1;
	// snapshotTime is its writer's time.
	snapshotAt   int64
	snapshotTime int64
	malformed    int
}

// NewReplica returns a replica that starts at offset 0 with an empty machine.
func NewReplica[R any](machine Machine[R]) *Replica[R] {
	empty, err := machine.Snapshot()
	if err != nil {
		// A machine that cannot encode its empty state cannot encode any.
		empty = nil
	}
	return &Replica[R]{machine: machine, complete: true, snapshotAt: -1, emptyState: empty, resetAt: -1}
}

// NextOffset returns the offset to read from.
func (r *Replica[R]) NextOffset() int64 { return r.next }

// Complete reports whether the state is complete: it includes all records before
// NextOffset. The state of an incomplete replica must not be used.
func (r *Replica[R]) Complete() bool { return r.complete }

// SnapshotAt returns the offset of the newest complete snapshot read, or -1.
func (r *Replica[R]) SnapshotAt() int64 { return r.snapshotAt }

// SnapshotTime returns when the newest complete snapshot was written, in Unix
// seconds by its writer's clock, or 0.
func (r *Replica[R]) SnapshotTime() int64 { return r.snapshotTime }

// Malformed returns the number of records that were skipped since they could not
// be decoded.
func (r *Replica[R]) Malformed() int { return r.malformed }

// ApplyBatch applies a batch and returns the results of its entries.
func (r *Replica[R]) ApplyBatch(batch recorder.Batch) []Applied[R] {
	var applied []Applied[R]
	r.firstOffset = batch.First
	if batch.First > r.next {
		r.complete = false
		r.buffered = nil
		r.partials = collector{}
		r.next = batch.First
	}
	for _, record := range batch.Records {
		if record.Offset < r.next {
			continue
		}
		r.next = record.Offset + 1
		applied = append(applied, r.applyRecord(record)...)
		if r.next <= record.Offset {
			// A reset has moved the replica back; the rest of the batch will be
			// read again.
			break
		}
	}
	return applied
}

func (r *Replica[R]) applyRecord(record recorder.Record) []Applied[R] {
	group, err := Decode(record.Data)
	if err != nil {
		// Every reader fails to decode the same bytes, so the replicas stay
		// equal if all of them skip the record.
		r.malformed++
		return nil
	}
	if r.followReset(record.Offset, group) {
		return nil
	}
	if r.complete {
		return r.applyEntries(record.Offset, group)
	}
	r.buffered = append(r.buffered, record)
	for _, e := range group {
		if e.Kind != KindSnapshot {
			continue
		}
		snapshot, ok := r.partials.add(e, true)
		if ok && r.restore(snapshot, record.Offset) {
			return r.replayBuffered(snapshot.Read)
		}
	}
	return nil
}

// restore restores a snapshot if no record between it and the buffered ones is
// missing, and reports whether it did.
func (r *Replica[R]) restore(snapshot Snapshot, offset int64) bool {
	bufferedFrom := r.buffered[0].Offset
	if snapshot.Read < bufferedFrom || snapshot.Read > offset {
		return false
	}
	if snapshot.Read <= r.resetAt {
		// Its writer had not yet read the reset that all other replicas have
		// executed.
		return false
	}
	return r.machine.Restore(snapshot.State) == nil
}

// replayBuffered makes the replica complete: it applies the buffered records from
// offset read on, up to which the restored state reaches.
func (r *Replica[R]) replayBuffered(read int64) []Applied[R] {
	buffered := r.buffered
	r.complete = true
	r.buffered = nil
	r.partials = collector{}
	var applied []Applied[R]
	for _, record := range buffered {
		group, err := Decode(record.Data)
		if err != nil {
			continue
		}
		if record.Offset < read {
			// Its entries are in the state already. But it may contain the first
			// parts of a snapshot whose last parts come later.
			r.noteSnapshots(record.Offset, group)
			continue
		}
		applied = append(applied, r.applyEntries(record.Offset, group)...)
	}
	return applied
}

func (r *Replica[R]) applyEntries(offset int64, group []Entry) []Applied[R] {
	r.noteSnapshots(offset, group)
	applied := make([]Applied[R], 0, len(group))
	for i, e := range group {
		if e.Kind == KindSnapshot || e.Kind == KindReset {
			continue
		}
		p := At(offset, i)
		applied = append(applied, Applied[R]{Position: p, Origin: e.Origin, Result: r.machine.Apply(p, e)})
	}
	return applied
}

// noteSnapshots updates snapshotAt and snapshotTime from the snapshot parts in a
// record.
func (r *Replica[R]) noteSnapshots(offset int64, group []Entry) {
	for _, e := range group {
		if e.Kind != KindSnapshot {
			continue
		}
		if snapshot, ok := r.partials.add(e, false); ok {
			r.snapshotAt = offset
			r.snapshotTime = snapshot.Time
		}
	}
}

// Snapshot returns the body of a snapshot entry for the current state, without
// Writer and Time. It fails while the replica is not complete.
func (r *Replica[R]) Snapshot() (Snapshot, error) {
	if !r.complete {
		return Snapshot{}, eris.New("replica is not complete")
	}
	state, err := r.machine.Snapshot()
	if err != nil {
		return Snapshot{}, eris.Wrap(err, "state cannot be encoded")
	}
	return Snapshot{Read: r.next, State: state}, nil
}
