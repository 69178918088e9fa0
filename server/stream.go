package server

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/labstack/echo/v4"

	"primrosehook/driver"
)

// respondStream sends the answer as server-sent events. Nothing is sent before
// the first token, so that a request that fails before it gets an error status.
func (s *Server) respondStream(ctx context.Context, c echo.Context, q *generationRequest) error {
	w := newEventWriter(s, c, q)
	err := s.generate(ctx, q, w)
	if err == nil {
		return w.clearDeadline()
	}
	if !c.Response().Committed || errors.Is(err, errClientGone) {
		return err
	}
	w.writeError(err)
	return nil
}

// eventWriter is a sink that writes server-sent events.
type eventWriter struct {
	server  *Server
	q       *generationRequest
	w       *echo.Response
	control *http.ResponseController
	// head and tail are the constant parts of a chunk, before and after its
	// text.
	head   []byte
	tail   string
	buffer []byte
	// resumeToken is the newest resume token, and announcedToken the last one
	// sent to the client.
	resumeToken    string
	announcedToken string
	sent           int
	promptTokens   int
	// deadlineSetAt is when the write deadline was last extended.
	deadlineSetAt time.Time
}

// chunkHeader holds the fields that all chunks of a stream share.
type chunkHeader struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
}

func newEventWriter(s *Server, c echo.Context, q *generationRequest) *eventWriter {
	e := &eventWriter{
		server: s, q: q, w: c.Response(), sent: q.firstOffset,
		control: http.NewResponseController(c.Response().Writer),
	}
	b := chunkHeader{ID: q.publicID(), Object: "text_completion", Created: q.created.Unix(), Model: q.model}
	field, tail := `"text":`, ``
	if q.chat {
		b.Object = "chat.completion.chunk"
		field, tail = `"delta":{"content":`, `}`
	}
	// Marshalling strings and numbers cannot fail.
	fields, _ := json.Marshal(b)
	e.head = slices.Concat(fields[:len(fields)-1], []byte(`,"choices":[{"index":0,`+field))
	e.tail = tail + `,"logprobs":null,"finish_reason":null}]}`
	return e
}

// setOrigin implements sink.
func (e *eventWriter) setOrigin(engine, generation string) {
	q := e.q
	t := resumeToken{
		Engine: engine, Generation: generation, Request: q.id, Seed: q.seed, Digest: q.digest,
		Model: q.model, Weights: q.weights, Chat: q.chat, Usage: q.includeUsage, Created: q.created.Unix(),
	}
	e.resumeToken = t.encode()
}

// bufferPool shares buffers between streams: a stream needs one only while it
// writes, not while it waits.
var bufferPool = sync.Pool{New: func() any { return new([]byte) }}

// writeToken implements sink.
func (e *eventWriter) writeToken(t driver.Token) error {
	shared := bufferPool.Get().(*[]byte)
	e.buffer = (*shared)[:0]
	err := e.writeChunk(t)
	*shared, e.buffer = e.buffer, nil
	bufferPool.Put(shared)
	return err
}

// writeChunk writes the events of one token.
func (e *eventWriter) writeChunk(t driver.Token) error {
	e.appendPreamble()
	if t.Text != "" || t.Finish == "" {
		e.sent++
		e.appendText(t.Text)
	}
	if t.Finish != "" {
		e.promptTokens = t.PromptTokens
		e.appendFinish(t.Finish)
	}
	return e.write()
}

// appendPreamble sends the response headers and appends the events before the
// first text, and a resume token if it has changed.
func (e *eventWriter) appendPreamble() {
	if !e.w.Committed {
		h := e.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-cache")
		h.Set(ResumeHeader, e.resumeToken)
		e.w.WriteHeader(http.StatusOK)
	}
	if e.announcedToken != e.resumeToken {
		e.buffer = append(e.buffer, ": resume "...)
		e.buffer = append(e.buffer, e.resumeToken...)
		e.buffer = append(e.buffer, "\n\n"...)
		e.announcedToken = e.resumeToken
	}
	if e.sent == 0 && e.q.chat {
		e.appendData(func(b []byte) []byte {
			b = append(b, e.head[:len(e.head)-len(`"content":`)]...)
			return append(b, `"role":"assistant","content":""},"logprobs":null,"finish_reason":null}]}`...)
		})
	}
}

// appendText appends the chunk of one token. The event id is the number of
// tokens that the client has received with it.
func (e *eventWriter) appendText(text string) {
	e.buffer = append(e.buffer, "id: "...)
	e.buffer = strconv.AppendInt(e.buffer, int64(e.sent), 10)
	e.buffer = append(e.buffer, '\n')
	e.appendData(func(b []byte) []byte {
		b = append(b, e.head...)
		b = appendQuoted(b, text)
		return append(b, e.tail...)
	})
}

// appendFinish appends the last chunk, the usage if it was requested, and the
// end marker.
func (e *eventWriter) appendFinish(reason string) {
	quoted, _ := json.Marshal(reason)
	start := e.head[:len(e.head)-len(`"text":`)]
	field := `"text":""`
	if e.q.chat {
		start = e.head[:len(e.head)-len(`"delta":{"content":`)]
		field = `"delta":{}`
	}
	e.appendData(func(b []byte) []byte {
		b = append(b, start...)
		b = append(b, field...)
		b = append(b, `,"logprobs":null,"finish_reason":`...)
		b = append(b, quoted...)
		return append(b, `}]}`...)
	})
	if e.q.includeUsage {
		e.appendUsage()
	}
	e.buffer = append(e.buffer, "data: [DONE]\n\n"...)
}

func (e *eventWriter) appendUsage() {
	chunk := completionObject{
		ID: e.q.publicID(), Object: "text_completion", Created: e.q.created.Unix(), Model: e.q.model,
		Choices: []choice{},
		Usage:   usage{Prompt: e.promptTokens, Completion: e.sent, Total: e.promptTokens + e.sent},
	}
	if e.q.chat {
		chunk.Object = "chat.completion.chunk"
	}
	body, _ := json.Marshal(chunk)
	e.appendData(func(b []byte) []byte { return append(b, body...) })
}

// appendData appends one data line whose content is appended by a function.
func (e *eventWriter) appendData(write func([]byte) []byte) {
	e.buffer = append(e.buffer, "data: "...)
	e.buffer = write(e.buffer)
	e.buffer = append(e.buffer, "\n\n"...)
}

// appendQuoted appends a JSON string. Most tokens need no escaping, and for
// these it allocates nothing.
func appendQuoted(b []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c >= utf8.RuneSelf || strings.IndexByte(`"\<>&`, c) >= 0 {
			quoted, _ := json.Marshal(text)
			return append(b, quoted...)
		}
	}
	b = append(b, '"')
	b = append(b, text...)
	return append(b, '"')
}

// write passes the buffer to the connection. A client that does not read for
// the time of the write deadline counts as disconnected.
func (e *eventWriter) write() error {
	e.extendDeadline()
	if _, err := e.w.Write(e.buffer); err != nil {
		return errClientGone
	}
	return nil
}

// flush implements sink.
func (e *eventWriter) flush() error {
	if !e.w.Committed {
		return nil
	}
	if e.control.Flush() != nil {
		return errClientGone
	}
	return nil
}

// deadlineSlackDivisor divides the time limit of a write into the share by
// which a deadline may be shorter. Setting a deadline costs a timer, which is
// too expensive for each token.
const deadlineSlackDivisor = 8

// extendDeadline extends the write deadline if enough time has passed.
func (e *eventWriter) extendDeadline() {
	s := e.server
	now := s.clock.Now()
	if now.Sub(e.deadlineSetAt) < s.limits.WriteTimeout/deadlineSlackDivisor {
		return
	}
	e.deadlineSetAt = now
	// Response recorders of tests do not support deadlines; a live connection
	// does.
	_ = e.control.SetWriteDeadline(now.Add(s.limits.WriteTimeout))
}

// clearDeadline removes the write deadline, so that the connection can serve
// further requests.
func (e *eventWriter) clearDeadline() error {
	_ = e.control.SetWriteDeadline(time.Time{})
	return nil
}

// writeError ends a started stream with an event in the error format of the
// OpenAI API. It states how many tokens were delivered; no end marker follows.
func (e *eventWriter) writeError(err error) {
	r := e.server.finalizeRefusal(err)
	e.server.counters.refused.Add(1)
	e.server.counters.codes.Add(r.Code, 1)
	f := newErrorBody(r)
	f.Error.Delivered = e.sent
	body, _ := json.Marshal(f)
	e.appendData(func(b []byte) []byte { return append(b, body...) })
	_ = e.write()
	_ = e.flush()
	_ = e.clearDeadline()
}
