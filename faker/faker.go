// Package faker has stand-ins for external systems: the platform's log
// service, instance list and weight store, model engines, and plain services.
// Tests and the demo use them.
//
// Log, List and Store also implement the interfaces of recorder, lister and
// loader, so that a test without HTTP can inject the same faults.
//
// Faults are set with SetFaults or over HTTP, see docs/PROTOCOLS.md:
//
//	log.SetFaults(faker.LogFaults{Faults: faker.Faults{LoseReplies: 1}})
//	curl -X PUT -d '{"lose_replies":1}' http://127.0.0.1:7000/faults/log
package faker

import (
	"io"

	"github.com/jonboulle/clockwork"
)

type options struct {
	clock  clockwork.Clock
	source Source
	crash  func()
	// journal is nil if no journal is written.
	journal io.Writer
}

// Option sets one option of a stand-in.
type Option func(*options)

// WithClock sets the clock; the default is the real one.
func WithClock(clock clockwork.Clock) Option { return func(o *options) { o.clock = clock } }

// WithSource sets where an engine loads weights from. By default loads finish
// immediately.
func WithSource(source Source) Option { return func(o *options) { o.source = source } }

// WithCrash sets the function that a crash calls, such as os.Exit. By default a
// crash closes all connections, clears the memory and begins a new boot.
func WithCrash(crash func()) Option { return func(o *options) { o.crash = crash } }

// WithJournal sets where an engine or a service records each run as a JSON
// Line. By default nothing is written.
func WithJournal(journal io.Writer) Option { return func(o *options) { o.journal = journal } }

func newOptions(set []Option) options {
	o := options{clock: clockwork.NewRealClock()}
	for _, f := range set {
		f(&o)
	}
	return o
}
