package faker

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"primrosehook/judge"
	"primrosehook/recorder"
)

// Size limits of the log.
const (
	// maxRecord is the largest record, in bytes.
	maxRecord = 1 << 20
	// maxRead is the largest number of records in one answer.
	maxRead = 4096
)

// LogSettings are the log's limits. Zero means no limit.
type LogSettings struct {
	// Records and Age are the retention limits of each stream.
	Records int
	Age     time.Duration
	// Rate is the limit of appends per second over all streams, with a burst of
	// a tenth of it.
	Rate float64
}

// LogFaults are the faults of the log.
type LogFaults struct {
	Faults
	// Streams are the faults of individual streams, which replace the common
	// ones.
	Streams map[string]Faults `json:"streams,omitempty"`
}

func (f LogFaults) of(stream string) Faults {
	if own, ok := f.Streams[stream]; ok {
		return own
	}
	return f.Faults
}

// LogStats counts the calls to the log and the bytes appended.
type LogStats struct {
	Appends int64 `json:"appends"`
	Refused int64 `json:"refused"`
	Bytes   int64 `json:"bytes"`
	Reads   int64 `json:"reads"`
	// Streams counts the appends to each stream.
	Streams map[string]int64 `json:"streams"`
}

// Log stands in for the platform's log service.
type Log struct {
	*control[LogFaults]
	settings LogSettings
	clock    clockwork.Clock
	limit    *rate.Limiter

	mu      sync.Mutex
	streams map[string]*stream
	stats   LogStats
}

type stream struct {
	first    int64
	records  []timedRecord
	appended chan struct{}
}

// timedRecord is a record with the time of its append.
type timedRecord struct {
	recorder.Record
	at time.Time
}

// NewLog returns an empty log.
func NewLog(settings LogSettings, set ...Option) *Log {
	limit := rate.NewLimiter(rate.Inf, 0)
	if settings.Rate > 0 {
		limit = rate.NewLimiter(rate.Limit(settings.Rate), max(1, int(settings.Rate/10)))
	}
	return &Log{
		control:  newControl[LogFaults](),
		settings: settings,
		clock:    newOptions(set).clock,
		limit:    limit,
		streams:  map[string]*stream{},
		stats:    LogStats{Streams: map[string]int64{}},
	}
}

var _ recorder.Log = (*Log)(nil)

// Append implements recorder.Log.
func (l *Log) Append(ctx context.Context, name string, data []byte) (int64, error) {
	if err := l.applyFaults(ctx, l.clock, func(f LogFaults) Faults { return f.of(name) }); err != nil {
		return 0, err
	}
	if len(data) > maxRecord {
		return 0, judge.Invalid("size", "record is too large")
	}
	if !l.limit.AllowN(l.clock.Now(), 1) {
		l.mu.Lock()
		l.stats.Refused++
		l.mu.Unlock()
		r := judge.Unavailable("rate", "log takes no more appends this second", time.Second)
		r.Status = http.StatusTooManyRequests
		return 0, r
	}
	offset := l.add(name, data)
	if l.consumeLostReply(name) {
		return 0, judge.Unknown(codeNoAnswer, "answer to the append was lost", nil)
	}
	return offset, nil
}

func (l *Log) add(name string, data []byte) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	offset := s.next()
	r := recorder.Record{Offset: offset, Data: append([]byte(nil), data...)}
	s.records = append(s.records, timedRecord{Record: r, at: l.clock.Now()})
	l.expire(s)
	close(s.appended)
	s.appended = make(chan struct{})
	l.stats.Appends++
	l.stats.Bytes += int64(len(data))
	l.stats.Streams[name]++
	return offset
}

func (l *Log) consumeLostReply(name string) bool {
	lost := false
	l.update(func(f *LogFaults) {
		own, ok := f.Streams[name]
		if !ok {
			own = f.Faults
		}
		if own.LoseReplies == 0 {
			return
		}
		lost = true
		if own.LoseReplies > 0 {
			own.LoseReplies--
		}
		if !ok {
			f.Faults = own
			return
		}
		// Callers of Faults may be reading the map, so it is copied.
		fresh := map[string]Faults{}
		for n, other := range f.Streams {
			fresh[n] = other
		}
		fresh[name] = own
		f.Streams = fresh
	})
	return lost
}

// Read implements recorder.Log.
func (l *Log) Read(ctx context.Context, name string, from int64, limit int, wait time.Duration) (recorder.Batch, error) {
	timer := l.clock.NewTimer(wait)
	defer timer.Stop()
	for {
		// A waiting read is also hit by an outage that begins meanwhile.
		_, changed := l.current()
		if err := l.applyFaults(ctx, l.clock, func(f LogFaults) Faults { return f.of(name) }); err != nil {
			return recorder.Batch{}, err
		}
		batch, appended := l.batch(name, from, limit)
		if len(batch.Records) > 0 || wait <= 0 {
			return batch, nil
		}
		select {
		case <-appended:
		case <-changed:
		case <-timer.Chan():
			return batch, nil
		case <-ctx.Done():
			return recorder.Batch{}, judge.Unknown(codeNoAnswer, "read was given up", ctx.Err())
		}
	}
}

func (l *Log) batch(name string, from int64, limit int) (recorder.Batch, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stats.Reads++
	s := l.stream(name)
	l.expire(s)
	start := max(from, s.first)
	end := min(s.next(), start+int64(min(limit, maxRead)))
	batch := recorder.Batch{First: s.first, Next: s.next()}
	for o := start; o < end; o++ {
		batch.Records = append(batch.Records, s.records[o-s.first].Record)
	}
	return batch, s.appended
}

// Trim drops the records of a stream before an offset, as retention does.
func (l *Log) Trim(name string, before int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.drop(int(min(before, s.next()) - s.first))
}

// Stats returns the counts.
func (l *Log) Stats() LogStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	stats := l.stats
	stats.Streams = map[string]int64{}
	for n, c := range l.stats.Streams {
		stats.Streams[n] = c
	}
	return stats
}

func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// expire drops the records that exceed the retention limits.
func (l *Log) expire(s *stream) {
	if l.settings.Records > 0 {
		s.drop(len(s.records) - l.settings.Records)
	}
	if l.settings.Age <= 0 {
		return
	}
	oldest := l.clock.Now().Add(-l.settings.Age)
	count := 0
	for count < len(s.records) && s.records[count].at.Before(oldest) {
		count++
	}
	s.drop(count)
}

func (s *stream) next() int64 { return s.first + int64(len(s.records)) }

func (s *stream) drop(count int) {
	if count <= 0 {
		return
	}
	clear(s.records[:count])
	s.records = s.records[count:]
	s.first += int64(count)
}

// Handler returns the log's HTTP API.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}/records", l.serveAppend)
	mux.HandleFunc("GET /streams/{stream}/records", l.serveRead)
	mux.HandleFunc("DELETE /streams/{stream}/records", l.serveTrim)
	mux.HandleFunc("GET /stats/log", l.serveStats)
	l.mount(mux, "/faults/log")
	return mux
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecord))
	if err != nil {
		writeNotRun(w, http.StatusRequestEntityTooLarge, "record is too large or was cut")
		return
	}
	offset, err := l.Append(r.Context(), r.PathValue("stream"), data)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, map[string]int64{"offset": offset})
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	limit, _ := strconv.Atoi(r.URL.Query().Get("max"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	batch, err := l.Read(r.Context(), r.PathValue("stream"), from, limit, time.Duration(wait)*time.Millisecond)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, batch)
}

func (l *Log) serveTrim(w http.ResponseWriter, r *http.Request) {
	before, err := strconv.ParseInt(r.URL.Query().Get("before"), 10, 64)
	if err != nil {
		writeNotRun(w, http.StatusBadRequest, "offset is malformed")
		return
	}
	l.Trim(r.PathValue("stream"), before)
	w.WriteHeader(http.StatusNoContent)
}

func (l *Log) serveStats(w http.ResponseWriter, _ *http.Request) { writeJSON(w, l.Stats()) }
