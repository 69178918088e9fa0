package driver

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"primrosehook/judge"
	"primrosehook/reserver"
	"primrosehook/sender"
	"primrosehook/weigher"
)

// Limits of an answer, in bytes.
const (
	maxCacheBytes  = 64 << 20
	maxReasonBytes = 1 << 10
)

// answerLimits bound a report and a list of cache events.
var answerLimits = weigher.Limits{Bytes: 1 << 20, Values: 32 << 10}

// Client calls one engine over HTTP.
type Client struct {
	base   string
	http   *http.Client
	memory *reserver.Reserver
}

// Option sets one option of a client.
type Option func(*Client)

// WithMemory sets the budget that answers are charged to while they are decoded.
func WithMemory(m *reserver.Reserver) Option { return func(c *Client) { c.memory = m } }

// NewClient returns a client of the engine at an address of the form "IP:port".
func NewClient(addr string, client *http.Client, set ...Option) *Client {
	c := &Client{base: "http://" + addr, http: client}
	for _, f := range set {
		f(c)
	}
	return c
}

var _ Engine = (*Client)(nil)

// Generate implements Engine.
func (c *Client) Generate(ctx context.Context, request Request) (Stream, error) {
	return c.openStream(ctx, http.MethodPost, "/generate", request.ID, request)
}

// Resume implements Engine.
func (c *Client) Resume(ctx context.Context, id string, from int) (Stream, error) {
	return c.openStream(ctx, http.MethodGet, fmt.Sprintf("/generate/%s?from=%d", url.PathEscape(id), from), id, nil)
}

// Cancel implements Engine.
func (c *Client) Cancel(ctx context.Context, id string) error {
	return c.callJSON(ctx, http.MethodDelete, "/generate/"+url.PathEscape(id), nil, nil)
}

// Order implements Engine.
func (c *Client) Order(ctx context.Context, order Order) error {
	return c.callJSON(ctx, http.MethodPost, "/orders", order, nil)
}

// Report implements Engine.
func (c *Client) Report(ctx context.Context) (Report, error) {
	var report Report
	err := c.callJSON(ctx, http.MethodGet, "/report", nil, &report)
	return report, err
}

// Events implements Engine.
func (c *Client) Events(ctx context.Context, after int64) ([]CacheEvent, error) {
	var events []CacheEvent
	err := c.callJSON(ctx, http.MethodGet, fmt.Sprintf("/events?after=%d", after), nil, &events)
	return events, err
}

// Export implements Engine.
func (c *Client) Export(ctx context.Context, model string, prefix uint64) ([]byte, error) {
	p, err := c.do(ctx, http.MethodGet, cachePath(model, prefix), nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = p.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(p.Body, maxCacheBytes))
	if err != nil {
		return nil, judge.Unknown("engine", "KV cache export was cut", err)
	}
	return data, nil
}

// Import implements Engine.
func (c *Client) Import(ctx context.Context, model string, prefix uint64, data []byte) error {
	p, err := c.do(ctx, http.MethodPut, cachePath(model, prefix), bytes.NewReader(data))
	if err != nil {
		return err
	}
	return p.Body.Close()
}

func cachePath(model string, prefix uint64) string {
	return fmt.Sprintf("/cache/%s/%d", url.PathEscape(model), prefix)
}

func (c *Client) callJSON(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader = http.NoBody
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return judge.Invalid("encode", "engine request cannot be encoded")
		}
		body = bytes.NewReader(data)
	}
	p, err := c.do(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = p.Body.Close() }()
	if out == nil {
		return nil
	}
	if err := weigher.Decode(ctx, p.Body, answerLimits, c.memory, out); err != nil {
		return judge.Unknown("engine", "engine answer was cut", err)
	}
	return nil
}

// do sends a request and returns a refusal for every status but success. An
// engine that refuses a request states in the verdict header that it did not
// run; a request whose connection was never established did not run either.
func (c *Client) do(ctx context.Context, method, path string, body io.Reader) (*http.Response, error) {
	q, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, judge.Invalid("engine", "engine address is malformed")
	}
	p, err := sender.Do(c.http, q, "engine", "engine was not reached or gave no answer")
	if err != nil {
		return nil, err
	}
	if p.StatusCode < http.StatusMultipleChoices {
		return p, nil
	}
	defer func() { _ = p.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(p.Body, maxReasonBytes))
	return nil, sender.Refusal(p, "engine", string(bytes.TrimSpace(text)))
}

func (c *Client) openStream(ctx context.Context, method, path, id string, in any) (Stream, error) {
	var body io.Reader = http.NoBody
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, judge.Invalid("encode", "engine request cannot be encoded")
		}
		body = bytes.NewReader(data)
	}
	p, err := c.do(ctx, method, path, body)
	if err != nil {
		return nil, err
	}
	return &stream{ctx: ctx, client: c, id: id, body: p.Body, line: reserver.NewIncomplete(c.memory)}, nil
}
