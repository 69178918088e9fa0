// Package auditor checks promises of the system on the record of a soak, which holds only what
// clients, servers, the store and the operating system saw.
//
// Example:
//
//	results := auditor.Audit(record, auditor.Checks())
//	err := auditor.WritePage(os.Stdout, record, results)
package auditor

import (
	"slices"
	"sync"
	"time"
)

// Bounds are the times and limits that the deployment promises.
type Bounds struct {
	// Contact is how long an instance must be undisturbed until bounds in time hold for it, and Ready
	// the time to readiness once the store is back.
	Contact, Ready time.Duration
	// Config is the time until a configuration is in force, Recovery that until all is served again
	// after the last fault, Grace that from SIGTERM to SIGKILL.
	Config, Recovery, Grace time.Duration
	// Slack is how long a request may be held before its connection ends unanswered in a planned stop.
	Slack time.Duration
	// MemoryMB and Descriptors limit each process.
	MemoryMB, Descriptors int
	// RaceDetector is set if the program reports data races, and needs more memory than the limit.
	RaceDetector bool
}

// Kinds of faults that checks know.
const (
	KindReload = "reload"
	KindChange = "config-change"
)

// Fault is a disturbance from outside.
type Fault struct {
	Kind string
	// Instances are those that it acts on. Store is set if it acts on the store or its content, Planned
	// if it is planned work.
	Instances      []int
	Store, Planned bool
	// Begin and End are when it began and ended; End is zero while it acts.
	Begin, End time.Time
}

// Process is one process of an instance.
type Process struct {
	Instance, PID int
	// Start and End are when it was started and had ended, zero if it had not.
	Start, End time.Time
	// Signal is what was sent to end it, empty if nothing was. Overdue is set if it was killed since it
	// still ran at the end of the grace period.
	Signal  string
	Overdue bool
	// Status is its exit code, -1 if a signal ended it, and Ending describes its end.
	Status int
	Ending string
	// Tail are its last log lines.
	Tail []string
	// PeakMB and PeakDescriptors are the most that were seen of each.
	PeakMB, PeakDescriptors int
	// Races counts the data races that it reported.
	Races int
}

// Attempt is one request as an instance got it, with an ID of its own.
type Attempt struct {
	ID       string
	Instance int
	// Sent is when its last byte was written, or the attempt had failed before, and Done when its
	// answer was complete or given up.
	Sent, Done time.Time
	// Status is the status of the answer, zero for none. Complete is set if its body is complete, too.
	Status   int
	Complete bool
	// Cut is set if the instance ended the connection before a complete answer.
	Cut bool
	// Wrong says what is wrong with a successful answer, empty for nothing. Reason is the error that
	// ended the attempt.
	Wrong, Reason string
}

// Request is a request with the attempts of its client.
type Request struct {
	// Kind is its kind of traffic. Once is set if each attempt may run once at most.
	Kind string
	Once bool
	// Version is the configuration that a probe asks for, zero for other requests.
	Version  int
	Attempts []Attempt
	Served   bool
}

// Run is a request that a server began to work on.
type Run struct {
	Server string
	At     time.Time
}

// Sample is the answer to one readiness check.
type Sample struct {
	Instance int
	At       time.Time
	Ready    bool
}

// Config is a configuration that the store acknowledged.
type Config struct {
	Version int
	At      time.Time
}

// Server is one lifetime of a server.
type Server struct {
	ID string
	// Loads counts the accepted orders to load. Overcommitted is set if one did not fit.
	Loads         int
	Overcommitted bool
}

// Record is what was seen in a soak. Its methods can be called by several goroutines, its fields are
// read when none is left.
type Record struct {
	mu         sync.Mutex
	Bounds     Bounds
	Seed       uint64
	Begin, End time.Time
	// Interrupted is set if the soak was ended early.
	Interrupted bool
	Faults      []*Fault
	Processes   []*Process
	Requests    []Request
	// Runs are the runs by the ID of the attempt.
	Runs    map[string][]Run
	Samples []Sample
	Configs []Config
	Servers []Server
}

// NewRecord returns an empty record.
func NewRecord(seed uint64, bounds Bounds, begin time.Time) *Record {
	return &Record{Seed: seed, Bounds: bounds, Begin: begin, Runs: map[string][]Run{}}
}

// AddRequest adds a request that is over.
func (r *Record) AddRequest(q Request) { r.Change(func() { r.Requests = append(r.Requests, q) }) }

// Change changes what has been added while nobody else does.
func (r *Record) Change(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

// Counts returns how many requests were made and served so far.
func (r *Record) Counts() (made, served int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, q := range r.Requests {
		if q.Served {
			served++
		}
	}
	return len(r.Requests), served
}

// acts reports whether the fault acted at some time from a moment to another.
func (f *Fault) acts(from, until time.Time) bool {
	return !f.Begin.After(until) && (f.End.IsZero() || !f.End.Before(from))
}

func (f *Fault) on(instance int) bool { return slices.Contains(f.Instances, instance) }

// calm reports whether no fault that is selected acted in a span.
func (r *Record) calm(from, until time.Time, selects func(*Fault) bool) bool {
	return !slices.ContainsFunc(r.Faults, func(f *Fault) bool { return selects(f) && f.acts(from, until) })
}

// ran reports whether a process of an instance ran for a whole span.
func (r *Record) ran(instance int, from, until time.Time) bool {
	return slices.ContainsFunc(r.Processes, func(p *Process) bool {
		return p.Instance == instance && !p.Start.After(from) && (p.End.IsZero() || p.End.After(until))
	})
}
