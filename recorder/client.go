package recorder

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"primrosehook/judge"
	"primrosehook/reserver"
	"primrosehook/sender"
	"primrosehook/weigher"
)

// Limits of an answer, in bytes.
const (
	// maxReadAnswer has room for two records of the largest size, recordValues for the values of one.
	maxReadAnswer   = 4 << 20
	recordValues    = 8
	maxAppendAnswer = 1 << 10
)

// Client calls the log service over HTTP.
type Client struct {
	base   string
	http   *http.Client
	memory *reserver.Reserver
}

// Option sets one option of a client.
type Option func(*Client)

// WithMemory sets the budget that answers are charged to while they are decoded.
func WithMemory(m *reserver.Reserver) Option { return func(c *Client) { c.memory = m } }

// NewClient returns a client of the log service at a base URL such as
// "http://127.0.0.1:7000".
func NewClient(base string, client *http.Client, set ...Option) *Client {
	c := &Client{base: base, http: client}
	for _, f := range set {
		f(c)
	}
	return c
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	target := fmt.Sprintf("%s/streams/%s/records", c.base, url.PathEscape(stream))
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(data))
	if err != nil {
		return 0, &judge.Refusal{Verdict: judge.NotRun, Code: "log", Reason: "log address is malformed", Cause: err}
	}
	p, err := sender.Do(c.http, q, "log", "log append was not answered")
	if err != nil {
		return 0, err
	}
	defer drain(p.Body)
	if p.StatusCode != http.StatusOK {
		return 0, refusalOf(p)
	}
	var answer struct {
		Offset *int64 `json:"offset"`
	}
	err = json.NewDecoder(io.LimitReader(p.Body, maxAppendAnswer)).Decode(&answer)
	if err != nil || answer.Offset == nil {
		return 0, judge.Unknown("log", "log append answer was cut", err)
	}
	return *answer.Offset, nil
}

// refusalOf returns the refusal for a response that is not a success. Its
// status is always 503, since to callers any such response is an outage of the
// log.
func refusalOf(p *http.Response) *judge.Refusal {
	r := sender.Refusal(p, "log", fmt.Sprintf("log service answered status %d", p.StatusCode))
	r.Status = http.StatusServiceUnavailable
	return r
}

// Read implements Log. If the records are too large together it reads fewer.
func (c *Client) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Batch, error) {
	for {
		batch, err := c.readOnce(ctx, stream, from, limit, wait)
		if !errors.Is(err, weigher.ErrTooLarge) || limit <= 1 {
			return batch, err
		}
		limit = max(limit/fewerRecords, 1)
	}
}

// fewerRecords divides the number of records that are read once they are too large together.
const fewerRecords = 8

func (c *Client) readOnce(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Batch, error) {
	target := fmt.Sprintf("%s/streams/%s/records?from=%d&max=%d&wait=%d",
		c.base, url.PathEscape(stream), from, limit, wait.Milliseconds())
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return Batch{}, eris.Wrap(err, "log address is malformed")
	}
	p, err := sender.Do(c.http, q, "log", "log read was not answered")
	if err != nil {
		return Batch{}, err
	}
	defer drain(p.Body)
	if p.StatusCode != http.StatusOK {
		return Batch{}, refusalOf(p)
	}
	var batch Batch
	limits := weigher.Limits{Bytes: maxReadAnswer, Values: recordValues * (limit + 1)}
	if err := weigher.Decode(ctx, p.Body, limits, c.memory, &batch); err != nil {
		return Batch{}, eris.Wrap(err, "log read answer was cut")
	}
	return batch, nil
}

// drain reads the rest of a body, so that its connection can be reused. If more
// than 4 KB are left the connection is closed instead.
func drain(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, 4<<10)
	_ = body.Close()
}
