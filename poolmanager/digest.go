package poolmanager

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"primrosehook/dispatcher"
	"primrosehook/driver"
	"primrosehook/framer"
	"primrosehook/judge"
	"primrosehook/lister"
	"primrosehook/messenger"
)

// kindDigest is the message by which entry instances pull a pool's state.
const kindDigest = "digest"

// Limits of a query.
const (
	// maxDemands is the most demands that one instance may report.
	maxDemands = 4096
	// maxQueryBytes has room for maxDemands demands with long names.
	maxQueryBytes = 2 << 20
)

// Query requests the changes of a pool since the last digest.
type Query struct {
	Pool string `msgpack:"p"`
	// Epoch and Since are the epoch and version of the last digest; zero requests
	// the full state. EpochHash is the hash of the epoch, sent instead of it to an
	// instance that accepts it.
	Epoch     string `msgpack:"e,omitempty"`
	EpochHash uint64 `msgpack:"k,omitempty"`
	Since     uint64 `msgpack:"s"`
	// From is the name of the sender. It is set with HasDemand, which states that
	// Demand is the sender's demand for the pool.
	From      string              `msgpack:"f,omitempty"`
	HasDemand bool                `msgpack:"t,omitempty"`
	Demand    []dispatcher.Demand `msgpack:"d,omitempty"`
}

// Full is the state of an engine that seldom changes. Memory is in MB.
type Full struct {
	Instance  lister.Instance        `msgpack:"i"`
	Boot      string                 `msgpack:"b"`
	Role      string                 `msgpack:"ro"`
	Total     int64                  `msgpack:"t"`
	Reserve   int64                  `msgpack:"rs"`
	Batch     int                    `msgpack:"bt"`
	Residents []driver.LoadedWeights `msgpack:"res"`
	Fence     int64                  `msgpack:"f"`
}

// Change is the changed state of one engine. Almost all bytes of a digest are
// changes of loads, so a change is encoded as a bare array of short integers.
type Change struct {
	// ID identifies the engine within an epoch.
	ID uint32
	// Age is the age of the report when the digest was made, in ms.
	Age  int64
	Load driver.Load
	// Full is nil if it has not changed.
	Full *Full
}

// changeFields is the length of the array that encodes a Change.
const changeFields = 6

var (
	_ msgpack.CustomEncoder = (*Change)(nil)
	_ msgpack.CustomDecoder = (*Change)(nil)
)

// EncodeMsgpack implements msgpack.CustomEncoder.
func (c *Change) EncodeMsgpack(e *msgpack.Encoder) error {
	if err := e.EncodeArrayLen(changeFields); err != nil {
		return err
	}
	for _, n := range []int64{int64(c.ID), c.Age, int64(c.Load.Running), int64(c.Load.Waiting), c.Load.UsedMB} {
		if err := e.EncodeInt(n); err != nil {
			return err
		}
	}
	return e.Encode(c.Full)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (c *Change) DecodeMsgpack(d *msgpack.Decoder) error {
	count, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	if count != changeFields {
		return eris.Errorf("change has %d fields", count)
	}
	var numbers [changeFields - 1]int64
	for i := range numbers {
		if numbers[i], err = d.DecodeInt64(); err != nil {
			return err
		}
	}
	c.ID, c.Age = uint32(numbers[0]), numbers[1]
	c.Load = driver.Load{Running: int(numbers[2]), Waiting: int(numbers[3]), UsedMB: numbers[4]}
	return d.Decode(&c.Full)
}

// Digest is the reply to a Query: the changes since the query's version.
type Digest struct {
	// Epoch identifies the sequence of versions and ids. It is left out if the
	// query had its hash.
	Epoch   string `msgpack:"e,omitempty"`
	Version uint64 `msgpack:"v"`
	// Holder and Fence are the lease as last observed by the answering instance.
	// They are set if Epoch is.
	Holder string `msgpack:"h,omitempty"`
	Fence  int64  `msgpack:"n,omitempty"`
	// AcceptsHash states that the answering instance accepts EpochHash in a query.
	AcceptsHash bool     `msgpack:"r,omitempty"`
	Changes     []Change `msgpack:"c,omitempty"`
	// Gone are the engines that have left the pool.
	Gone []uint32 `msgpack:"g,omitempty"`
	// Stale are the engines that did not answer their last poll; the reports of
	// all others are as recent as the digest.
	Stale []uint32 `msgpack:"st,omitempty"`
}

// entry is one engine in an engineTable.
type entry struct {
	id         uint32
	report     driver.Report
	full       Full
	reportedAt time.Time
	// fullVersion and loadVersion are the table's versions at the last change of
	// full, and at the last change of full, of the load or from stale to fresh.
	fullVersion, loadVersion uint64
	stale                    bool
}

// engineTable is the lease holder's state of a pool's engines, with the version of
// each change.
type engineTable struct {
	epoch string
	// epochHash is the hash of the epoch.
	epochHash uint64
	version   uint64
	lastID    uint32
	entries   map[string]*entry
	// gone has the version at which an engine left, by id.
	gone map[uint32]uint64
}

func newEngineTable(epoch string) *engineTable {
	return &engineTable{epoch: epoch, epochHash: xxhash.Sum64String(epoch), entries: map[string]*entry{}, gone: map[uint32]uint64{}}
}

// retain removes the engines that are no longer listed.
func (b *engineTable) retain(listed []lister.Instance) {
	for name, e := range b.entries {
		if !slices.ContainsFunc(listed, func(i lister.Instance) bool { return i.Name == name }) {
			b.version++
			b.gone[e.id] = b.version
			delete(b.entries, name)
		}
	}
}

// update applies an engine's report, made at a local time.
func (b *engineTable) update(at time.Time, i lister.Instance, r driver.Report) {
	full := Full{
		Instance: i, Boot: r.Incarnation, Role: r.Role, Total: r.TotalMB, Reserve: r.ReserveMB,
		Batch: r.MaxBatch, Residents: sortedWeights(r.Loaded), Fence: r.Fence,
	}
	e, ok := b.entries[i.Name]
	b.version++
	if !ok {
		b.lastID++
		e = &entry{id: b.lastID, fullVersion: b.version}
		b.entries[i.Name] = e
	}
	if !full.equal(&e.full) {
		e.fullVersion = b.version
	}
	if e.stale || r.Load != e.report.Load || e.fullVersion == b.version {
		e.loadVersion = b.version
	}
	e.full, e.report, e.reportedAt, e.stale = full, r, at, false
}

// markStale records that an engine did not answer a poll.
func (b *engineTable) markStale(i lister.Instance) {
	if e, ok := b.entries[i.Name]; ok {
		e.stale = true
	}
}

func (f *Full) equal(g *Full) bool {
	return f.Instance == g.Instance && f.Boot == g.Boot && f.Role == g.Role && f.Total == g.Total &&
		f.Reserve == g.Reserve && f.Batch == g.Batch && f.Fence == g.Fence && slices.Equal(f.Residents, g.Residents)
}

func sortedWeights(loaded []driver.LoadedWeights) []driver.LoadedWeights {
	all := slices.Clone(loaded)
	slices.SortFunc(all, func(a, b driver.LoadedWeights) int {
		return compare(a.Model+"\x00"+a.Adapter+"\x00"+a.Version, b.Model+"\x00"+b.Adapter+"\x00"+b.Version)
	})
	return all
}

// digest returns the changes since the query's version, or the full state if the
// query has no epoch or another one.
func (b *engineTable) digest(now time.Time, q Query) Digest {
	since := q.Since
	short := q.EpochHash == b.epochHash
	if q.Epoch != b.epoch && !short {
		since = 0
	}
	d := Digest{Version: b.version, AcceptsHash: true}
	if !short {
		d.Epoch = b.epoch
	}
	for _, e := range b.entries {
		if e.stale {
			d.Stale = append(d.Stale, e.id)
		}
		if e.loadVersion <= since {
			continue
		}
		c := Change{ID: e.id, Age: now.Sub(e.reportedAt).Milliseconds(), Load: e.report.Load}
		if e.fullVersion > since {
			full := e.full
			c.Full = &full
		}
		d.Changes = append(d.Changes, c)
	}
	for id, at := range b.gone {
		if since > 0 && at > since {
			d.Gone = append(d.Gone, id)
		}
	}
	slices.SortFunc(d.Changes, func(a, b Change) int { return int(a.ID) - int(b.ID) })
	slices.Sort(d.Stale)
	slices.Sort(d.Gone)
	return d
}

// Serve registers the handler for digest queries of other instances.
func (m *Manager) Serve(s *messenger.Server) {
	s.Handle(kindDigest, m.answerDigest, messenger.WithMaxBody(maxQueryBytes))
}

func (m *Manager) answerDigest(_ context.Context, body msgpack.RawMessage) (any, error) {
	var q Query
	if err := framer.Decode(body, &q); err != nil || len(q.Demand) > maxDemands {
		return nil, judge.Invalid("digest", "digest query is malformed")
	}
	return m.Digest(q)
}

// Digest answers a query. It returns a refusal if the log does not name this
// instance as the pool's lease holder. An expired lease that no other instance has
// claimed is sufficient: while the log is unavailable this instance still polls
// the engines.
func (m *Manager) Digest(q Query) (Digest, error) {
	m.mu.Lock()
	p, ok := m.pools[q.Pool]
	m.mu.Unlock()
	refusal := judge.Unavailable("holder", "instance does not hold the pool", time.Second)
	if !ok {
		return Digest{}, refusal
	}
	now := m.options.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.controller.IsHolder() || len(p.table.entries) == 0 {
		return Digest{}, refusal
	}
	if q.HasDemand {
		p.demand[q.From] = instanceDemand{receivedAt: now, demands: q.Demand}
	}
	d := p.table.digest(now, q)
	if d.Epoch != "" {
		lease := p.controller.Lease()
		d.Holder, d.Fence = lease.Holder, int64(lease.Fence)
	}
	return d, nil
}
