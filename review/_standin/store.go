package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is the interval at which servers write their registration.
const heartbeat = 1200 * time.Millisecond

// store is the platform's store: topics of one partition, whose records expire after keep.
type store struct {
	keep time.Duration

	mu     sync.Mutex
	topics map[string]*topic
	era    int64
	// awayUntil is until when calls get 503.
	awayUntil time.Time
	// beatAt is when each server last wrote its registration.
	beatAt map[string]time.Time
}

// topic keeps all of its records; those before first can't be read any more.
type topic struct {
	records []record
	first   int64
	changed chan struct{}
}

type record struct {
	at   time.Time
	data []byte
}

func runStore(args []string) int {
	flags := flag.NewFlagSet("store", flag.ExitOnError)
	listen := flags.String("listen", "", "address")
	keep := flags.Duration("keep", 20*time.Second, "time after which records expire")
	_ = flags.Parse(args)
	s := &store{keep: *keep, topics: map[string]*topic{}, beatAt: map[string]time.Time{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", s.call(s.append))
	mux.HandleFunc("GET /-/log-read", s.call(s.read))
	mux.HandleFunc("GET /-/log-newest", s.call(s.newest))
	// The ways of the operator and of the servers, and of the test itself.
	mux.HandleFunc("POST /put", s.call(s.put))
	mux.HandleFunc("POST /drill", s.drill)
	mux.HandleFunc("GET /state", s.state)
	go s.loopExpiry()
	fmt.Fprintln(os.Stderr, http.ListenAndServe(*listen, mux))
	return exitNotRun
}

// call wraps a handler of a call: it answers 503 while the store is away, and names the era.
func (s *store) call(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		s.mu.Lock()
		away := time.Now().Before(s.awayUntil)
		w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
		s.mu.Unlock()
		if away {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		h(w, q)
	}
}

// topic returns a topic without the records that have expired. s.mu must be held.
func (s *store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{changed: make(chan struct{})}
		s.topics[name] = t
	}
	for t.first < t.end() && time.Since(t.records[t.first].at) > s.keep {
		t.first++
	}
	return t
}

func (t *topic) end() int64 { return int64(len(t.records)) }

func (t *topic) add(data ...[]byte) {
	for _, d := range data {
		t.records = append(t.records, record{time.Now(), d})
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

func (s *store) append(w http.ResponseWriter, q *http.Request) {
	raw, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	var list [][]byte
	for len(raw) >= 4 {
		n := int(binary.BigEndian.Uint32(raw))
		if n > len(raw)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		list, raw = append(list, raw[4:4+n]), raw[4+n:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	name := q.URL.Query().Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	t := s.topic(name)
	if at := q.URL.Query().Get("at"); at != "" && at != strconv.FormatInt(t.end(), 10) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]int64{"end": t.end()})
		return
	}
	offset := t.end()
	t.add(list...)
	writeJSON(w, http.StatusOK, map[string]int64{"offset": offset, "end": t.end()})
}

func (s *store) read(w http.ResponseWriter, q *http.Request) {
	from, _ := strconv.ParseInt(q.URL.Query().Get("from"), 10, 64)
	wait, _ := strconv.ParseInt(q.URL.Query().Get("wait-ms"), 10, 64)
	s.mu.Lock()
	t := s.topic(q.URL.Query().Get("topic"))
	changed, empty := t.changed, from == t.end()
	s.mu.Unlock()
	if empty && wait > 0 {
		select {
		case <-changed:
		case <-q.Context().Done():
		case <-time.After(time.Duration(wait) * time.Millisecond):
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	t = s.topic(q.URL.Query().Get("topic"))
	if from < t.first || from > t.end() {
		writeJSON(w, http.StatusGone, map[string]int64{"first": t.first})
		return
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(t.end()))
	out = binary.BigEndian.AppendUint64(out, uint64(t.first))
	for _, r := range t.records[from:] {
		out = binary.BigEndian.AppendUint32(out, uint32(len(r.data)))
		out = append(out, r.data...)
	}
	_, _ = w.Write(out)
}

type item struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int64  `json:"offset"`
}

// newestOf returns the newest record of each key, also of records that have expired.
func (t *topic) newestOf() map[string]item {
	keys := map[string]item{}
	for i, r := range t.records {
		n := 1 + int(r.data[0])
		key := string(r.data[1:n])
		if len(r.data) == n {
			delete(keys, key)
			continue
		}
		keys[key] = item{key, base64.StdEncoding.EncodeToString(r.data[n:]), int64(i)}
	}
	return keys
}

func (s *store) newest(w http.ResponseWriter, q *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.URL.Query().Get("topic"))
	after := q.URL.Query().Get("after")
	items := []item{}
	for _, i := range t.newestOf() {
		if i.Key > after {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	const page = 500
	more := len(items) > page
	writeJSON(w, http.StatusOK, map[string]any{"items": items[:min(len(items), page)], "has-more": more, "end": t.end()})
}

// put writes a record of the operator or of a server.
func (s *store) put(w http.ResponseWriter, q *http.Request) {
	value, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	name, key := q.URL.Query().Get("topic"), q.URL.Query().Get("key")
	s.topic(name).add(keyed(key, value))
	if name == "keyed.servers" {
		s.beatAt[key] = time.Now()
	}
}

func keyed(key string, value []byte) []byte {
	return append(append([]byte{byte(len(key))}, key...), value...)
}

// loopExpiry removes the registrations of servers after three heartbeats of silence.
func (s *store) loopExpiry() {
	for range time.Tick(100 * time.Millisecond) {
		s.mu.Lock()
		for key, at := range s.beatAt {
			if time.Since(at) > 3*heartbeat {
				s.topic("keyed.servers").add(keyed(key, nil))
				delete(s.beatAt, key)
			}
		}
		s.mu.Unlock()
	}
}

// drill makes the store answer 503 for a time and come back from a copy that is some seconds
// old. What the operator and the servers have written since is written again.
func (s *store) drill(w http.ResponseWriter, q *http.Request) {
	away, _ := time.ParseDuration(q.URL.Query().Get("away"))
	age, _ := time.ParseDuration(q.URL.Query().Get("age"))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.awayUntil = time.Now().Add(away)
	for name, t := range s.topics {
		lost := slices.IndexFunc(t.records, func(r record) bool { return time.Since(r.at) < age })
		if lost < 0 {
			continue
		}
		again := t.records[lost:]
		t.records = t.records[:lost:lost]
		t.first = min(t.first, t.end())
		if name == "keyed.op" || name == "keyed.servers" {
			for _, r := range again {
				t.add(r.data)
			}
		}
	}
}

// state returns the first and the next offset of each topic.
func (s *store) state(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string][2]int64{}
	for name := range s.topics {
		t := s.topic(name)
		out[name] = [2]int64{t.first, t.end()}
	}
	writeJSON(w, http.StatusOK, map[string]any{"era": s.era, "topics": out})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
