package relayer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"go.opentelemetry.io/otel/trace"
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

// attempt is one sending of the request to a server.
type attempt struct {
	*exchange
	assignment     *balancer.Assignment
	record         *attemptRecord
	attemptContext context.Context
	cancel         context.CancelFunc
	span           trace.Span
	// resumeAfter is the ID of the last event that the client had when the
	// request was sent, empty for none.
	resumeAfter string
	sent        bool
	// answer is the server's answer, nil if there is none because of err.
	answer *connector.Answer
	info   AnswerInfo
	err    error
	// answerBody is the body of an answer that is not a stream, and bodyErr the
	// error of reading it; both are valid if bodyRead.
	bodyRead   bool
	answerBody []byte
	bodyErr    error
	// abandoned is set if the answer is no longer needed.
	abandoned bool
	// reached is set if the attempt counts as one of the route's attempts, ran if
	// the server may have run the request.
	reached, ran bool
}

// newAttempt returns an attempt that is not sent yet. end must be called in the
// end.
func (x *exchange) newAttempt(assignment *balancer.Assignment, lastEvent string) *attempt {
	t := &attempt{exchange: x, assignment: assignment, resumeAfter: lastEvent, record: x.newRecord(assignment)}
	t.attemptContext, t.cancel = context.WithCancel(x.context)
	t.attemptContext, t.span = x.tracer.Start(t.attemptContext, "attempt")
	return t
}

// end releases what the attempt uses. Its answer can't be read any more.
func (t *attempt) end() {
	t.cancel()
	t.span.End()
}

// send sends the request and reads the head of the answer.
func (t *attempt) send() {
	t.sent = true
	t.answer, t.err = t.assignment.Pool.Do(t.attemptContext, connector.Request{
		Method: t.request.Method, Target: t.request.RequestURI, Host: t.request.Host, Body: t.body,
		Header: t.codec.RequestHeader(t.request.Header, ForwardInfo{
			Server: t.assignment.ID, TimeLeft: t.deadline.Sub(t.clock.Now()), Priority: t.route.Priority, LastEvent: t.resumeAfter,
		}),
	}, t.ownsAnswer)
	if t.err != nil {
		return
	}
	t.info = t.codec.ParseAnswer(t.answer.StatusCode, t.answer.Header)
	if t.info.KeepAlive > 0 {
		t.assignment.Pool.KeepIdle(t.info.KeepAlive)
	}
}

// perform makes the attempt and sends its answer to the client. It reports
// whether the request may be sent to another server, and the attempt that has
// already been made there, nil if there is none. If the request may not be sent
// to another server, the client has been answered.
func (t *attempt) perform() (*attempt, bool) {
	defer t.end()
	w := t.startWatchdog(t)
	defer w.stop()
	if !t.sent {
		t.send()
	}
	if retryable := t.handle(w); !retryable {
		return nil, false
	}
	return w.successor(), true
}

// handle handles the server's answer, or why there is none. It reports whether
// the request may be sent to another server.
func (t *attempt) handle(w *watchdog) bool {
	if t.err != nil && !w.isReplaced() {
		return t.connectionBroke(w)
	}
	t.sends++
	switch {
	case !w.received(false, ""):
		return t.replaced(w)
	case t.isStream():
		return t.forwardStream(w)
	}
	return t.forwardAnswer(w)
}

// ownsAnswer reports whether an answer belongs to this request: it has the
// request's ID, or has none and refuses a request.
func (x *exchange) ownsAnswer(_ int, h http.Header) bool {
	info := x.codec.ParseAnswer(http.StatusOK, h)
	return info.ID == x.meta.ID || info.ID == "" && info.Refused
}

// isStream reports whether the answer is a stream whose events are forwarded as
// they arrive.
func (t *attempt) isStream() bool {
	return t.err == nil && t.route.Kind == matcher.Streaming && t.answer.StatusCode == http.StatusOK && t.info.Signed && !t.info.Encoded
}

// readBody reads the body of an answer that is not a stream.
func (t *attempt) readBody() {
	if t.bodyRead {
		return
	}
	t.bodyRead = true
	t.answerBody, t.bodyErr = io.ReadAll(io.LimitReader(t.answer.Body, maxAnswerBytes))
	t.answer.Close(t.bodyErr == nil && len(t.answerBody) < maxAnswerBytes)
}

// intact reports whether the answer is the server's whole answer.
func (t *attempt) intact() bool { return t.bodyErr == nil && t.info.Signed && !t.info.Encoded }

// impliesNotRun reports whether clients take the status to mean that the request
// did not run. Unless the server has confirmed that, it is not forwarded.
func (t *attempt) impliesNotRun() bool {
	switch t.answer.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// failed reports whether the answer calls for another attempt.
func (t *attempt) failed() bool {
	return !t.intact() || t.impliesNotRun() || t.answer.StatusCode >= http.StatusInternalServerError
}

// accepted reports whether the server has accepted the request: its stream has
// begun, or its answer is complete and can be forwarded.
func (t *attempt) accepted() bool {
	if t.err != nil || t.route.Kind == matcher.Streaming {
		return t.isStream()
	}
	return !t.info.Refused && !t.failed()
}

// clientGone reports whether the client has closed its connection.
func (x *exchange) clientGone() bool { return x.request.Context().Err() != nil }

// recordFailure records why the attempt has no answer for the client: in the
// log record, for the choice of servers and for the search of requests that
// crash servers. It changes no state of the exchange.
func (t *attempt) recordFailure() {
	switch {
	case t.abandoned:
		t.abandon()
	case t.err != nil:
		t.recordBroken()
	case t.info.Refused:
		t.recordRefused()
	default:
		t.reached, t.ran = true, true
		t.assignment.Done(!t.clientGone() && (!t.intact() || t.answer.StatusCode >= http.StatusInternalServerError))
		t.record.outcome = describeBadAnswer(t.answer.StatusCode, t.info, t.bodyErr)
	}
}

// abandon drops an answer that is no longer needed.
func (t *attempt) abandon() {
	t.reached = t.err == nil || judge.Of(t.err) != judge.NotRun
	t.ran = t.reached && !t.info.Refused
	if t.answer != nil && !t.bodyRead {
		t.answer.Close(false)
	}
	t.assignment.Done(false)
	t.record.outcome = "abandoned: the server before answered"
}

// recordBroken records a connection that broke before the head of the answer
// arrived.
func (t *attempt) recordBroken() {
	verdict := judge.Of(t.err)
	t.reached = verdict != judge.NotRun
	t.ran = t.reached
	t.assignment.Done(!t.clientGone())
	t.record.outcome = verdict.String() + ": " + causeText(t.err)
	if t.clientGone() {
		return
	}
	if !t.reached {
		t.assignment.MarkUnreachable()
	}
	switch {
	case errors.Is(t.err, syscall.ECONNREFUSED):
		t.suspects.EngineLost(t.assignment.Incarnation)
	case t.reached && connector.ClosedByPeer(errors.Unwrap(t.err)):
		t.suspects.ConnectionBroke(t.digest, t.assignment.Incarnation)
	}
}

// recordRefused records that the server did not run the request.
func (t *attempt) recordRefused() {
	t.reached = true
	t.readBody()
	t.assignment.Done(false)
	if t.info.NotLoaded {
		t.assignment.MarkNotLoaded()
	}
	t.record.outcome = "refused with " + strconv.Itoa(t.answer.StatusCode)
}

// replaced handles an attempt whose server was silent until another one accepted
// the request. It reports whether the other server's answer is to be forwarded.
func (t *attempt) replaced(w *watchdog) bool {
	if t.answer != nil && !t.bodyRead {
		t.answer.Close(false)
	}
	t.assignment.Done(!t.clientGone())
	t.mayHaveRun = true
	t.record.outcome = "silent, replaced after event " + t.meta.LastEvent
	if t.clientGone() {
		t.giveUp("client left")
		return false
	}
	w.settle()
	return true
}

// connectionBroke handles an attempt that failed before the head of the answer
// arrived. It reports whether another server may be tried.
func (t *attempt) connectionBroke(w *watchdog) bool {
	t.recordFailure()
	t.merge(t)
	if t.clientGone() {
		t.giveUp("client left")
		return false
	}
	w.settle()
	if !t.ran || t.route.Repeatable() {
		return true
	}
	t.giveUp("attempt failed")
	return false
}

// forwardAnswer sends an answer that is not a stream to the client, unless it
// calls for another attempt. It reports whether another server may be tried.
func (t *attempt) forwardAnswer(w *watchdog) bool {
	t.readBody()
	if t.bodyErr != nil && w.isReplaced() {
		return t.replaced(w)
	}
	if t.clientGone() {
		t.assignment.Done(false)
		t.giveUp("client left")
		return false
	}
	if t.info.Refused {
		t.recordFailure()
		w.settle()
		return true
	}
	t.mayHaveRun = true
	if t.failed() {
		t.recordFailure()
		w.settle()
		if t.route.Repeatable() && (w.isReplaced() || t.sends < t.route.Attempts) {
			return true
		}
	} else {
		t.assignment.Done(false)
	}
	if !t.intact() || t.impliesNotRun() || t.headerSent {
		t.giveUp("bad answer", zap.Int("status", t.answer.StatusCode))
		return false
	}
	t.suspects.RequestCompleted(t.digest)
	if !t.failed() {
		t.record.outcome = "answered with " + strconv.Itoa(t.answer.StatusCode)
	}
	t.meter.Observe(MetricFirst+t.route.Kind.String(), t.clock.Since(t.started))
	defer t.finishAnswered(t.answer.StatusCode)
	t.copyHeader(t.answer)
	t.writer.Header().Set("Content-Length", strconv.Itoa(len(t.answerBody)))
	t.writer.WriteHeader(t.answer.StatusCode)
	if _, err := t.writer.Write(t.answerBody); err != nil {
		t.log.Info("relay: client left", zap.Error(err))
	}
	return false
}

func (x *exchange) copyHeader(a *connector.Answer) {
	h := x.writer.Header()
	for name, values := range x.codec.AnswerHeader(a.Header) {
		h[name] = values
	}
}

// errReplaced ends the reading of a stream that another server continues.
var errReplaced = errors.New("another server continues the stream")

// forwardStream sends events to the client as they arrive. It reports whether
// the stream may be resumed at another server.
func (t *attempt) forwardStream(w *watchdog) bool {
	splitter := streamer.NewSplitterAfter(t.meta.LastEvent)
	buffer := make([]byte, streamReadBytes)
	gotFirst := false
	var err error
	for {
		var n int
		n, err = t.answer.Body.Read(buffer)
		if n > 0 {
			out, splitErr := splitter.Push(buffer[:n])
			if splitErr != nil {
				err = splitErr
				break
			}
			if !w.received(len(out) > 0, splitter.LastID()) {
				err = errReplaced
				break
			}
			if len(out) > 0 {
				if !gotFirst {
					gotFirst = true
					t.assignment.RecordFirstEvent()
				}
				t.meta.LastEvent = splitter.LastID()
				if !t.writeEvents(t.answer, out) {
					t.answer.Close(false)
					t.assignment.Done(false)
					t.giveUp("client left")
					return false
				}
			}
		}
		if err != nil {
			break
		}
	}
	if errors.Is(err, io.EOF) {
		t.answer.Close(true)
		t.assignment.Done(false)
		t.suspects.RequestCompleted(t.digest)
		if n, err := strconv.Atoi(splitter.LastID()); err == nil {
			t.assignment.RecordStreamEnd(n)
		}
		if partial := splitter.Partial(); len(partial) > 0 || !t.headerSent {
			t.writeEvents(t.answer, partial)
		}
		t.record.outcome = "stream ended"
		t.finishAnswered(t.answer.StatusCode)
		return false
	}
	return t.streamBroke(w, err)
}

// streamBroke handles a stream that ended early. It reports whether the stream
// may be resumed at another server.
func (t *attempt) streamBroke(w *watchdog, err error) bool {
	if w.isReplaced() {
		t.meter.Add(MetricResumed, 1)
		return t.replaced(w)
	}
	t.answer.Close(false)
	t.assignment.Done(!t.clientGone() && t.clock.Now().Before(t.deadline))
	t.mayHaveRun = true
	t.record.outcome = "stream broke off after event " + t.meta.LastEvent + ": " + err.Error()
	if t.clientGone() {
		t.giveUp("client left")
		return false
	}
	if connector.ClosedByPeer(err) {
		t.suspects.ConnectionBroke(t.digest, t.assignment.Incarnation)
	}
	w.settle()
	if t.route.Resumable && (w.isReplaced() || t.sends < t.route.Attempts) {
		t.meter.Add(MetricResumed, 1)
		return true
	}
	t.giveUp("stream broke off")
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
