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
	// maxAnswerBytes bounds an answer that is not a stream, in bytes.
	maxAnswerBytes = 16 << 20
	// streamReadBytes is the buffer size of a read from a stream.
	streamReadBytes = 4 << 10
	// deadlineGrace is how long an answer is awaited after the request's
	// deadline.
	deadlineGrace = 100 * time.Millisecond
)

// attempt sends the request to one server. It reports whether the request may
// be sent to another one; if not, the client has been answered.
func (x *exchange) attempt(assignment *balancer.Assignment) bool {
	now := x.clock.Now()
	x.recordAttempt(assignment)
	ctx, cancel := context.WithCancel(x.context)
	defer cancel()
	ctx, span := x.tracer.Start(ctx, "attempt")
	defer span.End()
	w := x.startWatchdog(assignment, cancel)
	defer w.stop()
	answer, err := assignment.Pool.Do(ctx, connector.Request{
		Method: x.request.Method, Target: x.request.RequestURI, Host: x.request.Host, Body: x.body,
		Header: x.codec.RequestHeader(x.request.Header, ForwardInfo{
			Server: assignment.ID, TimeLeft: x.deadline.Sub(now), Priority: x.route.Priority, LastEvent: x.meta.LastEvent,
		}),
	}, x.ownsAnswer)
	if err != nil {
		return x.connectionBroke(assignment, err)
	}
	w.received(false)
	x.sends++
	info := x.codec.ParseAnswer(answer.StatusCode, answer.Header)
	if info.KeepAlive > 0 {
		assignment.Pool.KeepIdle(info.KeepAlive)
	}
	if x.route.Kind == matcher.Streaming && answer.StatusCode == http.StatusOK && info.Signed && !info.Encoded {
		return x.forwardStream(assignment, answer, w)
	}
	return x.forwardAnswer(assignment, answer, info)
}

// ownsAnswer reports whether an answer belongs to this request: it has the
// request's ID, or has none and refuses a request.
func (x *exchange) ownsAnswer(_ int, h http.Header) bool {
	info := x.codec.ParseAnswer(http.StatusOK, h)
	return info.ID == x.meta.ID || info.ID == "" && info.Refused
}

// connectionBroke handles an attempt that failed before the head of the answer
// arrived. It reports whether another server may be tried.
func (x *exchange) connectionBroke(assignment *balancer.Assignment, err error) bool {
	verdict := judge.Of(err)
	clientGone := x.request.Context().Err() != nil
	assignment.Done(!clientGone)
	switch {
	case verdict != judge.NotRun:
		x.sends++
		x.mayHaveRun = true
	case !clientGone:
		assignment.MarkUnreachable()
	}
	x.setOutcome(verdict.String() + ": " + causeText(err))
	if clientGone {
		x.giveUp("client left")
		return false
	}
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		x.suspects.EngineLost(assignment.Incarnation)
	case verdict != judge.NotRun && connector.ClosedByPeer(errors.Unwrap(err)):
		x.suspects.ConnectionBroke(x.digest, assignment.Incarnation)
	}
	if verdict == judge.NotRun || x.route.Repeatable() {
		return true
	}
	x.giveUp("attempt failed")
	return false
}

// forwardAnswer sends an answer that is not a stream to the client, unless it
// calls for another attempt. It reports whether another server may be tried.
func (x *exchange) forwardAnswer(assignment *balancer.Assignment, a *connector.Answer, info AnswerInfo) bool {
	body, err := io.ReadAll(io.LimitReader(a.Body, maxAnswerBytes))
	a.Close(err == nil && len(body) < maxAnswerBytes)
	clientGone := x.request.Context().Err() != nil
	intact := err == nil && info.Signed && !info.Encoded
	assignment.Done(!clientGone && (!intact || a.StatusCode >= http.StatusInternalServerError) && !info.Refused)
	if clientGone {
		x.giveUp("client left")
		return false
	}
	if info.NotLoaded {
		assignment.MarkNotLoaded()
	}
	if info.Refused {
		x.setOutcome("refused with " + strconv.Itoa(a.StatusCode))
		return true
	}
	x.mayHaveRun = true
	// Clients take these statuses to mean that the request did not run, which
	// the server has not confirmed here, so they are not forwarded.
	statusImpliesNotRun := a.StatusCode == http.StatusServiceUnavailable || a.StatusCode == http.StatusTooManyRequests ||
		a.StatusCode == http.StatusRequestTimeout || a.StatusCode == http.StatusMisdirectedRequest
	failed := !intact || statusImpliesNotRun || a.StatusCode >= http.StatusInternalServerError
	if failed {
		x.setOutcome(describeBadAnswer(a.StatusCode, info, err))
		if x.route.Repeatable() && x.sends < x.route.Attempts {
			return true
		}
	}
	if !intact || statusImpliesNotRun || x.headerSent {
		x.giveUp("bad answer", zap.Int("status", a.StatusCode))
		return false
	}
	x.suspects.RequestCompleted(x.digest)
	if !failed {
		x.setOutcome("answered with " + strconv.Itoa(a.StatusCode))
	}
	x.meter.Observe(MetricFirst+x.route.Kind.String(), x.clock.Since(x.started))
	defer x.finishAnswered(a.StatusCode)
	x.copyHeader(a)
	x.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.writer.WriteHeader(a.StatusCode)
	if _, err := x.writer.Write(body); err != nil {
		x.log.Info("relay: client left", zap.Error(err))
	}
	return false
}

func (x *exchange) copyHeader(a *connector.Answer) {
	h := x.writer.Header()
	for name, values := range x.codec.AnswerHeader(a.Header) {
		h[name] = values
	}
}

// forwardStream sends events to the client as they arrive. It reports whether
// the stream may be resumed at another server.
func (x *exchange) forwardStream(assignment *balancer.Assignment, a *connector.Answer, w *watchdog) bool {
	splitter := streamer.NewSplitterAfter(x.meta.LastEvent)
	buffer := make([]byte, streamReadBytes)
	gotFirst := false
	var err error
	for {
		var n int
		n, err = a.Body.Read(buffer)
		if n > 0 {
			out, splitErr := splitter.Push(buffer[:n])
			if splitErr != nil {
				err = splitErr
				break
			}
			w.received(len(out) > 0)
			if len(out) > 0 {
				if !gotFirst {
					gotFirst = true
					assignment.RecordFirstEvent()
				}
				x.meta.LastEvent = splitter.LastID()
				if !x.writeEvents(a, out) {
					a.Close(false)
					assignment.Done(false)
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
		assignment.Done(false)
		x.suspects.RequestCompleted(x.digest)
		if n, err := strconv.Atoi(splitter.LastID()); err == nil {
			assignment.RecordStreamEnd(n)
		}
		if partial := splitter.Partial(); len(partial) > 0 || !x.headerSent {
			x.writeEvents(a, partial)
		}
		x.setOutcome("stream ended")
		x.finishAnswered(a.StatusCode)
		return false
	}
	return x.streamBroke(assignment, a, err)
}

// streamBroke handles a stream that ended early. It reports whether the stream
// may be resumed at another server.
func (x *exchange) streamBroke(assignment *balancer.Assignment, a *connector.Answer, err error) bool {
	a.Close(false)
	clientGone := x.request.Context().Err() != nil
	assignment.Done(!clientGone && x.clock.Now().Before(x.deadline))
	x.mayHaveRun = true
	x.setOutcome("stream broke off after event " + x.meta.LastEvent + ": " + err.Error())
	if clientGone {
		x.giveUp("client left")
		return false
	}
	if connector.ClosedByPeer(err) {
		x.suspects.ConnectionBroke(x.digest, assignment.Incarnation)
	}
	if x.route.Resumable && x.sends < x.route.Attempts {
		x.meter.Add(MetricResumed, 1)
		return true
	}
	x.giveUp("stream broke off")
	return false
}

// writeEvents sends events to the client, after the header if it is the first
// write. It reports whether the client is still connected.
func (x *exchange) writeEvents(a *connector.Answer, b []byte) bool {
	now := x.clock.Now()
	if !x.headerSent {
		x.headerSent = true
		x.firstByte = now
		x.meter.Observe(MetricFirst+x.route.Kind.String(), x.firstByte.Sub(x.started))
		x.copyHeader(a)
		x.writer.WriteHeader(a.StatusCode)
	} else if pause := now.Sub(x.lastWrite); pause > x.longestPause {
		x.longestPause, x.longestPauseAt = pause, x.lastWrite.Sub(x.started)
	}
	x.lastWrite = now
	if _, err := x.writer.Write(b); err != nil {
		x.log.Info("relay: client left", zap.Error(err))
		return false
	}
	return http.NewResponseController(x.writer).Flush() == nil
}

// causeText returns the text of the error that a connection error wraps, or its
// own if it wraps none.
func causeText(err error) string {
	if inner := errors.Unwrap(err); inner != nil {
		return inner.Error()
	}
	return err.Error()
}

func describeBadAnswer(status int, info AnswerInfo, err error) string {
	text := "answered badly with " + strconv.Itoa(status)
	switch {
	case err != nil:
		return text + ", cut off: " + err.Error()
	case !info.Signed:
		return text + ", unsigned"
	case info.Encoded:
		return text + ", encoded"
	}
	return text
}
