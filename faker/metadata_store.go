package faker

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// MetadataStore stands in for the platform's metadata store. It implements the
// documented append and read calls for topics with one partition. It is an
// http.Handler.
type MetadataStore struct {
	mu     sync.Mutex
	topics map[string]*topic
	// down makes all calls answer 503. loseAppends closes the connection after
	// an append has taken effect.
	down, loseAppends bool
	calls             map[string]int
	// era is how often the store has come back from an older copy.
	era int64
}

type topic struct {
	records [][]byte
	first   int64
	changed chan struct{}
}

// NewMetadataStore returns an empty store.
func NewMetadataStore() *MetadataStore {
	return &MetadataStore{topics: map[string]*topic{}, calls: map[string]int{}}
}

// SetFaults sets the faults.
func (l *MetadataStore) SetFaults(down, loseAppends bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down, l.loseAppends = down, loseAppends
}

// Put appends a record to a keyed topic. An empty value removes the key.
func (l *MetadataStore) Put(name, key string, value []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.topic(name).add(append(append([]byte{byte(len(key))}, key...), value...))
}

// Trim deletes the records of a topic before an offset, as retention does.
func (l *MetadataStore) Trim(name string, before int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.topic(name).first = before
}

// Snapshot returns the end of each topic, for Restore.
func (l *MetadataStore) Snapshot() map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	ends := map[string]int64{}
	for name, t := range l.topics {
		ends[name] = t.end()
	}
	return ends
}

// Restore makes the store lose all records since a snapshot, as when it comes back
// from an older copy. Their offsets are given out again.
func (l *MetadataStore) Restore(snapshot map[string]int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.era++
	for name, t := range l.topics {
		t.records = t.records[:snapshot[name]]
	}
}

// Calls returns the number of calls to a path.
func (l *MetadataStore) Calls(path string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls[path]
}

func (l *MetadataStore) topic(name string) *topic {
	t, ok := l.topics[name]
	if !ok {
		t = &topic{changed: make(chan struct{})}
		l.topics[name] = t
	}
	return t
}

func (t *topic) add(records ...[]byte) {
	t.records = append(t.records, records...)
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *topic) end() int64 { return int64(len(t.records)) }

// ServeHTTP implements http.Handler.
func (l *MetadataStore) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	l.mu.Lock()
	l.calls[q.URL.Path]++
	down := l.down
	w.Header().Set("Store-Era", strconv.FormatInt(l.era, 10))
	l.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch q.URL.Path {
	case "/-/log-append":
		l.append(w, q)
	case "/-/log-read":
		l.read(w, q)
	case "/-/log-newest":
		l.newest(w, q)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (l *MetadataStore) append(w http.ResponseWriter, q *http.Request) {
	raw, err := io.ReadAll(q.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(q.URL.Query().Get("topic"))
	if at := q.URL.Query().Get("at"); at != "" && at != strconv.FormatInt(t.end(), 10) {
		writeJSONStatus(w, http.StatusPreconditionFailed, map[string]int64{"end": t.end()})
		return
	}
	offset := t.end()
	for len(raw) >= 4 {
		n := binary.BigEndian.Uint32(raw)
		t.add(raw[4 : 4+n])
		raw = raw[4+n:]
	}
	if l.loseAppends {
		panic(http.ErrAbortHandler)
	}
	writeJSONStatus(w, http.StatusOK, map[string]int64{"offset": offset, "end": t.end()})
}

func (l *MetadataStore) read(w http.ResponseWriter, q *http.Request) {
	from, _ := strconv.ParseInt(q.URL.Query().Get("from"), 10, 64)    // absent means 0
	wait, _ := strconv.ParseInt(q.URL.Query().Get("wait-ms"), 10, 64) // absent means 0
	l.mu.Lock()
	t := l.topic(q.URL.Query().Get("topic"))
	changed := t.changed
	empty := from >= t.end()
	l.mu.Unlock()
	if empty && wait > 0 {
		select {
		case <-changed:
		case <-q.Context().Done():
		case <-time.After(time.Duration(wait) * time.Millisecond):
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatInt(l.era, 10))
	if from < t.first || from > t.end() {
		writeJSONStatus(w, http.StatusGone, map[string]int64{"first": t.first})
		return
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(t.end()))
	out = binary.BigEndian.AppendUint64(out, uint64(t.first))
	for _, r := range t.records[min(from, t.end()):] {
		out = binary.BigEndian.AppendUint32(out, uint32(len(r)))
		out = append(out, r...)
	}
	_, _ = w.Write(out) // the client may have left
}

func (l *MetadataStore) newest(w http.ResponseWriter, q *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(q.URL.Query().Get("topic"))
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	keys := map[string]item{}
	if strings.HasPrefix(q.URL.Query().Get("topic"), "keyed.") {
		for i, r := range t.records {
			n := 1 + int(r[0])
			key := string(r[1:n])
			if len(r) == n {
				delete(keys, key)
				continue
			}
			keys[key] = item{key, base64.StdEncoding.EncodeToString(r[n:]), int64(i)}
		}
	}
	items := []item{}
	for _, i := range keys {
		items = append(items, i)
	}
	writeJSONStatus(w, http.StatusOK, map[string]any{"items": items, "has-more": false, "end": t.end()})
}

func writeJSONStatus(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the client may have left
}
