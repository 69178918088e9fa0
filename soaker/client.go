package soaker

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"primrosehook/auditor"
)

const (
	// retries is how often a client comes back with a request.
	retries = 2
	// busyModels get busyShare of the requests.
	busyModels, busyShare = 4, 0.7
	// answerLimit bounds the body of an answer, in bytes.
	answerLimit = 1 << 20
)

// client sends one request after the other, on one connection for as long as that lasts.
type client struct {
	world  *world
	kind   kind
	number int
	random *rand.Rand

	conn     net.Conn
	reader   *bufio.Reader
	instance int
}

// loop sends a request a second until the context ends.
func (c *client) loop(ctx context.Context) {
	defer c.hangUp()
	c.world.sleep(ctx, lead-c.world.clock.Since(c.world.record.Begin))
	c.world.sleep(ctx, time.Duration(c.random.Int64N(int64(time.Second))))
	for n := 0; ctx.Err() == nil; n++ {
		begin := c.world.clock.Now()
		c.world.record.AddRequest(c.request(ctx, n))
		c.world.sleep(ctx, time.Second-c.world.clock.Since(begin))
	}
}

func (c *client) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close() // nothing is expected on it
		c.conn = nil
	}
}

// connected returns whether there is a connection that the instance has not closed.
func (c *client) connected() bool {
	if c.conn == nil {
		return false
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Millisecond)) // a failure shows in the read
	_, err := c.reader.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return true
	}
	if err == nil {
		c.world.record.AddRequest(auditor.Request{Kind: c.kind.name, Served: true, Attempts: []auditor.Attempt{{
			Instance: c.instance, Sent: c.world.clock.Now(), Done: c.world.clock.Now(), Complete: true, Wrong: "bytes on a connection without a request",
		}}})
	}
	c.hangUp()
	return false
}

// connect opens a connection to an instance that takes new ones, another one than before if it can.
func (c *client) connect(other int) error {
	c.instance = c.world.pick(c.random, other)
	return c.dial()
}

func (c *client) dial() error {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", c.world.address(1+c.instance), portFront), checkTimeout)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

// request sends a request and comes back with it as the answers allow.
func (c *client) request(ctx context.Context, n int) auditor.Request {
	q := auditor.Request{Kind: c.kind.name, Once: c.kind.once}
	text := fmt.Sprintf("c%d-%d", c.number, n)
	model := ""
	if c.kind.stream {
		model = modelName(c.random.IntN(c.world.models))
		if c.random.Float64() < busyShare {
			model = modelName(c.random.IntN(min(busyModels, c.world.models)))
		}
	}
	until := time.Now().Add(c.kind.budget)
	last := 0
	for try := 0; ; try++ {
		a := auditor.Attempt{ID: fmt.Sprintf("%s-%d-%x", text, try, c.world.options.Seed), Instance: c.instance}
		x := &exchange{client: c, attempt: &a, text: text, model: model, until: until, last: last}
		unread := x.do(try > 0)
		q.Attempts = append(q.Attempts, a)
		last = x.last
		q.Served = a.Complete && a.Status/100 == 2 && a.Wrong == ""
		left := time.Until(until)
		refused := a.Complete && (a.Status == 429 || a.Status == 503 || a.Status == 408 || a.Status == 421)
		again := refused || unread || !c.kind.once && (!a.Complete || a.Status >= 500)
		if q.Served || !again || try == retries || left <= 0 || ctx.Err() != nil {
			return q
		}
		if refused || unread {
			c.world.sleep(ctx, min(max(x.after, pollEvery), left/3))
		}
	}
}

// exchange is one attempt.
type exchange struct {
	client  *client
	attempt *auditor.Attempt
	// text is the body, which servers put into their answers.
	text, model string
	until       time.Time
	// last is the ID of the last event that arrived whole.
	last int
	// after is when the instance asks the client to come back.
	after time.Duration
}

// do makes the attempt. It reports whether the request was certainly not read.
func (x *exchange) do(fresh bool) bool {
	c, a := x.client, x.attempt
	other := -1
	if fresh {
		c.hangUp()
		other = c.instance
	}
	if !c.connected() {
		if err := c.connect(other); err != nil {
			a.Instance, a.Reason, a.Done = c.instance, err.Error(), c.world.clock.Now()
			return true
		}
	}
	x.send()
	return false
}

// probe makes the attempt at the client's instance on a new connection.
func (x *exchange) probe() {
	defer x.client.hangUp()
	if err := x.client.dial(); err != nil {
		x.attempt.Reason, x.attempt.Done = err.Error(), x.client.world.clock.Now()
		return
	}
	x.send()
}

// send sends the request and reads the answer.
func (x *exchange) send() {
	c, a := x.client, x.attempt
	a.Instance = c.instance
	_ = c.conn.SetDeadline(x.until) // a failure shows in the write
	if _, err := io.WriteString(c.conn, x.head()); err != nil {
		// Part of it may have been read.
		x.fail(err)
		return
	}
	a.Sent = c.world.clock.Now()
	p, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		x.fail(err)
		return
	}
	a.Status = p.StatusCode
	seconds, err := strconv.ParseFloat(p.Header.Get("Retry-After"), 64)
	if err == nil {
		x.after = time.Duration(seconds * float64(time.Second))
	}
	body, err := io.ReadAll(io.LimitReader(p.Body, answerLimit))
	_ = p.Body.Close() // it was read to its end or failed
	a.Wrong = x.judge(p, string(body))
	if err != nil {
		x.fail(err)
		return
	}
	a.Complete, a.Done = true, c.world.clock.Now()
	if a.Wrong == "" && p.StatusCode/100 == 2 {
		a.Wrong = x.missing(p, string(body))
	}
	if p.Close {
		c.hangUp()
	}
}

// fail ends the attempt by an error of the connection.
func (x *exchange) fail(err error) {
	x.attempt.Done, x.attempt.Reason = x.client.world.clock.Now(), err.Error()
	x.attempt.Cut = !errors.Is(err, os.ErrDeadlineExceeded)
	x.client.hangUp()
}

// head returns the request.
func (x *exchange) head() string {
	c := x.client
	var b strings.Builder
	fmt.Fprintf(&b, "POST /%s/1 HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n%s: %s\r\n%s: %d\r\n",
		c.kind.name, host, len(x.text), headerID, x.attempt.ID, headerDeadline, time.Until(x.until).Milliseconds())
	if x.model != "" {
		fmt.Fprintf(&b, "%s: %s\r\n%s: 646,43\r\n%s: 5c1e07a2:155,%08x:491\r\n", headerModel, x.model, headerTokens, headerPrefix, c.random.Uint32())
	}
	if x.last > 0 {
		fmt.Fprintf(&b, "%s: %d\r\n", headerLast, x.last)
	}
	fmt.Fprintf(&b, "\r\n%s", x.text)
	return b.String()
}

// judge returns what is wrong with an answer as far as it has arrived, and takes in its whole events.
func (x *exchange) judge(p *http.Response, body string) string {
	if id := p.Header.Get(headerID); id != "" && id != x.attempt.ID {
		return "the answer is that of request " + id
	}
	if p.StatusCode/100 != 2 {
		return ""
	}
	if p.Header.Get(headerSignature) == "" {
		return "the answer has no signature"
	}
	if x.model == "" {
		if want := x.want(p); !strings.HasPrefix(want, body) {
			return fmt.Sprintf("the body is %q, not %q", body, want)
		}
		return ""
	}
	blocks := strings.Split(body, "\n\n")
	for _, block := range blocks[:len(blocks)-1] {
		id, data, _ := strings.Cut(block, "\ndata: ")
		_, text, _ := strings.Cut(data, " ")
		if id != fmt.Sprintf("id: %d", x.last+1) || text != build+" "+x.text {
			return fmt.Sprintf("event %q follows event %d", block, x.last)
		}
		x.last++
	}
	return ""
}

// want returns the body of a plain answer.
func (x *exchange) want(p *http.Response) string {
	return p.Header.Get(headerSignature) + " ran " + x.text
}

// missing returns what a successful answer lacks whose framing is complete.
func (x *exchange) missing(p *http.Response, body string) string {
	switch {
	case x.model == "" && body != x.want(p):
		return fmt.Sprintf("the body ends as complete after %q", body)
	case x.model != "" && body != "" && !strings.HasSuffix(body, "\n\n"):
		return fmt.Sprintf("the stream ends as complete within the event after %d", x.last)
	case x.model != "" && x.last != events:
		// Nothing follows the last event if the client comes back after it.
		return fmt.Sprintf("the stream ends as complete after event %d of %d", x.last, events)
	}
	return ""
}
