// Package jobtracker decides which jobs are accepted and done. It does no I/O.
//
// A job is deferred work: it is accepted once its entry is in the log, and is
// then run to a result or a recorded failure, even if instances crash. A job is
// idempotent, so it may run again after a crash; the first result in the log is
// the valid one. docs/JOBS.md compares the alternatives.
package jobtracker

import (
	"container/list"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"primrosehook/replayer"
)

// The entry kinds.
const (
	KindAccept  = "accept"
	KindDone    = "done"
	KindFetched = "fetched"
)

// Size limits of one job, in bytes.
const (
	MaxRequest = 256 << 10
	MaxResult  = 64 << 10
	// jobOverheadBytes is the assumed size of a job beside its request and result.
	jobOverheadBytes = 512
)

// Limits bound a shard's state. They decide which jobs are refused, so they must
// be the same on all instances: they are constants of a build, not settings.
type Limits struct {
	// Jobs and Bytes limit the jobs of a shard. A job that is not done counts
	// with its request and the largest result, so that a result always fits.
	Jobs  int
	Bytes int
	// Retention is the least time that a result that was not fetched is kept, even if
	// room is needed.
	Retention time.Duration
}

// DefaultLimits keep a shard's state under 32 MB.
func DefaultLimits() Limits {
	return Limits{Jobs: 8 << 10, Bytes: 32 << 20, Retention: 7 * 24 * time.Hour}
}

// Accept is the body of an accept entry.
type Accept struct {
	ID string `msgpack:"i"`
	// Digest identifies the request, so that a reused ID is detected.
	Digest   uint64 `msgpack:"d"`
	Class    string `msgpack:"c"`
	Priority int    `msgpack:"p"`
	// Deadline is when the job should be done, in Unix milliseconds; 0 means
	// none.
	Deadline int64 `msgpack:"l"`
	// Time is when the job was accepted, in Unix milliseconds.
	Time    int64  `msgpack:"t"`
	Request []byte `msgpack:"q"`
}

// Done is the body of a done entry.
type Done struct {
	ID string `msgpack:"i"`
	// Failed is set when the job was given up; Reason is why.
	Failed bool   `msgpack:"f,omitempty"`
	Reason string `msgpack:"e,omitempty"`
	Result []byte `msgpack:"r,omitempty"`
	// Time is when the job was completed or given up, in Unix milliseconds.
	Time int64 `msgpack:"t"`
}

// Fetched is the body of a fetched entry: these results may be dropped first.
type Fetched struct {
	IDs []string `msgpack:"i"`
}

// Job is the state of a job in its shard. The request is dropped when the job is
// done or has failed.
type Job struct {
	Accept
	Done    *Done `msgpack:"u,omitempty"`
	Fetched bool  `msgpack:"g,omitempty"`
}

// size returns the bytes that a job counts for in Limits.Bytes.
func (j *Job) size() int {
	if j.Done != nil {
		return jobOverheadBytes + len(j.Done.Result) + len(j.Done.Reason)
	}
	return jobOverheadBytes + len(j.Request) + MaxResult
}

// Answer is the result code of an entry.
type Answer int

// The result codes.
const (
	// Ignored means that the entry changed nothing, such as a second result.
	Ignored Answer = iota
	// Accepted means that the entry took effect.
	Accepted
	// Known means that the job was accepted earlier.
	Known
	// Mismatch means that the ID was used for another request.
	Mismatch
	// Full means that the shard has no room for the job, or that its request is
	// larger than MaxRequest.
	Full
)

// Machine is the replicated state of one shard of jobs.
type Machine struct {
	limits Limits
	jobs   map[string]*list.Element
	// order contains *Job in the order of acceptance; open contains the jobs
	// that are not done.
	order *list.List
	open  map[string]*Job
	// usedBytes is the total size of the jobs, see Job.size.
	usedBytes int
}

// NewMachine returns an empty shard.
func NewMachine(limits Limits) *Machine {
	return &Machine{limits: limits, jobs: map[string]*list.Element{}, order: list.New(), open: map[string]*Job{}}
}

// Lookup returns a job, or false if the shard doesn't know it.
func (m *Machine) Lookup(id string) (Job, bool) {
	e, ok := m.jobs[id]
	if !ok {
		return Job{}, false
	}
	return *e.Value.(*Job), true
}

// Open returns the jobs that are not done, in no order.
func (m *Machine) Open() []Job {
	open := make([]Job, 0, len(m.open))
	for _, j := range m.open {
		open = append(open, *j)
	}
	return open
}

// Len returns the number of jobs and their total size in bytes.
func (m *Machine) Len() (jobs, bytes int) { return m.order.Len(), m.usedBytes }

// Apply implements replayer.Machine.
func (m *Machine) Apply(_ replayer.Position, e replayer.Entry) Answer {
	switch e.Kind {
	case KindAccept:
		var a Accept
		if msgpack.Unmarshal(e.Body, &a) == nil {
			return m.accept(a)
		}
	case KindDone:
		var d Done
		if msgpack.Unmarshal(e.Body, &d) == nil {
			return m.done(d)
		}
	case KindFetched:
		var f Fetched
		if msgpack.Unmarshal(e.Body, &f) == nil {
			return m.fetched(f)
		}
	}
	return Ignored
}

func (m *Machine) accept(a Accept) Answer {
	if known, ok := m.Lookup(a.ID); ok {
		if known.Digest != a.Digest {
			return Mismatch
		}
		return Known
	}
	j := &Job{Accept: a}
	if len(a.Request) > MaxRequest || !m.freeRoom(j.size(), a.Time) {
		return Full
	}
	m.push(j)
	return Accepted
}

func (m *Machine) push(j *Job) {
	m.jobs[j.ID] = m.order.PushBack(j)
	m.usedBytes += j.size()
	if j.Done == nil {
		m.open[j.ID] = j
	}
}

func (m *Machine) done(d Done) Answer {
	j, ok := m.open[d.ID]
	if !ok {
		return Ignored
	}
	if len(d.Result) > MaxResult {
		d = Done{ID: d.ID, Failed: true, Reason: "result is too large", Time: d.Time}
	}
	m.usedBytes -= j.size()
	j.Done = &d
	j.Request = nil
	m.usedBytes += j.size()
	delete(m.open, d.ID)
	return Accepted
}

func (m *Machine) fetched(f Fetched) Answer {
	answer := Ignored
	for _, id := range f.IDs {
		if e, ok := m.jobs[id]; ok && e.Value.(*Job).Done != nil {
			e.Value.(*Job).Fetched = true
			answer = Accepted
		}
	}
	return answer
}

// freeRoom drops results until a job of this size fits, and reports whether it
// does: first the fetched results, then those older than Limits.Retention. A job that
// is not done is never dropped.
func (m *Machine) freeRoom(size int, now int64) bool {
	m.dropUntilFits(size, func(j *Job) bool { return j.Fetched })
	m.dropUntilFits(size, func(j *Job) bool {
		return j.Done != nil && now-j.Done.Time > m.limits.Retention.Milliseconds()
	})
	return m.fits(size)
}

func (m *Machine) fits(size int) bool {
	return m.order.Len() < m.limits.Jobs && m.usedBytes+size <= m.limits.Bytes
}

// dropUntilFits drops the oldest droppable jobs until a job of this size fits.
func (m *Machine) dropUntilFits(size int, droppable func(*Job) bool) {
	var next *list.Element
	for e := m.order.Front(); e != nil && !m.fits(size); e = next {
		next = e.Next()
		j := e.Value.(*Job)
		if !droppable(j) {
			continue
		}
		m.usedBytes -= j.size()
		m.order.Remove(e)
		delete(m.jobs, j.ID)
	}
}

// Snapshot implements replayer.Machine.
func (m *Machine) Snapshot() ([]byte, error) {
	all := make([]Job, 0, m.order.Len())
	for e := m.order.Front(); e != nil; e = e.Next() {
		all = append(all, *e.Value.(*Job))
	}
	return msgpack.Marshal(all)
}

// Restore implements replayer.Machine.
func (m *Machine) Restore(state []byte) error {
	var all []Job
	if err := msgpack.Unmarshal(state, &all); err != nil {
		return err
	}
	fresh := NewMachine(m.limits)
	for _, j := range all {
		fresh.push(&j)
	}
	*m = *fresh
	return nil
}
