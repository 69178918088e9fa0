package faker

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Pooled stands in for a model server on the platform: it runs requests for
// what it holds, and loads and unloads as ordered. It is an http.Handler.
type Pooled struct {
	ID string
	// Load is how long a load takes, Lag how old reports are, and Room how many
	// models fit; zero for any number.
	Load time.Duration
	Lag  time.Duration
	Room int

	mu     sync.Mutex
	models map[string][]string
	orders int64
	busy   bool
	// shown is the report as of Lag ago; overfull is set by a load that did
	// not fit.
	shown    string
	overfull bool
	// accepted are the orders, as OPERATION KEY, holders who gave them.
	accepted []string
	holders  []string
}

// NewPooled returns a server that holds some models.
func NewPooled(id string, models ...string) *Pooled {
	p := &Pooled{ID: id, models: map[string][]string{}}
	for _, m := range models {
		p.models[m] = nil
	}
	return p
}

// Accepted returns the orders accepted, as OPERATION KEY, and who gave them.
func (p *Pooled) Accepted() ([]string, []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.accepted), slices.Clone(p.holders)
}

// Registration returns the registration's text, of the given beat.
func (p *Pooled) Registration(service, address, zone, state string, beat int) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return []byte(fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"slots":8,"state":%q,"sequence":%d,"born":1700000000000,"models":%s}`,
		service, address, zone, state, beat, p.list()))
}

func (p *Pooled) list() []byte {
	type model struct {
		Name     string   `json:"name"`
		Version  int      `json:"version"`
		Adapters []string `json:"adapters"`
	}
	list := []model{}
	for m, a := range p.models {
		list = append(list, model{m, 1, append([]string{}, a...)})
	}
	raw, err := json.Marshal(list)
	if err != nil {
		panic(err)
	}
	return raw
}

// ServeHTTP answers one request.
func (p *Pooled) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if id := q.Header.Get("Primrosehook-Expect-Instance"); id != "" && id != p.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch q.URL.Path {
	case "/-/report":
		p.report(w)
	case "/-/order":
		p.order(w, q)
	default:
		p.run(w, q)
	}
}

func (p *Pooled) report(w http.ResponseWriter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	text := p.shown
	if p.Lag == 0 || text == "" {
		text = p.state()
	}
	_, _ = io.WriteString(w, text)
}

func (p *Pooled) state() string {
	return fmt.Sprintf(`{"models":%s,"busy":%t,"sequence":%d}`, p.list(), p.busy, p.orders)
}

// changed shows the present state in reports after Lag.
func (p *Pooled) changed() {
	if p.Lag == 0 {
		return
	}
	text := p.state()
	time.AfterFunc(p.Lag, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.shown = text
	})
}

// Overfull reports whether a load was accepted that did not fit.
func (p *Pooled) Overfull() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.overfull
}

// Surprise begins a load that a former holder ordered.
func (p *Pooled) Surprise(model string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.orders++
	p.begin(model)
}

func (p *Pooled) begin(model string) {
	p.overfull = p.overfull || p.Room > 0 && len(p.models) >= p.Room
	p.busy = true
	p.changed()
	time.AfterFunc(p.Load, func() { p.loaded(model) })
}

func (p *Pooled) order(w http.ResponseWriter, q *http.Request) {
	var o struct {
		Operation, Model, Adapter, Holder string
		Expected                          *int64
	}
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy || o.Expected != nil && *o.Expected != p.orders {
		w.WriteHeader(http.StatusConflict)
		return
	}
	p.orders++
	key := o.Model
	if o.Adapter != "" {
		key += "/" + o.Adapter
	}
	p.accepted = append(p.accepted, o.Operation+" "+key)
	p.holders = append(p.holders, o.Holder)
	switch {
	case o.Operation == "load" && o.Adapter != "":
		p.models[o.Model] = append(p.models[o.Model], o.Adapter)
	case o.Operation == "load":
		p.begin(o.Model)
	case o.Adapter != "":
		p.models[o.Model] = slices.DeleteFunc(p.models[o.Model], func(a string) bool { return a == o.Adapter })
	default:
		delete(p.models, o.Model)
	}
	w.WriteHeader(http.StatusAccepted)
}

func (p *Pooled) loaded(model string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.models[model], p.busy = nil, false
	p.changed()
}

func (p *Pooled) run(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	h := w.Header()
	h.Set("Primrosehook-Request-Id", q.Header.Get("Primrosehook-Request-Id"))
	model, adapter, _ := strings.Cut(q.Header.Get("Primrosehook-Model"), "/")
	p.mu.Lock()
	adapters, ok := p.models[model]
	p.mu.Unlock()
	if model != "" && (!ok || adapter != "" && !slices.Contains(adapters, adapter)) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	h.Set("Primrosehook-Server-Signature", p.ID)
	if model == "" {
		_, _ = fmt.Fprintf(w, "%s ran %s", p.ID, body)
		return
	}
	h.Set("Content-Type", "text/event-stream")
	for i := range 3 {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, p.ID)
		_ = http.NewResponseController(w).Flush()
	}
}
