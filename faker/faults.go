package faker

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"primrosehook/judge"
)

// Modes of an outage.
const (
	// OutageRefuse answers 503 with the verdict not-run.
	OutageRefuse = "refuse"
	// OutageHang sends no answer until the outage ends or the client leaves.
	OutageHang = "hang"
	// OutageDrop closes the connection before the request has any effect.
	OutageDrop = "drop"
)

// codeNoAnswer is the code of errors for which no answer is sent: over HTTP the
// connection is closed.
const codeNoAnswer = "lost"

// All as a count makes a fault hit every request until the faults are replaced.
const All = -1

// Faults are the faults that every stand-in can have. Durations are in
// nanoseconds in JSON.
type Faults struct {
	// Outage is one of the modes above, or empty for no outage.
	Outage string `json:"outage,omitempty"`
	// Delay delays each request before it has any effect.
	Delay time.Duration `json:"slow,omitempty"`
	// LoseReplies is how many of the next state-changing requests take effect
	// and then lose their answer; All means every one.
	LoseReplies int `json:"lose_replies,omitempty"`
}

// control holds the faults of one stand-in. A test can set them in the process
// or over HTTP while requests run.
type control[F any] struct {
	mu      sync.Mutex
	faults  F
	changed chan struct{}
}

func newControl[F any]() *control[F] { return &control[F]{changed: make(chan struct{})} }

// SetFaults replaces the faults. Hanging requests check them again.
func (c *control[F]) SetFaults(f F) {
	c.update(func(old *F) { *old = f })
}

// Faults returns the current faults with the remaining counts.
func (c *control[F]) Faults() F {
	f, _ := c.current()
	return f
}

func (c *control[F]) current() (F, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults, c.changed
}

func (c *control[F]) update(change func(*F)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.faults)
	close(c.changed)
	c.changed = make(chan struct{})
}

// consume uses up one occurrence of a counted fault and reports whether there
// was one.
func (c *control[F]) consume(count func(*F) *int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := count(&c.faults)
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}

// waitWhile blocks while a condition on the faults holds. It fails if the
// context ends first.
func (c *control[F]) waitWhile(ctx context.Context, holds func(F) bool) error {
	for {
		f, changed := c.current()
		if !holds(f) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return judge.Unknown(codeNoAnswer, "stand-in gave no answer", ctx.Err())
		}
	}
}

// applyFaults applies hang, delay and outage to a request. It returns nil if
// the request is to be served.
func (c *control[F]) applyFaults(ctx context.Context, clock clockwork.Clock, common func(F) Faults) error {
	if err := c.waitWhile(ctx, func(f F) bool { return common(f).Outage == OutageHang }); err != nil {
		return err
	}
	f := common(c.Faults())
	if f.Delay > 0 {
		if err := sleep(ctx, clock, f.Delay); err != nil {
			return err
		}
	}
	switch f.Outage {
	case OutageRefuse:
		return judge.Unavailable("standin", "stand-in has an outage", time.Second)
	case OutageDrop:
		return judge.Unknown(codeNoAnswer, "connection was dropped", nil)
	}
	return nil
}

// mount serves GET and PUT of the faults at a path.
func (c *control[F]) mount(mux *http.ServeMux, path string) {
	mux.HandleFunc("GET "+path, c.serveGet)
	mux.HandleFunc("PUT "+path, c.servePut)
}

func (c *control[F]) serveGet(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, c.Faults())
}

func (c *control[F]) servePut(w http.ResponseWriter, r *http.Request) {
	var f F
	lines := json.NewDecoder(r.Body)
	lines.DisallowUnknownFields()
	if err := lines.Decode(&f); err != nil {
		writeNotRun(w, http.StatusBadRequest, "faults are malformed: "+err.Error())
		return
	}
	c.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func sleep(ctx context.Context, clock clockwork.Clock, d time.Duration) error {
	t := clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.Chan():
		return nil
	case <-ctx.Done():
		return judge.Unknown(codeNoAnswer, "stand-in gave no answer", ctx.Err())
	}
}

// writeJSON writes a JSON body with status 200.
func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// writeNotRun writes a refusal with the verdict not-run.
func writeNotRun(w http.ResponseWriter, status int, reason string) {
	writeRefusal(w, judge.NotRun, status, reason)
}

func writeRefusal(w http.ResponseWriter, v judge.Verdict, status int, reason string) {
	w.Header().Set(judge.Header, v.String())
	http.Error(w, reason, status)
}

// writeError writes an error as an answer. For an error with codeNoAnswer it
// closes the connection instead.
func writeError(w http.ResponseWriter, err error) {
	r := judge.As(err)
	if r.Code == codeNoAnswer {
		panic(http.ErrAbortHandler)
	}
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(r.RetryAfter.Seconds())))
	}
	writeRefusal(w, r.Verdict, r.Status, r.Reason)
}
