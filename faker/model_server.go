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

// ModelServer stands in for a model server on the platform: it serves requests for
// the models that it has loaded, and executes load and unload orders. It is an
// http.Handler.
type ModelServer struct {
	ID string
	// LoadTime is the duration of a load and ReportLag the age of reports.
	// MaxModels is how many models fit; zero means any number.
	LoadTime  time.Duration
	ReportLag time.Duration
	MaxModels int
	// Build is the version of the software in the registration, empty for none. Events
	// of streams name it.
	Build string
	// Capacity is how many requests are taken at a time, zero for any number, and WorkTime how
	// long each takes. Brittle is how many refusals a second the server says that it bears,
	// empty if it is not brittle.
	Capacity int
	WorkTime time.Duration
	Brittle  string
	// Events is how many events a stream has, three if it is zero, EventGap the pause between two,
	// and Echo adds the body of the request to each.
	Events   int
	EventGap time.Duration
	Echo     bool
	// Ran is called with each request that begins to run, nil for none.
	Ran func(*http.Request)

	mu         sync.Mutex
	models     map[string][]string
	orderCount int64
	busy       bool
	// laggedReport is the report as of ReportLag ago, or empty. overcommitted is
	// set when a load did not fit.
	laggedReport  string
	overcommitted bool
	// accepted are the accepted orders as "OPERATION KEY". leaseHolders are
	// their senders, by the same index.
	accepted     []string
	leaseHolders []string
	// limit is the rate limit that answers name, empty for none, and arrivals are
	// when requests arrived.
	limit    string
	arrivals []time.Time
	// working counts the requests that are worked on, refusals are when others were refused
	// for want of room, and answered counts those that were not.
	working  int
	refusals []time.Time
	answered int
	// answerBytes is how many bytes an answer that is not a stream has beyond the request's body.
	answerBytes int
}

// SetAnswerBytes sets how many bytes an answer that is not a stream has beyond the request's body.
func (p *ModelServer) SetAnswerBytes(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answerBytes = n
}

// NewModelServer returns a server that has some models loaded.
func NewModelServer(id string, models ...string) *ModelServer {
	p := &ModelServer{ID: id, models: map[string][]string{}}
	for _, m := range models {
		p.models[m] = nil
	}
	return p
}

// extraBytes returns what SetAnswerBytes has set.
func (p *ModelServer) extraBytes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answerBytes
}

// SetLimit sets the rate limit, in requests per second, that the server names in its
// answers; an empty text stands for none.
func (p *ModelServer) SetLimit(perSecond string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = perSecond
}

// Arrivals returns when requests arrived.
func (p *ModelServer) Arrivals() []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.arrivals)
}

// Refusals returns when requests were refused for want of room, and how many others were
// answered.
func (p *ModelServer) Refusals() ([]time.Time, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.refusals), p.answered
}

// begin reports whether there is room for a request.
func (p *ModelServer) begin() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.Capacity > 0 && p.working >= p.Capacity {
		p.refusals = append(p.refusals, time.Now())
		return false
	}
	p.working++
	return true
}

func (p *ModelServer) finish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.working--
	p.answered++
}

// Accepted returns the accepted orders as "OPERATION KEY", and the lease
// holders that sent them.
func (p *ModelServer) Accepted() ([]string, []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.accepted), slices.Clone(p.leaseHolders)
}

// Registration returns the server's registration record with the given
// heartbeat sequence number.
func (p *ModelServer) Registration(service, address, zone, state string, sequence int) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	version := ""
	if p.Build != "" {
		version = fmt.Sprintf(`"version":%q,`, p.Build)
	}
	return []byte(fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,%s"slots":8,"state":%q,"sequence":%d,"born":1700000000000,"models":%s}`,
		service, address, zone, version, state, sequence, p.modelsJSON()))
}

func (p *ModelServer) modelsJSON() []byte {
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

// ServeHTTP implements http.Handler.
func (p *ModelServer) ServeHTTP(w http.ResponseWriter, q *http.Request) {
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

func (p *ModelServer) report(w http.ResponseWriter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	text := p.laggedReport
	if p.ReportLag == 0 || text == "" {
		text = p.reportJSON()
	}
	_, _ = io.WriteString(w, text)
}

func (p *ModelServer) reportJSON() string {
	return fmt.Sprintf(`{"models":%s,"busy":%t,"sequence":%d}`, p.modelsJSON(), p.busy, p.orderCount)
}

// scheduleReport makes reports show the current state after ReportLag.
func (p *ModelServer) scheduleReport() {
	if p.ReportLag == 0 {
		return
	}
	text := p.reportJSON()
	time.AfterFunc(p.ReportLag, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.laggedReport = text
	})
}

// Overcommitted reports whether a load was accepted that did not fit.
func (p *ModelServer) Overcommitted() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.overcommitted
}

// BeginUnreportedLoad begins a load as if a former lease holder had ordered it.
func (p *ModelServer) BeginUnreportedLoad(model string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.orderCount++
	p.beginLoad(model)
}

func (p *ModelServer) beginLoad(model string) {
	p.overcommitted = p.overcommitted || p.MaxModels > 0 && len(p.models) >= p.MaxModels
	p.busy = true
	p.scheduleReport()
	time.AfterFunc(p.LoadTime, func() { p.finishLoad(model) })
}

func (p *ModelServer) order(w http.ResponseWriter, q *http.Request) {
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
	if p.busy || o.Expected != nil && *o.Expected != p.orderCount {
		w.WriteHeader(http.StatusConflict)
		return
	}
	p.orderCount++
	key := o.Model
	if o.Adapter != "" {
		key += "/" + o.Adapter
	}
	p.accepted = append(p.accepted, o.Operation+" "+key)
	p.leaseHolders = append(p.leaseHolders, o.Holder)
	switch {
	case o.Operation == "load" && o.Adapter != "":
		p.models[o.Model] = append(p.models[o.Model], o.Adapter)
	case o.Operation == "load":
		p.beginLoad(o.Model)
	case o.Adapter != "":
		p.models[o.Model] = slices.DeleteFunc(p.models[o.Model], func(a string) bool { return a == o.Adapter })
	default:
		delete(p.models, o.Model)
	}
	w.WriteHeader(http.StatusAccepted)
}

func (p *ModelServer) finishLoad(model string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.models[model], p.busy = nil, false
	p.scheduleReport()
}

func (p *ModelServer) run(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	h := w.Header()
	h.Set("Primrosehook-Request-Id", q.Header.Get("Primrosehook-Request-Id"))
	model, adapter, _ := strings.Cut(q.Header.Get("Primrosehook-Model"), "/")
	p.mu.Lock()
	adapters, ok := p.models[model]
	p.arrivals = append(p.arrivals, time.Now())
	if p.limit != "" {
		h.Set("Server-Limit", p.limit)
	}
	p.mu.Unlock()
	if model != "" && (!ok || adapter != "" && !slices.Contains(adapters, adapter)) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if p.Brittle != "" {
		h.Set("Server-Brittle", p.Brittle)
	}
	if !p.begin() {
		h.Set("Primrosehook-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer p.finish()
	if p.Ran != nil {
		p.Ran(q)
	}
	time.Sleep(p.WorkTime)
	h.Set("Primrosehook-Server-Signature", p.ID)
	if model == "" {
		_, _ = fmt.Fprintf(w, "%s ran %s", p.ID, body)
		_, _ = w.Write(make([]byte, p.extraBytes()))
		return
	}
	h.Set("Content-Type", "text/event-stream")
	p.stream(w, q, body)
}

// stream writes the events from the one after Last-Event-Id on.
func (p *ModelServer) stream(w http.ResponseWriter, q *http.Request, body []byte) {
	data := strings.TrimSpace(p.ID + " " + p.Build)
	if p.Echo {
		data += " " + string(body)
	}
	events := p.Events
	if events == 0 {
		events = 3
	}
	from := 0
	_, _ = fmt.Sscan(q.Header.Get("Last-Event-Id"), &from)
	for i := from; i < events; i++ {
		if i > from && p.EventGap > 0 {
			select {
			case <-q.Context().Done():
				return
			case <-time.After(p.EventGap):
			}
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, data)
		_ = http.NewResponseController(w).Flush()
	}
}
