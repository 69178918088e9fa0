package server

import (
	"context"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"
	"go.opentelemetry.io/otel/trace"

	"primrosehook/driver"
	"primrosehook/judge"
	"primrosehook/reserver"
	"primrosehook/tracer"
)

// IDHeader carries the request id, by which operators find the decision about
// it.
const IDHeader = "X-Request-Id"

// usage holds token counts as in the OpenAI API.
type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

// assistantMessage is the message of a completion. Its content is present even
// if it is empty.
type assistantMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type choice struct {
	Index   int               `json:"index"`
	Message *assistantMessage `json:"message,omitempty"`
	// Text is the answer on the completions route; Message is nil there.
	Text         *string `json:"text,omitempty"`
	FinishReason string  `json:"finish_reason"`
	Logprobs     *string `json:"logprobs"`
}

// completionObject is the body of an answer that is not streamed.
type completionObject struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   usage    `json:"usage"`
}

func (s *Server) chat(c echo.Context) error        { return s.handleGeneration(c, true) }
func (s *Server) completions(c echo.Context) error { return s.handleGeneration(c, false) }

// handleGeneration serves both generation routes.
func (s *Server) handleGeneration(c echo.Context, chat bool) error {
	s.counters.requests.Add(1)
	q, err := s.readGeneration(c, chat)
	if err != nil {
		return err
	}
	q.identify(s.ids.id())
	return s.respond(c, q)
}

// readGeneration reads and parses the body of a generation request.
func (s *Server) readGeneration(c echo.Context, chat bool) (*generationRequest, error) {
	copies := s.copiesOfPrompt()
	body, err := s.readBody(c, copies)
	if err != nil {
		return nil, err
	}
	if a, ok := c.(*requestContext); ok && copies > preparedCopies {
		defer a.held.Shrink(int64(len(body)) * (copies - preparedCopies))
	}
	_, list, err := s.ruleList()
	if err != nil {
		return nil, err
	}
	return s.parse(body, chat, c.Request().Header.Get(ClientHeader), list)
}

// respond generates the answer and sends it as a stream or as one JSON body.
func (s *Server) respond(c echo.Context, q *generationRequest) error {
	c.Response().Header().Set(IDHeader, q.id)
	ctx, span := s.startSpan(c, "request")
	var err error
	if q.stream {
		err = s.respondStream(ctx, c, q)
	} else {
		err = s.respondJSON(ctx, c, q)
	}
	tracer.EndSpan(span, err)
	return err
}

// startSpan starts the server span of a client's request, in the trace that its
// headers name.
func (s *Server) startSpan(c echo.Context, name string) (context.Context, trace.Span) {
	ctx := tracer.Extract(c.Request().Context(), c.Request().Header)
	return s.tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindServer))
}

// respondJSON generates the answer and sends it as one JSON body.
func (s *Server) respondJSON(ctx context.Context, c echo.Context, q *generationRequest) error {
	b := &answerBuffer{maxBytes: s.limits.MaxAnswerBytes, held: s.reserveAnswer(c)}
	if err := s.generate(ctx, q, b); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, b.object(q))
}

// answerBuffer is a sink that collects an answer of up to maxBytes bytes.
type answerBuffer struct {
	text         strings.Builder
	maxBytes     int64
	tokens       int
	promptTokens int
	finish       string
	// held is the memory of the text, charged in steps of answerStep before it grows.
	held    *reserver.Reservation
	charged int
}

// answerStep is the step in which the text of an answer is charged, answerCopies how many copies of
// it there are at a time: the text, the buffer that it grew from and the encoded answer.
const answerStep, answerCopies = 4 << 10, 3

// reserveAnswer returns the reservation for the answer of a request, which holds nothing yet. It is
// released at the end of the request.
func (s *Server) reserveAnswer(c echo.Context) *reserver.Reservation {
	a, ok := c.(*requestContext)
	if !ok || !s.ownMemory {
		return nil
	}
	a.answer, _ = s.memory.Acquire(reserver.Answer, 0) // nothing always fits
	return a.answer
}

func (*answerBuffer) setOrigin(string, string) {}
func (*answerBuffer) flush() error             { return nil }

// writeToken appends a token. It fails if the text exceeds maxBytes.
func (b *answerBuffer) writeToken(t driver.Token) error {
	if t.Text != "" || t.Finish == "" {
		b.tokens++
	}
	for b.text.Len()+len(t.Text) > b.charged {
		// The request was passed on: its answer is not cut off for memory.
		b.held.Force(answerStep * answerCopies)
		b.charged += answerStep
	}
	b.text.WriteString(t.Text)
	b.promptTokens, b.finish = t.PromptTokens, t.Finish
	if int64(b.text.Len()) > b.maxBytes {
		return &judge.Refusal{
			Verdict: judge.Ran, Status: http.StatusUnprocessableEntity, Code: "answer-size",
			Reason: "answer is too large to be held; ask for fewer tokens or for a stream",
		}
	}
	return nil
}

func (b *answerBuffer) object(q *generationRequest) completionObject {
	text := b.text.String()
	a := completionObject{
		ID: q.publicID(), Object: "text_completion", Created: q.created.Unix(), Model: q.model,
		Choices: []choice{{FinishReason: b.finish}},
		Usage:   usage{Prompt: b.promptTokens, Completion: b.tokens, Total: b.promptTokens + b.tokens},
	}
	if q.chat {
		a.Object = "chat.completion"
		a.Choices[0].Message = &assistantMessage{Role: "assistant", Content: text}
		return a
	}
	a.Choices[0].Text = &text
	return a
}

// publicID returns the request id with the prefix that the OpenAI API uses.
func (q *generationRequest) publicID() string {
	if q.chat {
		return "chatcmpl-" + q.id
	}
	return "cmpl-" + q.id
}
