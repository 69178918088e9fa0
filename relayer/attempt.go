package relayer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"go.uber.org/zap"

	"primrosehook/balancer"
	"primrosehook/connector"
	"primrosehook/judge"
	"primrosehook/matcher"
	"primrosehook/streamer"
)

const (
	// answerLimit bounds an answer that is not a stream, in bytes.
	answerLimit = 16 << 20
	// readSize is that of a read from a stream, in bytes.
	readSize = 4 << 10
	// late is how long after the end of the time an answer is still awaited.
	late = 100 * time.Millisecond
)

// attempt sends the request to one server. It reports whether the request may
// be sent to another one; if not, the client has its answer.
func (x *exchange) attempt(l *balancer.Lease) bool {
	now := x.clock.Now()
	x.tried(l)
	ctx, cancel := context.WithCancel(x.context)
	defer cancel()
	ctx, span := x.tracer.Start(ctx, "attempt")
	defer span.End()
	w := x.watch(l, cancel)
	defer w.stop()
	answer, err := l.Pool.Do(ctx, connector.Request{
		Method: x.request.Method, Target: x.request.RequestURI, Host: x.request.Host, Body: x.body,
		Header: x.codec.Forward(x.request.Header, Send{
			Server: l.ID, Left: x.until.Sub(now), Priority: x.route.Priority, LastEvent: x.meta.LastEvent,
		}),
	}, x.own)
	if err != nil {
		return x.broken(l, err)
	}
	w.heard(false)
	x.sends++
	facts := x.codec.Answer(answer.StatusCode, answer.Header)
	if facts.KeepAlive > 0 {
		l.Pool.KeepIdle(facts.KeepAlive)
	}
	if x.route.Kind == matcher.Streaming && answer.StatusCode == http.StatusOK && facts.Signed && !facts.Encoded {
		return x.stream(l, answer, w)
	}
	return x.whole(l, answer, facts)
}

// own reports whether an answer names this request.
func (x *exchange) own(_ int, h http.Header) bool {
	f := x.codec.Answer(http.StatusOK, h)
	return f.ID == x.meta.ID || f.ID == "" && f.Refused
}

// broken judges a request whose connection broke before the answer's head.
func (x *exchange) broken(l *balancer.Lease, err error) bool {
	verdict := judge.Of(err)
	gone := x.request.Context().Err() != nil
	l.Done(!gone)
	switch {
	case verdict != judge.NotRun:
		x.sends++
		x.mayRun = true
	case !gone:
		l.Unreachable()
	}
	x.became(verdict.String() + ": " + cause(err))
	if gone {
		x.giveUp("client left")
		return false
	}
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		x.suspects.Lost(l.Life)
	case verdict != judge.NotRun && connector.Broken(errors.Unwrap(err)):
		x.suspects.Broke(x.digest, l.Life)
	}
	if verdict == judge.NotRun || x.route.Repeatable() {
		return true
	}
	x.giveUp("attempt failed")
	return false
}

// whole takes an answer that is not a stream.
func (x *exchange) whole(l *balancer.Lease, a *connector.Answer, f Facts) bool {
	body, err := io.ReadAll(io.LimitReader(a.Body, answerLimit))
	a.Close(err == nil && len(body) < answerLimit)
	gone := x.request.Context().Err() != nil
	good := err == nil && f.Signed && !f.Encoded
	l.Done(!gone && (!good || a.StatusCode >= http.StatusInternalServerError) && !f.Refused)
	if gone {
		x.giveUp("client left")
		return false
	}
	if f.Absent {
		l.Absent()
	}
	if f.Refused {
		x.became("refused with " + strconv.Itoa(a.StatusCode))
		return true
	}
	x.mayRun = true
	promise := a.StatusCode == http.StatusServiceUnavailable || a.StatusCode == http.StatusTooManyRequests ||
		a.StatusCode == http.StatusRequestTimeout || a.StatusCode == http.StatusMisdirectedRequest
	bad := !good || promise || a.StatusCode >= http.StatusInternalServerError
	if bad {
		x.became(badAnswer(a.StatusCode, f, err))
		if x.route.Repeatable() && x.sends < x.route.Attempts {
			return true
		}
	}
	if !good || promise || x.headed {
		x.giveUp("bad answer", zap.Int("status", a.StatusCode))
		return false
	}
	x.suspects.Finished(x.digest)
	if !bad {
		x.became("answered with " + strconv.Itoa(a.StatusCode))
	}
	x.meter.Observe(MetricFirst+x.route.Kind.String(), x.clock.Since(x.started))
	defer x.answered(a.StatusCode)
	x.copyHead(a)
	x.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.writer.WriteHeader(a.StatusCode)
	if _, err := x.writer.Write(body); err != nil {
		x.log.Info("relay: client left", zap.Error(err))
	}
	return false
}

func (x *exchange) copyHead(a *connector.Answer) {
	h := x.writer.Header()
	for name, values := range x.codec.Back(a.Header) {
		h[name] = values
	}
}

// stream passes events on as they come. It reports whether the stream may go
// on at another server.
func (x *exchange) stream(l *balancer.Lease, a *connector.Answer, w *watch) bool {
	events := streamer.After(x.meta.LastEvent)
	buffer := make([]byte, readSize)
	first := false
	var err error
	for {
		var n int
		n, err = a.Body.Read(buffer)
		if n > 0 {
			out, bad := events.Push(buffer[:n])
			if bad != nil {
				err = bad
				break
			}
			w.heard(len(out) > 0)
			if len(out) > 0 {
				if !first {
					first = true
					l.First()
				}
				x.meta.LastEvent = events.Last()
				if !x.write(a, out) {
					a.Close(false)
					l.Done(false)
					x.giveUp("client left")
					return false
				}
			}
		}
		if err != nil {
			break
		}
	}
	if errors.Is(err, io.EOF) {
		a.Close(true)
		l.Done(false)
		x.suspects.Finished(x.digest)
		if n, err := strconv.Atoi(events.Last()); err == nil {
			l.Whole(n)
		}
		if rest := events.Rest(); len(rest) > 0 || !x.headed {
			x.write(a, rest)
		}
		x.became("stream ended")
		x.answered(a.StatusCode)
		return false
	}
	return x.cut(l, a, err)
}

// cut judges a stream that broke off.
func (x *exchange) cut(l *balancer.Lease, a *connector.Answer, err error) bool {
	a.Close(false)
	gone := x.request.Context().Err() != nil
	l.Done(!gone && x.clock.Now().Before(x.until))
	x.mayRun = true
	x.became("stream broke off after event " + x.meta.LastEvent + ": " + err.Error())
	if gone {
		x.giveUp("client left")
		return false
	}
	if connector.Broken(err) {
		x.suspects.Broke(x.digest, l.Life)
	}
	if x.route.Resumable && x.sends < x.route.Attempts {
		x.meter.Add(MetricResumed, 1)
		return true
	}
	x.giveUp("stream broke off")
	return false
}

// write gives events to the client. It reports whether the client is there.
func (x *exchange) write(a *connector.Answer, b []byte) bool {
	now := x.clock.Now()
	if !x.headed {
		x.headed = true
		x.first = now
		x.meter.Observe(MetricFirst+x.route.Kind.String(), x.first.Sub(x.started))
		x.copyHead(a)
		x.writer.WriteHeader(a.StatusCode)
	} else if pause := now.Sub(x.wrote); pause > x.pause {
		x.pause, x.pausedAt = pause, x.wrote.Sub(x.started)
	}
	x.wrote = now
	if _, err := x.writer.Write(b); err != nil {
		x.log.Info("relay: client left", zap.Error(err))
		return false
	}
	return http.NewResponseController(x.writer).Flush() == nil
}

// cause is the text of what broke a connection.
func cause(err error) string {
	if under := errors.Unwrap(err); under != nil {
		return under.Error()
	}
	return err.Error()
}

func badAnswer(status int, f Facts, err error) string {
	text := "answered badly with " + strconv.Itoa(status)
	switch {
	case err != nil:
		return text + ", cut off: " + err.Error()
	case !f.Signed:
		return text + ", unsigned"
	case f.Encoded:
		return text + ", encoded"
	}
	return text
}
