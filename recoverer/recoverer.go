// Package recoverer keeps a panic in the handling of one request or message from ending the
// process.
//
// A panic may leave a lock held. Nothing can release it, so each recovered panic is followed by
// a check that takes the locks of the handlers; if that does not return, the process is given up.
package recoverer

import (
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

// checkTime is how long the check after a panic may take. A sound instance answers readiness
// checks, which take the same locks, within this time.
const checkTime = 2 * time.Second

// maxStack limits the stack in a log line, in bytes.
const maxStack = 8 << 10

// Recoverer recovers panics, logs them and counts them. Its methods are safe for concurrent use.
type Recoverer struct {
	clock clockwork.Clock
	log   *zap.Logger
	// check takes the locks that handlers may hold, nil for none.
	check func()
	// stuck gets an error if a check does not return.
	stuck chan error
	count atomic.Int64
	// unchecked counts the panics that no check has followed.
	unchecked atomic.Int64
}

// New returns a recoverer. check may be nil.
func New(clock clockwork.Clock, log *zap.Logger, check func()) *Recoverer {
	return &Recoverer{clock: clock, log: log, check: check, stuck: make(chan error, 1)}
}

// Count returns the number of panics recovered.
func (r *Recoverer) Count() int64 { return r.count.Load() }

// Stuck returns a channel that gets an error if a lock stays held after a panic.
func (r *Recoverer) Stuck() <-chan error { return r.stuck }

// Call calls f, and reports whether it returned without a panic.
func (r *Recoverer) Call(part string, f func()) (ok bool) {
	defer func() {
		if ok {
			return
		}
		if cause := recover(); cause != nil {
			r.record(part, cause)
		}
	}()
	f()
	return true
}

// Handler returns a handler whose panics end only the connection of the request.
func (r *Recoverer) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			if err, ok := cause.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				r.record("request", cause)
			}
			// The server closes the connection: how much of an answer was sent is not known.
			panic(http.ErrAbortHandler)
		}()
		h.ServeHTTP(w, q)
	})
}

func (r *Recoverer) record(part string, cause any) {
	r.count.Add(1)
	stack := debug.Stack()
	r.log.Error("recover: panic", zap.String("in", part), zap.String("cause", fmt.Sprint(cause)), zap.ByteString("stack", stack[:min(len(stack), maxStack)]))
	if r.check == nil {
		return
	}
	if r.unchecked.Add(1) == 1 {
		go r.runCheck()
	}
}

// runCheck runs the check until no panic has come since it began.
func (r *Recoverer) runCheck() {
	for more := true; more; {
		n := r.unchecked.Load()
		timer := r.clock.AfterFunc(checkTime, r.giveUp)
		r.check()
		timer.Stop()
		more = r.unchecked.Add(-n) > 0
	}
}

func (r *Recoverer) giveUp() {
	select {
	case r.stuck <- eris.New("a lock stays held after a panic"):
	default:
	}
}
