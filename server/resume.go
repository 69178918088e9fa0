package server

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"
	"github.com/vmihailenco/msgpack/v5"

	"primrosehook/driver"
	"primrosehook/explainer"
	"primrosehook/framer"
	"primrosehook/judge"
	"primrosehook/lister"
)

// ResumeHeader carries the token by which any instance can resume a stream. A
// comment in the stream replaces the token when the engine changes.
const ResumeHeader = "Primrosehook-Resume"

// maxResumeTokenBytes is the longest encoded resume token.
const maxResumeTokenBytes = 2048

// resumeToken is the decoded content of a resume token: where the answer is
// generated and how to generate it again. It identifies the engine by its name
// in the instance list and never by an address, so that a forged token cannot
// direct requests elsewhere. The id of the generation is random, so that it
// cannot be guessed.
type resumeToken struct {
	Engine     string `msgpack:"e"`
	Generation string `msgpack:"g"`
	Request    string `msgpack:"r"`
	Seed       int64  `msgpack:"s"`
	// Digest is the digest of the request. A replay must have the same digest,
	// so that it continues the same answer.
	Digest  uint64         `msgpack:"d"`
	Model   string         `msgpack:"m"`
	Weights driver.Weights `msgpack:"w"`
	Chat    bool           `msgpack:"c"`
	Usage   bool           `msgpack:"u"`
	Created int64          `msgpack:"t"`
}

// encode returns the token as text, with a checksum that detects damage.
func (t resumeToken) encode() string {
	body, err := msgpack.Marshal(&t)
	if err != nil {
		return ""
	}
	sum := strconv.FormatUint(xxhash.Sum64(body), 36)
	return base64.RawURLEncoding.EncodeToString(body) + "." + sum
}

func decodeResumeToken(text string) (*resumeToken, error) {
	malformed := judge.Invalid("token", "resume token is malformed")
	if len(text) > maxResumeTokenBytes {
		return nil, malformed
	}
	for i := range text {
		if text[i] != '.' {
			continue
		}
		body, err := base64.RawURLEncoding.DecodeString(text[:i])
		if err != nil || strconv.FormatUint(xxhash.Sum64(body), 36) != text[i+1:] {
			return nil, malformed
		}
		var t resumeToken
		if framer.Decode(body, &t) != nil {
			return nil, malformed
		}
		return &t, nil
	}
	return nil, malformed
}

// deliveredTokens returns how many tokens the client has, from the query
// parameter "from" or the id of the last event.
func deliveredTokens(c echo.Context) (int, error) {
	text := c.Request().Header.Get("Last-Event-ID")
	if from := c.QueryParam("from"); from != "" {
		text = from
	}
	if text == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		return 0, judge.Invalid("from", "the last event id must be a number of tokens from 0")
	}
	return n, nil
}

// resume continues a stream from the engine that generates it.
func (s *Server) resume(c echo.Context) error {
	s.counters.requests.Add(1)
	t, err := decodeResumeToken(c.Param("token"))
	if err != nil {
		return err
	}
	q := &generationRequest{
		chat: t.Chat, model: t.Model, weights: t.Weights, includeUsage: t.Usage,
		digest: t.Digest, maxTokens: s.limits.DefaultMaxTokens,
	}
	return s.continueStream(c, q, t)
}

// replay continues a stream. If its generation is lost, it generates the rest
// again from the original request.
func (s *Server) replay(c echo.Context) error {
	s.counters.requests.Add(1)
	t, err := decodeResumeToken(c.Param("token"))
	if err != nil {
		return err
	}
	q, err := s.readGeneration(c, t.Chat)
	if err != nil {
		return err
	}
	// The rule list may name another version by now; the rest must come from
	// the version that generated the first part.
	q.weights.Version = t.Weights.Version
	q.identify(t.Request)
	if q.digest != t.Digest {
		return judge.Invalid("token", "resume token belongs to another request")
	}
	return s.continueStream(c, q, t)
}

func (s *Server) continueStream(c echo.Context, q *generationRequest, t *resumeToken) error {
	from, err := deliveredTokens(c)
	if err != nil {
		return err
	}
	q.id, q.seed, q.firstOffset, q.resumeToken = t.Request, t.Seed, from, t
	q.created, q.stream = time.Unix(t.Created, 0), true
	return s.respond(c, q)
}

// resume continues the generation that the resume token names. It acquires no
// slot on the engine, since the generation has one. Without the prompt no other
// engine can take over, so it waits as long as the engine may be at work.
func (g *generation) resume(ctx context.Context) error {
	s, token := g.server, g.request.resumeToken
	record := explainer.Attempt{Target: token.Engine, Offset: g.sent}
	lost := &judge.Refusal{
		Verdict: judge.MayHaveRun, Status: http.StatusGone, Code: "stream-lost",
		Reason: fmt.Sprintf("the engine is gone; POST the request to this URL to go on after token %d", g.sent),
	}
	err := error(lost)
	if i, ok := s.findInstance(lister.KindEngine, token.Engine); ok {
		a := &attempt{generation: g, engine: s.engines(i.Addr), generationID: token.Generation, engineName: token.Engine, start: s.clock.Now()}
		err = a.resumeAfter(ctx, lost)
		for a.stalled && g.request.prompt == "" {
			err = a.resumeAfter(ctx, err)
		}
		if err != nil && !errors.Is(err, errClientGone) {
			err = lost
		}
		g.endAttempt(a, err)
	}
	if err != nil {
		record.Code, record.Reason = judge.As(err).Code, err.Error()
	}
	g.explanation.Attempts = append(g.explanation.Attempts, record)
	return err
}

// findInstance returns the known instance with a name.
func (s *Server) findInstance(kind, name string) (lister.Instance, bool) {
	if s.view == nil {
		return lister.Instance{}, false
	}
	for _, i := range s.view.Instances(kind) {
		if i.Name == name {
			return i, true
		}
	}
	return lister.Instance{}, false
}
