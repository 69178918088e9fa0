package faker

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"primrosehook/judge"
	"primrosehook/lister"
)

// maxLag is the largest lag for which the list keeps updates.
const maxLag = 2 * time.Minute

// ListSettings are the settings of the instance list.
type ListSettings struct {
	// Renewal is how long an instance stays listed without being announced
	// again; zero means forever.
	Renewal time.Duration
}

// ListFaults are the faults of the instance list.
type ListFaults struct {
	Faults
	// Lag makes the list return its state of that long ago, up to two minutes.
	Lag time.Duration `json:"lag,omitempty"`
}

func (f ListFaults) common() Faults { return f.Faults }

// List stands in for the platform's instance list.
type List struct {
	*control[ListFaults]
	settings ListSettings
	clock    clockwork.Clock

	mu sync.Mutex
	// updates are those of each instance by name, the oldest first.
	updates map[string][]update
}

// update is an announcement or a withdrawal of an instance.
type update struct {
	at        time.Time
	instance  lister.Instance
	withdrawn bool
}

// NewList returns an empty list.
func NewList(settings ListSettings, set ...Option) *List {
	return &List{
		control:  newControl[ListFaults](),
		settings: settings,
		clock:    newOptions(set).clock,
		updates:  map[string][]update{},
	}
}

var _ lister.List = (*List)(nil)

// Instances implements lister.List. The instances are sorted by name.
func (l *List) Instances(ctx context.Context) ([]lister.Instance, error) {
	if err := l.applyFaults(ctx, l.clock, ListFaults.common); err != nil {
		return nil, err
	}
	at := l.clock.Now().Add(-l.Faults().Lag)
	l.mu.Lock()
	defer l.mu.Unlock()
	all := []lister.Instance{}
	for _, updates := range l.updates {
		if n, ok := l.asOf(updates, at); ok {
			all = append(all, n.instance)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all, nil
}

// asOf returns the last update at or before a time, and whether the instance
// was listed then.
func (l *List) asOf(updates []update, at time.Time) (update, bool) {
	var newest update
	found := false
	for _, n := range updates {
		if !n.at.After(at) {
			newest = n
			found = true
		}
	}
	expired := l.settings.Renewal > 0 && at.Sub(newest.at) > l.settings.Renewal
	return newest, found && !newest.withdrawn && !expired
}

// Announce implements lister.List.
func (l *List) Announce(ctx context.Context, instance lister.Instance) error {
	return l.record(ctx, update{instance: instance})
}

// Withdraw implements lister.List.
func (l *List) Withdraw(ctx context.Context, name string) error {
	return l.record(ctx, update{instance: lister.Instance{Name: name}, withdrawn: true})
}

func (l *List) record(ctx context.Context, n update) error {
	if err := l.applyFaults(ctx, l.clock, ListFaults.common); err != nil {
		return err
	}
	l.add(n)
	if l.consume(func(f *ListFaults) *int { return &f.LoseReplies }) {
		return judge.Unknown(codeNoAnswer, "answer of the list was lost", nil)
	}
	return nil
}

func (l *List) add(n update) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n.at = l.clock.Now()
	updates := l.updates[n.instance.Name]
	updates = append(updates, n)
	oldest := n.at.Add(-maxLag)
	for len(updates) > 1 && updates[1].at.Before(oldest) {
		updates = updates[1:]
	}
	l.updates[n.instance.Name] = updates
}

// Handler returns the list's HTTP API.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", l.serveShow)
	mux.HandleFunc("PUT /instances/{name}", l.servePut)
	mux.HandleFunc("DELETE /instances/{name}", l.serveDrop)
	l.mount(mux, "/faults/list")
	return mux
}

func (l *List) serveShow(w http.ResponseWriter, r *http.Request) {
	all, err := l.Instances(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	body, err := json.Marshal(map[string][]lister.Instance{"instances": all})
	if err != nil {
		writeError(w, err)
		return
	}
	tag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(body), 16))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func (l *List) servePut(w http.ResponseWriter, r *http.Request) {
	var i lister.Instance
	if json.NewDecoder(r.Body).Decode(&i) != nil || i.Name != r.PathValue("name") {
		writeNotRun(w, http.StatusBadRequest, "instance is malformed")
		return
	}
	if err := l.Announce(r.Context(), i); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (l *List) serveDrop(w http.ResponseWriter, r *http.Request) {
	if err := l.Withdraw(r.Context(), r.PathValue("name")); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
