package server

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"

	"primrosehook/driver"
	"primrosehook/judge"
	"primrosehook/reserver"
	"primrosehook/ruler"
)

// Paths of the generation routes.
const (
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
)

// ClientHeader names the branch or member on whose behalf the client sends a
// request. The OpenAI field "user" is used in its absence.
const ClientHeader = "Primrosehook-Caller"

// Bounds of a parsed request.
const (
	maxMessages    = 4096
	maxClientBytes = 128
)

// generationRequest is one parsed and validated request for generation.
type generationRequest struct {
	id      string
	chat    bool
	created time.Time
	// model is the name as the client sent it.
	model        string
	weights      driver.Weights
	client       string
	prompt       string
	maxTokens    int
	seed         int64
	stream       bool
	includeUsage bool
	digest       uint64
	deferred     bool
	// timeLimit is the time from created within which deferred work must
	// complete; 0 means no limit.
	timeLimit time.Duration
	// firstOffset is how many tokens the client has from an earlier stream.
	firstOffset  int
	resumeToken  *resumeToken
	rulesVersion int64
	decision     ruler.Decision
}

// content is the text of a message, given as a string or as a list of text
// parts.
type content string

// UnmarshalJSON implements json.Unmarshaler.
func (t *content) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] == '"' {
		return json.Unmarshal(data, (*string)(t))
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	for _, p := range parts {
		if p.Type != "text" {
			return fmt.Errorf("content part of type %q is not supported", p.Type)
		}
		*t += content(p.Text)
	}
	return nil
}

// stringList is a JSON string or a list of strings.
type stringList []string

// UnmarshalJSON implements json.Unmarshaler.
func (w *stringList) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] == '[' {
		return json.Unmarshal(data, (*[]string)(w))
	}
	var one *string
	if err := json.Unmarshal(data, &one); err != nil || one == nil {
		return err
	}
	*w = stringList{*one}
	return nil
}

type message struct {
	Role    string  `json:"role"`
	Content content `json:"content"`
}

// requestBody is the body of both generation routes. Fields that the engines do
// not support are ignored, as clients of the OpenAI API expect.
type requestBody struct {
	Model               string     `json:"model"`
	Messages            []message  `json:"messages"`
	Prompt              stringList `json:"prompt"`
	MaxTokens           *int       `json:"max_tokens"`
	MaxCompletionTokens *int       `json:"max_completion_tokens"`
	Seed                *int64     `json:"seed"`
	User                string     `json:"user"`
	Choices             *int       `json:"n"`
	Stop                stringList `json:"stop"`
	Stream              bool       `json:"stream"`
	Options             struct {
		Usage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// promptCopies is how often a prompt exists at a time: the body, the buffer in which it is decoded,
// the text of its messages, and the prompt. preparedCopies remain once it is parsed: the prompt and
// the request to the engine.
const promptCopies, preparedCopies = 4, 2

// copiesOfPrompt returns how often the body of a request for generation is charged.
func (s *Server) copiesOfPrompt() int64 {
	if s.ownMemory {
		return promptCopies
	}
	return 1
}

// maxBody returns the size of the largest body that is taken if a number of copies is charged.
func (s *Server) maxBody(copies int64) int64 {
	if s.ownMemory {
		return min(s.limits.MaxBodyBytes, s.memory.Largest()/copies)
	}
	return s.limits.MaxBodyBytes
}

// bodyMemory charges a body: the buffer that it is read into, which is doubled, and then its copies.
type bodyMemory struct {
	held   *reserver.Reservation
	copies int64
	// charged is what is reserved, size that of the buffer.
	charged, size int64
}

// grow charges a larger buffer, beside the one that it is copied from.
func (m *bodyMemory) grow(size int64) bool {
	if need := m.size + size; need > m.charged && !m.resize(need) {
		return false
	}
	m.size = size
	return true
}

// settle charges the buffer and the copies of a body that was read. It reports false if there is no
// memory.
func (m *bodyMemory) settle(size int64) bool {
	return m.resize(max(m.size, size) + size*(m.copies-1))
}

// resize changes what is held. It reports false if there is no memory.
func (m *bodyMemory) resize(to int64) bool {
	if to > m.charged && !m.held.Grow(to-m.charged) {
		return false
	}
	m.held.Shrink(m.charged - min(to, m.charged))
	m.charged = to
	return true
}

// firstBodyBytes is the first size of the buffer for a body of unknown length.
const firstBodyBytes = 4 << 10

// reserveMemory reserves memory for a number of copies of a body until the request ends. For a
// body of unknown length it reserves the largest size allowed, once.
func (s *Server) reserveMemory(c echo.Context, limit, copies int64) (*bodyMemory, error) {
	declared := c.Request().ContentLength
	m := &bodyMemory{copies: copies, charged: declared * copies, size: declared}
	if declared < 0 {
		m.charged, m.size = limit, min(firstBodyBytes, limit)
	}
	held, ok := s.memory.Acquire(reserver.Body, m.charged)
	if !ok {
		return nil, errBodies()
	}
	if a, ok := c.(*requestContext); ok {
		a.held = held
	}
	m.held = held
	return m, nil
}

// errBodies refuses a request since there is no memory for its body, or since that stalled and
// others need its memory.
func errBodies() error {
	return judge.Unavailable("bodies", "instance holds too many large requests", time.Second)
}

// countedBody records the progress of a body.
type countedBody struct {
	io.Reader
	held *reserver.Reservation
}

// Read implements io.Reader.
func (b countedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.held.Progress(n)
	return n, err
}

// errTooLarge refuses a request whose body is larger than is taken.
func errTooLarge(limit int64) error {
	return &judge.Refusal{
		Status: http.StatusRequestEntityTooLarge, Code: "body-size",
		Reason: fmt.Sprintf("request body is over %d bytes", limit),
	}
}

// readBody reads a request body within the limits of size and time, of which a number of copies
// are charged.
func (s *Server) readBody(c echo.Context, copies int64) ([]byte, error) {
	control := http.NewResponseController(c.Response())
	// Response recorders of tests do not support deadlines; a live connection
	// does. It also bounds the wait for the rest of a body that is refused.
	_ = control.SetReadDeadline(s.clock.Now().Add(s.limits.UploadTimeout))
	declared, limit := c.Request().ContentLength, s.maxBody(copies)
	if declared > limit {
		c.Response().Header().Set("Connection", "close")
		return nil, errTooLarge(limit)
	}
	memory, err := s.reserveMemory(c, limit, copies)
	if err != nil {
		return nil, err
	}
	held := memory.held
	// Any time that has passed makes the read that is waiting fail.
	held.OnReclaim(func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
	ctx := c.Request().Context()
	defer interruptReads(ctx, control)()
	source := countedBody{Reader: http.MaxBytesReader(c.Response(), c.Request().Body, limit), held: held}
	body, err := reserver.ReadAll(source, memory.size, limit, nil, memory.grow)
	if errors.Is(err, reserver.ErrMemory) || err == nil && !memory.settle(int64(len(body))) {
		c.Response().Header().Set("Connection", "close")
		return nil, errBodies()
	}
	if held.Ended() || err == nil && !held.Keep() {
		c.Response().Header().Set("Connection", "close")
		return nil, errBodies()
	}
	var size *http.MaxBytesError
	switch {
	case isGivenUp(ctx):
		return nil, stopRefusal(judge.NotRun)
	case err == nil:
		_ = control.SetReadDeadline(time.Time{})
		return body, nil
	case errors.As(err, &size):
		return nil, errTooLarge(limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &judge.Refusal{
			Status: http.StatusRequestTimeout, Code: "body-slow", RetryAfter: time.Second,
			Reason: fmt.Sprintf("request body did not arrive within %v", s.limits.UploadTimeout),
		}
	}
	return nil, judge.Invalid("body-cut", "request body was cut")
}

// parse parses and validates a body for a model of the rule list.
func (s *Server) parse(body []byte, chat bool, client string, list *ruler.List) (*generationRequest, error) {
	var p requestBody
	if err := decode(body, &p); err != nil {
		return nil, err
	}
	q := &generationRequest{
		chat: chat, model: p.Model, client: client, stream: p.Stream,
		includeUsage: p.Options.Usage, created: s.clock.Now(),
	}
	if q.client == "" {
		q.client = p.User
	}
	q.client = q.client[:min(len(q.client), maxClientBytes)]
	if err := q.buildPrompt(&p); err != nil {
		return nil, err
	}
	if err := q.checkLimits(&p, s.limits); err != nil {
		return nil, err
	}
	if err := q.resolveModel(list); err != nil {
		return nil, err
	}
	if p.Seed != nil {
		q.seed = *p.Seed
	}
	return q, nil
}

// decode decodes a body that must hold exactly one JSON value.
func decode(body []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	err := d.Decode(into)
	if err == nil {
		if _, err = d.Token(); errors.Is(err, io.EOF) {
			return nil
		}
		return judge.Invalid("json", "request body has text after its JSON value")
	}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) && typeErr.Field != "" {
		return judge.Invalid("json", fmt.Sprintf("field %q must not be a JSON %s", typeErr.Field, typeErr.Value))
	}
	return judge.Invalid("json", "request body is not valid JSON: "+truncate(err.Error()))
}

// truncate shortens text from a client, so that errors stay short.
func truncate(text string) string {
	const maxBytes = 200
	return strings.ToValidUTF8(text[:min(len(text), maxBytes)], "")
}

// buildPrompt sets the prompt from the prompt field or the messages.
func (q *generationRequest) buildPrompt(p *requestBody) error {
	if !q.chat {
		if len(p.Prompt) != 1 {
			return judge.Invalid("prompt", `"prompt" must be one string`)
		}
		q.prompt = p.Prompt[0]
		return nil
	}
	if len(p.Messages) == 0 || len(p.Messages) > maxMessages {
		return judge.Invalid("messages", fmt.Sprintf(`"messages" must hold 1 to %d messages`, maxMessages))
	}
	var text strings.Builder
	for i, m := range p.Messages {
		if m.Role == "" {
			return judge.Invalid("messages", fmt.Sprintf(`"messages[%d].role" is missing`, i))
		}
		text.WriteString(m.Role)
		text.WriteString(": ")
		text.WriteString(string(m.Content))
		text.WriteByte('\n')
	}
	q.prompt = text.String()
	return nil
}

// checkLimits sets maxTokens and checks the parameters of the generation.
func (q *generationRequest) checkLimits(p *requestBody, l Limits) error {
	q.maxTokens = l.DefaultMaxTokens
	for _, n := range []*int{p.MaxTokens, p.MaxCompletionTokens} {
		if n != nil {
			q.maxTokens = *n
		}
	}
	if q.maxTokens < 1 || q.maxTokens > l.MaxTokens {
		return judge.Invalid("max-tokens", fmt.Sprintf(`"max_tokens" must be 1 to %d`, l.MaxTokens))
	}
	if p.Choices != nil && *p.Choices != 1 {
		return judge.Invalid("n", `"n" must be 1`)
	}
	if len(p.Stop) > 0 {
		return judge.Invalid("stop", `"stop" is not supported by the engines`)
	}
	return nil
}

// resolveModel looks up the model. An adapter is named after a colon, as in
// "exit-summary:branch-041".
func (q *generationRequest) resolveModel(list *ruler.List) error {
	name, adapter, _ := strings.Cut(q.model, ":")
	m, ok := list.Model(name)
	if ok && adapter != "" {
		_, ok = m.Adapter(adapter)
	}
	if !ok {
		return &judge.Refusal{
			Status: http.StatusNotFound, Code: "model_not_found",
			Reason: fmt.Sprintf("model %q is not in the rule list", truncate(q.model)),
		}
	}
	q.weights = driver.Weights{Model: name, Adapter: adapter, Version: m.Version}
	return nil
}

// identify sets the id, the seed, if the client gave none, and the digest by
// which the quarantine recognises equal requests.
func (q *generationRequest) identify(id string) {
	q.id = id
	d := xxhash.New()
	_, _ = fmt.Fprintf(d, "%q %q %d %d\n", q.weights, q.model, q.maxTokens, q.seed)
	_, _ = d.WriteString(q.prompt)
	q.digest = d.Sum64()
	if q.seed == 0 {
		q.seed = seedOf(id)
	}
}

// situation returns the properties of a request that rules can match.
func (s *Server) situation(q *generationRequest) ruler.Situation {
	at := ruler.Situation{
		Kind: ruler.KindChat, Model: q.weights.Model, Adapter: q.weights.Adapter,
		Caller: q.client, Prompt: len(q.prompt),
	}
	if q.deferred {
		at.Kind = ruler.KindJob
	}
	if s.demand != nil {
		at.Demand, at.Copies = s.demand.Demand(at.Model)
	}
	return at
}
