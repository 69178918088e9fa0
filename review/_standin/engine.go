package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Sizes and times of servers, as on the sheets of the sites.
const (
	serverMB  = 230000.0
	modelMB   = 72700.0
	coldLoad  = 1200 * time.Millisecond
	diskLoad  = 820 * time.Millisecond
	reportLag = 200 * time.Millisecond
	// eventPause is the pause between two events of a stream, events their number.
	eventPause = 30 * time.Millisecond
	events     = 20
)

// engine is a server of models, or of a plain service if it has none. It writes what happens to
// it to a journal.
type engine struct {
	id, service, zone, address, store string
	plain                             bool
	born                              int64
	journal                           *os.File
	// disk is the file with the models that it has a copy of; lateFile keeps the order that is
	// still on its way, also over a restart of the server.
	disk, lateFile string

	mu      sync.Mutex
	models  map[string]bool
	onDisk  map[string]bool
	busy    bool
	orders  int64
	running int
	// reports are the states of late, the newest last.
	reports []pastReport
	// holdFrom is from which order count on the next load gets no answer, and is carried out
	// holdFor later; negative for none.
	holdFrom int64
	holdFor  time.Duration
}

type pastReport struct {
	at   time.Time
	text []byte
}

// lateOrder is an order that is still on its way.
type lateOrder struct {
	Order order
	At    time.Time
}

type order struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Holder    string `json:"holder"`
	Fence     int64  `json:"fence"`
	Expected  *int64 `json:"expected"`
}

func runEngine(args []string) int {
	flags := flag.NewFlagSet("engine", flag.ExitOnError)
	e := &engine{models: map[string]bool{}, onDisk: map[string]bool{}, born: time.Now().UnixMilli()}
	flags.StringVar(&e.id, "id", "", "ID")
	flags.StringVar(&e.service, "service", "", "service")
	flags.StringVar(&e.zone, "zone", "", "zone")
	flags.StringVar(&e.address, "listen", "", "address")
	flags.StringVar(&e.store, "store", "", "address of the store")
	flags.BoolVar(&e.plain, "plain", false, "serve no models")
	models := flags.String("models", "", "models that are loaded at the start")
	dir := flags.String("dir", "", "folder of the journal and of the disk")
	flags.Int64Var(&e.holdFrom, "hold-from", -1, "order count from which the next load gets no answer")
	flags.DurationVar(&e.holdFor, "hold-for", 0, "how much later that load is carried out")
	_ = flags.Parse(args)
	e.disk, e.lateFile = filepath.Join(*dir, e.id+".disk"), filepath.Join(*dir, e.id+".late")
	var err error
	if e.journal, err = os.OpenFile(filepath.Join(*dir, e.id+".journal"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	e.restore()
	for _, m := range strings.FieldsFunc(*models, func(r rune) bool { return r == ',' }) {
		e.models[m], e.onDisk[m] = true, true
	}
	e.saveDisk()
	e.write("starts", "models", *models)
	go e.loopHeartbeat()
	go e.loopReports()
	fmt.Fprintln(os.Stderr, http.ListenAndServe(e.address, e))
	return exitNotRun
}

// restore reads what outlives a restart of the server: its disk, and the order on its way to it.
func (e *engine) restore() {
	if raw, err := os.ReadFile(e.disk); err == nil {
		for m := range strings.FieldsSeq(string(raw)) {
			e.onDisk[m] = true
		}
	}
	var late lateOrder
	if raw, err := os.ReadFile(e.lateFile); err == nil && json.Unmarshal(raw, &late) == nil {
		e.holdFrom = -1
		go e.runLate(late)
	}
}

func (e *engine) saveDisk() {
	var list []string
	for m := range e.onDisk {
		list = append(list, m)
	}
	_ = os.WriteFile(e.disk, []byte(strings.Join(list, " ")), 0o644)
}

// write adds a line to the journal: the time, what happened, and further names and values.
func (e *engine) write(what string, fields ...any) {
	line := fmt.Sprintf("%d %s %s", time.Now().UnixMilli(), e.id, what)
	for i := 0; i+1 < len(fields); i += 2 {
		line += fmt.Sprintf(" %v=%v", fields[i], fields[i+1])
	}
	_, _ = e.journal.WriteString(line + "\n")
}

// stateFields returns the fields that reports and registrations share. e.mu must be
// held.
func (e *engine) stateFields() map[string]any {
	type model struct {
		Name     string   `json:"name"`
		Version  int      `json:"version"`
		Adapters []string `json:"adapters"`
	}
	list, disk := []model{}, []string{}
	for m := range e.models {
		list = append(list, model{m, 1, []string{}})
	}
	for m := range e.onDisk {
		disk = append(disk, m)
	}
	slices.Sort(disk)
	return map[string]any{
		"stage": "both", "models": list, "born": e.born,
		"at-hand": map[string]any{"in-memory": []string{}, "on-disk": disk},
	}
}

// loopReports keeps the state of late, since reports lag.
func (e *engine) loopReports() {
	for ; ; time.Sleep(20 * time.Millisecond) {
		e.mu.Lock()
		f := e.stateFields()
		f["busy"], f["sequence"], f["queued"], f["running"] = e.busy, e.orders, 0, e.running
		f["kv-used"], f["kv-total"], f["handles"] = 0, 141417, 0
		text, _ := json.Marshal(f)
		e.reports = append(e.reports, pastReport{time.Now(), text})
		for len(e.reports) > 1 && time.Since(e.reports[1].at) >= reportLag {
			e.reports = e.reports[1:]
		}
		e.mu.Unlock()
	}
}

// loopHeartbeat writes the registration.
func (e *engine) loopHeartbeat() {
	client := &http.Client{Timeout: time.Second}
	for sequence := 1; ; sequence++ {
		e.mu.Lock()
		f := e.stateFields()
		e.mu.Unlock()
		f["service"], f["address"], f["zone"], f["version"] = e.service, e.address, e.zone, "v1"
		f["slots"], f["state"], f["cold-ms"], f["sequence"] = 64, "ready", 0, sequence
		raw, _ := json.Marshal(f)
		resp, err := client.Post("http://"+e.store+"/put?topic=keyed.servers&key="+url.QueryEscape(e.id), "application/json", bytes.NewReader(raw))
		if err == nil {
			_ = resp.Body.Close()
		}
		time.Sleep(heartbeat)
	}
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	h := w.Header()
	if id := q.Header.Get("Primrosehook-Request-Id"); id != "" {
		h.Set("Primrosehook-Request-Id", id)
	}
	h.Set("Primrosehook-Instance-Id", e.id)
	if id := q.Header.Get("Primrosehook-Expect-Instance"); id != "" && id != e.id {
		e.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	switch q.URL.Path {
	case "/health":
	case "/-/report":
		e.mu.Lock()
		text := e.reports[0].text
		e.mu.Unlock()
		h.Set("Content-Type", "application/json")
		_, _ = w.Write(text)
	case "/-/order":
		e.handleOrder(w, q)
	default:
		e.serve(w, q)
	}
}

// refuse says that the server has not run a request.
func (e *engine) refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Primrosehook-Not-Executed", "1")
	w.WriteHeader(status)
}

func (e *engine) handleOrder(w http.ResponseWriter, q *http.Request) {
	var o order
	if json.NewDecoder(q.Body).Decode(&o) != nil || o.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	hold := e.holdFrom >= 0 && e.orders >= e.holdFrom && o.Operation == "load" && o.Expected != nil && *o.Expected == e.orders
	if hold {
		e.holdFrom = -1
	}
	e.mu.Unlock()
	if hold {
		late := lateOrder{o, time.Now().Add(e.holdFor)}
		raw, _ := json.Marshal(late)
		_ = os.WriteFile(e.lateFile, raw, 0o644)
		e.write("order gets no answer", "operation", o.Operation, "model", o.Model, "expected", *o.Expected, "holder", o.Holder, "fence", o.Fence)
		go e.runLate(late)
		<-q.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(e.accept(o, "order"))
}

// runLate carries out an order that was on its way for long.
func (e *engine) runLate(l lateOrder) {
	time.Sleep(time.Until(l.At))
	_ = os.Remove(e.lateFile)
	e.accept(l.Order, "late order")
}

// accept carries out an order if it may be, and returns the status of its answer.
func (e *engine) accept(o order, what string) (status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.orders
	defer func() {
		expected := int64(-1)
		if o.Expected != nil {
			expected = *o.Expected
		}
		e.write(what, "operation", o.Operation, "model", o.Model, "expected", expected, "sequence", before, "holder", o.Holder, "fence", o.Fence, "status", status)
	}()
	switch {
	case e.busy || o.Expected != nil && *o.Expected != e.orders:
		return http.StatusConflict
	case o.Adapter != "":
		return http.StatusBadRequest
	case o.Operation == "load" && e.models[o.Model], o.Operation == "unload" && !e.models[o.Model]:
		return http.StatusOK
	}
	e.orders++
	if o.Operation == "unload" {
		delete(e.models, o.Model)
		return http.StatusAccepted
	}
	if float64(len(e.models)+1)*modelMB > serverMB {
		e.write("LIMIT", "holds", len(e.models), "ordered", o.Model)
		e.write("crashes", "running", e.running)
		os.Exit(exitBroken)
	}
	e.busy = true
	pause := coldLoad
	if e.onDisk[o.Model] {
		pause = diskLoad
	}
	time.AfterFunc(pause, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.models[o.Model], e.onDisk[o.Model], e.busy = true, true, false
		e.saveDisk()
		e.write("loaded", "model", o.Model)
	})
	return http.StatusAccepted
}

// serve runs a request of a client.
func (e *engine) serve(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Primrosehook-Request-Id")
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	if id == "" {
		e.refuse(w, http.StatusBadRequest)
		return
	}
	model := q.Header.Get("Primrosehook-Model")
	e.mu.Lock()
	has := e.plain || e.models[model]
	if has {
		e.running++
	}
	running := e.running
	e.mu.Unlock()
	if !has {
		e.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.running--
	}()
	e.write("runs", "id", id, "model", model, "bytes", len(body))
	h := w.Header()
	h.Set("Primrosehook-Server-Signature", e.id+"."+id)
	h.Set("Primrosehook-Server-Load", fmt.Sprintf("%d,0,64", running))
	if e.plain {
		time.Sleep(15 * time.Millisecond)
		answer := fmt.Sprintf("%s took %d bytes", id, len(body))
		h.Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = io.WriteString(w, answer)
		return
	}
	h.Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for i := from + 1; i <= events; i++ {
		select {
		case <-q.Context().Done():
			return
		case <-time.After(eventPause):
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, model)
		_ = http.NewResponseController(w).Flush()
	}
}
