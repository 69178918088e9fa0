// Package forwarder is the adapter to plain services such as survey forms,
// receipts and bookings. It sends a call once and reports the result; the
// caller decides from the verdict whether to retry. docs/PROTOCOLS.md describes
// the HTTP form.
package forwarder

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"net/url"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"primrosehook/judge"
	"primrosehook/reserver"
	"primrosehook/sender"
)

// Size limits, in bytes.
const (
	// MaxBody is the largest body of a call or a response, in bytes.
	MaxBody = 4 << 20
	// firstBytes is the first step in which an answer of unknown length is charged and allocated.
	firstBytes = 4 << 10
	// maxTurn is how long an answer waits for memory before it is read without: a fifth of the
	// standard time limit of a call.
	maxTurn       = 2 * time.Second
	maxLoadReport = 64 << 10
)

// Call is one request to a plain service.
type Call struct {
	Method string
	// Path is the escaped path with its leading slash; Query has no leading
	// "?".
	Path   string
	Query  string
	Header http.Header
	Body   []byte
	// Held is what the answer's body is charged to before it is read, nil for nothing. Its holder
	// releases it.
	Held *reserver.Reservation
}

// Answer is the response of a service, whatever its status.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Load is the load that a service reports.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Slots is the number of calls that run at once; zero means no limit.
	Slots int `json:"slots"`
}

// Service is the interface to one plain service.
type Service interface {
	// Call sends a call once. It returns any response of the service unchanged,
	// unless the service states that the call did not run. The error's verdict
	// says whether the call may have run.
	Call(ctx context.Context, call Call) (Answer, error)
	// Load returns the load that the service reports.
	Load(ctx context.Context) (Load, error)
}

// Client calls one plain service over HTTP.
type Client struct {
	addr, base string
	http       *http.Client
	clock      clockwork.Clock
}

// Option sets one option of a client.
type Option func(*Client)

// WithClock sets the clock; without it a client uses the real one.
func WithClock(clock clockwork.Clock) Option { return func(c *Client) { c.clock = clock } }

// NewClient returns a client of the service at an address of the form
// "IP:port".
func NewClient(addr string, client *http.Client, set ...Option) *Client {
	c := &Client{addr: addr, base: "http://" + addr, http: client, clock: clockwork.NewRealClock()}
	for _, f := range set {
		f(c)
	}
	return c
}

var _ Service = (*Client)(nil)

// Call implements Service.
func (c *Client) Call(ctx context.Context, call Call) (Answer, error) {
	q, err := c.newRequest(ctx, call)
	if err != nil {
		return Answer{}, err
	}
	p, err := sender.Do(c.http, q, "service", "service was not reached or gave no answer")
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = p.Body.Close() }()
	if refusal, ok := refusalOf(p); ok {
		return Answer{}, refusal
	}
	first := firstRead(q.Method, p)
	turn, cancel := context.WithTimeout(ctx, maxTurn)
	defer cancel()
	call.Held.AwaitTurn(turn, first, nil)
	body, err := reserver.ReadAll(io.LimitReader(p.Body, MaxBody+1), first, MaxBody+1, call.Held, func(n int64) bool {
		call.Held.AwaitTurn(turn, n, nil)
		return true
	})
	if err == nil && sender.EndsWithConnection(p) {
		// A service that crashes ends its connections too, but takes no new one.
		err = sender.Probe(ctx, c.clock, c.addr)
	}
	if err != nil || len(body) > MaxBody {
		// Another attempt may share the reservation.
		call.Held.Shrink(int64(cap(body)))
	}
	if err != nil {
		return Answer{}, judge.Unknown("service", "answer of the service was cut", err)
	}
	if len(body) > MaxBody {
		r := judge.Unknown("service", "answer of the service is too large", nil)
		r.Verdict = judge.Ran
		return Answer{}, r
	}
	return Answer{Status: p.StatusCode, Header: StripHopHeaders(p.Header), Body: body}, nil
}

// firstRead returns the first size of the buffer for the body of an answer. An answer to HEAD
// declares the length of a body that it does not have.
func firstRead(method string, p *http.Response) int64 {
	switch {
	case method == http.MethodHead || p.StatusCode == http.StatusNotModified:
		return 0
	case p.ContentLength < 0:
		return firstBytes
	}
	return min(p.ContentLength, MaxBody+1)
}

func (c *Client) newRequest(ctx context.Context, call Call) (*http.Request, error) {
	if len(call.Body) > MaxBody {
		r := judge.Invalid("size", "body is too large")
		r.Status = http.StatusRequestEntityTooLarge
		return nil, r
	}
	target, err := url.Parse(c.base + call.Path)
	// A path such as "@other/" would change the host.
	if err != nil || !strings.HasPrefix(call.Path, "/") || "http://"+target.Host != c.base {
		return nil, judge.Invalid("path", "path is malformed")
	}
	target.RawQuery = call.Query
	q, err := http.NewRequestWithContext(ctx, call.Method, target.String(), bytes.NewReader(call.Body))
	if err != nil {
		return nil, judge.Invalid("method", "method is malformed")
	}
	q.Header = StripHopHeaders(call.Header)
	// An unset header would make net/http send its own user agent.
	if q.Header.Get("User-Agent") == "" {
		q.Header.Set("User-Agent", "")
	}
	return q, nil
}

// refusalOf returns the refusal if the service states, by the verdict header or
// by status 429, that the request was refused. Any other response is the answer
// of the service.
func refusalOf(p *http.Response) (*judge.Refusal, bool) {
	limited := p.StatusCode == http.StatusTooManyRequests
	judged := p.StatusCode >= http.StatusBadRequest && p.Header.Get(judge.Header) != ""
	if !limited && !judged {
		return nil, false
	}
	return sender.Refusal(p, "service", fmt.Sprintf("service refused with status %d", p.StatusCode)), true
}

// hopHeaders are the hop-by-hop headers, in canonical form.
var hopHeaders = [...]string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// StripHopHeaders returns a copy of a header without its hop-by-hop fields. The copy is
// never nil.
func StripHopHeaders(header http.Header) http.Header {
	out := header.Clone()
	if out == nil {
		return http.Header{}
	}
	for _, line := range header.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	// Content-Length is set for the forwarded body, and that body is always
	// sent without waiting for 100 Continue.
	out.Del("Content-Length")
	out.Del("Expect")
	return out
}

// Load implements Service.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var load Load
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/load", http.NoBody)
	if err != nil {
		return load, judge.Invalid("service", "service address is malformed")
	}
	p, err := sender.Do(c.http, q, "service", "service was not reached or gave no answer")
	if err != nil {
		return load, err
	}
	defer func() { _ = p.Body.Close() }()
	if p.StatusCode != http.StatusOK {
		return load, sender.Refusal(p, "service", fmt.Sprintf("service answered status %d", p.StatusCode))
	}
	if err := json.NewDecoder(io.LimitReader(p.Body, maxLoadReport)).Decode(&load); err != nil {
		return load, judge.Unknown("service", "answer of the service was cut", err)
	}
	return load, nil
}
