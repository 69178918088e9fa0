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

// The modes of an outage.
const (
	// OutageRefuse answers 503 with the verdict not-run.
	OutageRefuse = "refuse"
	// OutageHang answers nothing until the outage is over or the caller left.
	OutageHang = "hang"
	// OutageDrop cuts the connection without any effect.
	OutageDrop = "drop"
)

// codeLost marks the errors that stand for an answer that never comes.
const codeLost = "lost"

// All as a count makes a fault hit every request until it is set anew.
const All = -1

// Faults are the troubles that every stand-in can have. Durations are
// nanoseconds in JSON.
type Faults struct {
	// Outage is one of the modes above, or empty.
	Outage string `json:"outage,omitempty"`
	// Slow delays each request before it has any effect.
	Slow time.Duration `json:"slow,omitempty"`
	// LoseReplies is how many of the next changing requests take effect and
	// then lose their answer; All for every one.
	LoseReplies int `json:"lose_replies,omitempty"`
}

// control holds the faults of one stand-in, which a test sets in the process
// or over HTTP while requests run.
type control[F any] struct {
	mu      sync.Mutex
	faults  F
	changed chan struct{}
}

func newControl[F any]() *control[F] { return &control[F]{changed: make(chan struct{})} }

// SetFaults replaces the faults. Requests that hang look at them anew.
func (c *control[F]) SetFaults(f F) {
	c.update(func(old *F) { *old = f })
}

// Faults returns the faults, with counts as far as they have run down.
func (c *control[F]) Faults() F {
	f, _ := c.look()
	return f
}

func (c *control[F]) look() (F, <-chan struct{}) {
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

// take uses up one hit of a counted fault and reports whether there was one.
func (c *control[F]) take(count func(*F) *int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := count(&c.faults)
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}

// await blocks while a condition on the faults holds.
func (c *control[F]) await(ctx context.Context, holds func(F) bool) error {
	for {
		f, changed := c.look()
		if !holds(f) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return judge.Unknown(codeLost, "stand-in gave no answer", ctx.Err())
		}
	}
}

// enter lets a request in, or fails it as the faults say.
func (c *control[F]) enter(ctx context.Context, clock clockwork.Clock, common func(F) Faults) error {
	if err := c.await(ctx, func(f F) bool { return common(f).Outage == OutageHang }); err != nil {
		return err
	}
	f := common(c.Faults())
	if f.Slow > 0 {
		if err := sleep(ctx, clock, f.Slow); err != nil {
			return err
		}
	}
	switch f.Outage {
	case OutageRefuse:
		return judge.Unavailable("standin", "stand-in has an outage", time.Second)
	case OutageDrop:
		return judge.Unknown(codeLost, "connection was dropped", nil)
	}
	return nil
}

// mount serves GET and PUT of the faults on a path.
func (c *control[F]) mount(mux *http.ServeMux, path string) {
	mux.HandleFunc("GET "+path, c.serveGet)
	mux.HandleFunc("PUT "+path, c.servePut)
}

func (c *control[F]) serveGet(w http.ResponseWriter, _ *http.Request) {
	answer(w, c.Faults())
}

func (c *control[F]) servePut(w http.ResponseWriter, r *http.Request) {
	var f F
	lines := json.NewDecoder(r.Body)
	lines.DisallowUnknownFields()
	if err := lines.Decode(&f); err != nil {
		refuse(w, http.StatusBadRequest, "faults are malformed: "+err.Error())
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
		return judge.Unknown(codeLost, "stand-in gave no answer", ctx.Err())
	}
}

// answer writes a JSON body with status 200.
func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// refuse answers that the request did not run.
func refuse(w http.ResponseWriter, status int, reason string) {
	refuseAs(w, judge.NotRun, status, reason)
}

func refuseAs(w http.ResponseWriter, v judge.Verdict, status int, reason string) {
	w.Header().Set(judge.Header, v.String())
	http.Error(w, reason, status)
}

// fail turns an error into an answer. One that stands for a lost answer loses
// its connection.
func fail(w http.ResponseWriter, err error) {
	r := judge.As(err)
	if r.Code == codeLost {
		panic(http.ErrAbortHandler)
	}
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(r.RetryAfter.Seconds())))
	}
	refuseAs(w, r.Verdict, r.Status, r.Reason)
}
