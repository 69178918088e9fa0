package faker

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"primrosehook/driver"
	"primrosehook/judge"
)

// Size limits of request bodies, in bytes.
const (
	maxPrompt = 4 << 20
	maxImport = 64 << 20
)

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var q driver.Request
	if err := json.NewDecoder(io.LimitReader(r.Body, maxPrompt)).Decode(&q); err != nil {
		writeNotRun(w, http.StatusBadRequest, "request is malformed")
		return
	}
	g, err := e.accept(q)
	if err != nil {
		writeError(w, err)
		return
	}
	e.serveTokens(w, r, g, q.SkipTokens)
}

// accept queues a request or refuses it. All refusals have the verdict not-run
// but for that of a request ID in use.
func (e *Engine) accept(q driver.Request) (*generation, error) {
	leaving := e.Faults().Leaving
	e.mu.Lock()
	defer e.mu.Unlock()
	refusal := func(status int, reason string) error {
		return &judge.Refusal{Verdict: judge.NotRun, Status: status, Code: "engine", Reason: reason}
	}
	if leaving {
		e.refused.add()
		return nil, refusal(http.StatusServiceUnavailable, "engine is leaving")
	}
	if q.ID == "" {
		return nil, refusal(http.StatusBadRequest, "request has no id")
	}
	if _, ok := e.generations[q.ID]; ok {
		// This copy is not run, but the earlier one may have run.
		r := judge.Unknown("engine", "request id is in use", nil)
		r.Status = http.StatusConflict
		return nil, r
	}
	if !e.isReady(baseModel(q.Weights)) || !e.isReady(q.Weights) {
		return nil, refusal(http.StatusNotFound, "weights are not resident")
	}
	if len(e.waiting) >= e.settings.MaxQueued {
		return nil, refusal(http.StatusTooManyRequests, "too many requests wait")
	}
	g := e.newGeneration(q)
	if g.cacheKB > e.memory.reserve*kbPerMB {
		return nil, refusal(http.StatusRequestEntityTooLarge, "request is larger than the reserve")
	}
	e.enqueue(g)
	return g, nil
}

func (e *Engine) newGeneration(q driver.Request) *generation {
	open := q
	if q.Seed == 0 {
		// Without a seed each run gives a different text.
		open.Seed = int64(e.boots)<<32 + int64(len(e.ran)) + 1
	}
	tokens := Answer(open)
	q.SkipTokens = min(max(q.SkipTokens, 0), len(tokens)-1)
	return &generation{
		bootCtx:   e.bootCtx,
		request:   q,
		tokens:    tokens,
		produced:  q.SkipTokens,
		cacheKB:   int64(promptTokens(q.Prompt)+len(tokens)) * e.settings.TokenKB,
		prefixes:  driver.Prefixes(q.Model, q.Prompt),
		updated:   make(chan struct{}),
		idleSince: e.clock.Now(),
	}
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	e.mu.Lock()
	g, ok := e.generations[r.PathValue("id")]
	first := 0
	if ok {
		first = g.request.SkipTokens
	}
	e.mu.Unlock()
	if !ok {
		// The request may have run here before a crash, or its stream was
		// dropped as idle.
		writeRefusal(w, judge.MayHaveRun, http.StatusNotFound, "stream is not known")
		return
	}
	if err != nil || from < first || from >= len(g.tokens) {
		writeNotRun(w, http.StatusRequestedRangeNotSatisfiable, "offset is outside of the stream")
		return
	}
	e.serveTokens(w, r, g, from)
}

// serveTokens sends tokens as they are produced, one JSON object per line. The
// generation continues when the connection is closed.
func (e *Engine) serveTokens(w http.ResponseWriter, r *http.Request, g *generation, from int) {
	e.mu.Lock()
	g.readers++
	e.mu.Unlock()
	defer e.leave(g)
	flusher := http.NewResponseController(w)
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	_ = flusher.Flush()
	lines := json.NewEncoder(w)
	for {
		e.mu.Lock()
		ready := append([]driver.Token(nil), g.tokens[min(from, g.produced):g.produced]...)
		ended, canceled, updated := g.ended(), g.canceled, g.updated
		e.mu.Unlock()
		for _, t := range ready {
			if lines.Encode(t) != nil {
				return
			}
		}
		from += len(ready)
		_ = flusher.Flush()
		if ended {
			return
		}
		if canceled || g.bootCtx.Err() != nil {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-updated:
		case <-g.bootCtx.Done():
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) leave(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g.readers--
	g.idleSince = e.clock.Now()
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if g, ok := e.generations[r.PathValue("id")]; ok {
		e.cancel(g)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	before := e.clock.Now().Add(-e.Faults().EventLag).UnixNano()
	e.mu.Lock()
	out := e.events.after(after, before)
	e.mu.Unlock()
	writeJSON(w, out)
}

// exportHead is the length of an export's header in bytes. The header is the
// number of tokens as a big-endian integer.
const exportHead = 8

// serveExport sends the KV cache of a prefix: the header, then one byte for
// each KB of cache.
func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	prefix, _ := strconv.ParseUint(r.PathValue("prefix"), 10, 64)
	e.mu.Lock()
	entry, ok := e.cache.get(cacheKey{r.PathValue("model"), prefix})
	tokens := 0
	if ok {
		tokens = entry.tokens
	}
	e.mu.Unlock()
	if !ok {
		writeNotRun(w, http.StatusNotFound, "prefix is not cached")
		return
	}
	data := make([]byte, exportHead+tokens*int(e.settings.TokenKB))
	binary.BigEndian.PutUint64(data, uint64(tokens))
	_, _ = w.Write(data)
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxImport))
	prefix, _ := strconv.ParseUint(r.PathValue("prefix"), 10, 64)
	if err != nil || len(data) < exportHead {
		writeNotRun(w, http.StatusBadRequest, "KV cache is malformed")
		return
	}
	tokens := int(min(binary.BigEndian.Uint64(data), uint64(len(data))))
	e.mu.Lock()
	defer e.mu.Unlock()
	model := r.PathValue("model")
	if !e.isReady(driver.Weights{Model: model}) {
		writeNotRun(w, http.StatusNotFound, "weights are not resident")
		return
	}
	size := int64(len(data) - exportHead)
	if !e.makeRoom(size) {
		writeNotRun(w, http.StatusInsufficientStorage, "KV cache does not fit")
		return
	}
	e.addCacheEntry(cacheEntry{cacheKey: cacheKey{model, prefix}, tokens: tokens, size: size})
	e.checkMemory("import " + model)
	e.recordReport()
	w.WriteHeader(http.StatusNoContent)
}
