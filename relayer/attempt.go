package relayer

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"primrosehook/balancer"
	"primrosehook/connector"
	"primrosehook/headchecker"
	"primrosehook/judge"
	"primrosehook/matcher"
	"primrosehook/reserver"
	"primrosehook/sequencer"
	"primrosehook/sparer"
)

const (
	// maxAnswerBytes bounds an answer that is not a stream, in bytes.
	maxAnswerBytes = 16 << 20
	// deadlineGrace is how long an answer is awaited after the request's
	// deadline.
	deadlineGrace = 100 * time.Millisecond
	// answerWaitShare is the share of the time that a request has left for which its answer waits for
	// memory. The rest is for the answer, which is passed through to the client then.
	answerWaitShare = 0.25
)

// errAnswerTooLarge ends the reading of a body that exceeds maxAnswerBytes.
var errAnswerTooLarge = errors.New("the answer is too large")

// errPaused means that the server has said that it wants no request since it was chosen.
var errPaused = errors.New("the server rests or leaves")

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
	// sent is set once the attempt was asked to send the request, sendBegan is when.
	sent      bool
	sendBegan time.Time
	// answer is the server's answer, nil if there is none because of err.
	answer *connector.Answer
	info   AnswerInfo
	err    error
	// answerBody is the body of an answer that is not a stream, and bodyErr the
	// error of reading it; both are valid if bodyRead.
	bodyRead   bool
	answerBody []byte
	bodyErr    error
	// passes is set if there is no memory for the rest of the body: it is passed through to the client.
	// answerBody is its beginning then, afterBody what was read behind that.
	passes    bool
	afterBody []byte
	// answerHeld is the memory of answerBody, headHeld that of a large head.
	answerHeld, headHeld *reserver.Reservation
	// awaitsMemory is set while the answer is not read since it waits for memory, memoryCame is when
	// it last had waited, nil if it never has.
	awaitsMemory atomic.Bool
	memoryCame   atomic.Pointer[time.Time]
	// abandoned is set if the answer is no longer needed.
	abandoned bool
	// firstEvent is when the first event of a stream arrived. survived is set once the
	// request is known not to crash its server.
	firstEvent time.Time
	survived   bool
	// pass is the admission to a brittle server, nil if none was needed.
	pass *sparer.Pass
	// turn is the turn of the request, nil if it needs none. broken is set if the connection
	// broke under the request, or the server fell silent.
	turn   *sequencer.Turn
	broken bool
	// ownCredit is the credit of an attempt that is made beside another one, nil if it needs none.
	ownCredit Credit
	// reached is set if the attempt counts as one of the route's attempts, ran if
	// the server may have run the request.
	reached, ran bool
}

// newAttempt returns an attempt that is not sent yet. end must be called in the
// end.
func (x *exchange) newAttempt(assignment *balancer.Assignment, lastEvent string) *attempt {
	t := &attempt{exchange: x, assignment: assignment, resumeAfter: lastEvent, record: x.newRecord(assignment, lastEvent)}
	t.pass, x.pass = x.pass, nil
	t.turn, x.turn = x.turn, nil
	t.attemptContext, t.cancel = context.WithCancel(x.context)
	t.attemptContext, t.span = x.tracer.Start(t.attemptContext, "attempt")
	t.headHeld, _ = t.memory.Acquire(reserver.Answer, 0) // nothing always fits
	return t
}

// end releases what the attempt uses. Its answer can't be read any more.
func (t *attempt) end() {
	if t.passes {
		t.answer.Close(false)
	}
	t.cancel()
	t.pass.End(false)
	t.turn.End(t.broken)
	t.answerHeld.Release()
	t.headHeld.Release()
	t.span.End()
}

// send sends the request and reads the head of the answer.
func (t *attempt) send() {
	t.sent, t.sendBegan = true, t.clock.Now()
	if t.continuesStream() && !t.assignment.Prove(t.attemptContext) {
		t.err = errUnproven
		return
	}
	t.answer, t.err = t.assignment.Pool.Do(t.attemptContext, connector.Request{
		Method: t.request.Method, Target: t.request.RequestURI, Host: t.request.Host, Body: t.body,
		Header: t.codec.RequestHeader(t.request.Header, ForwardInfo{
			Server: t.assignment.ID, Priority: t.priority, LastEvent: t.resumeAfter,
			HasAccounts: t.hasAccounts, Account: accountName(t.account),
		}),
		LateHeader:   func() http.Header { return t.codec.TimeLeftHeader(t.deadline.Sub(t.clock.Now())) },
		Proceed:      t.proceed,
		Wanted:       t.wanted,
		GrowHead:     t.headHeld.Grow,
		OpenedBefore: t.assignment.OpenedBefore(),
	}, t.ownsAnswer)
	if t.err != nil {
		return
	}
	t.record.framing = framingText(t.answer)
	t.info = t.codec.ParseAnswer(t.answer.StatusCode, t.answer.Header)
	t.observeRateLimit()
	t.observeBrittle()
	t.observePause()
	t.observeLoad()
	if t.info.KeepAlive > 0 {
		t.assignment.Pool.KeepIdle(t.info.KeepAlive)
	}
}

// proceed returns an error if the server wants no request any more.
func (t *attempt) proceed() error {
	if t.assignment.Paused() {
		return errPaused
	}
	return nil
}

// wanted reports whether the client is still there.
func (t *attempt) wanted() bool {
	if t.lookForClient() {
		return true
	}
	t.logDeparture(t.assignment.ID, t.clock.Since(t.sendBegan))
	return false
}

// observeRateLimit records whether the server names a rate limit. An answer that may
// be another server's, or damaged, is passed over.
func (t *attempt) observeRateLimit() {
	limit := t.info.RateLimit
	switch {
	case t.info.NotLoaded:
	case limit.Malformed:
		t.log.Info("relay: rate limit can't be read", zap.String("server", t.assignment.ID))
	case limit.Named || t.info.Signed || t.info.Refused:
		t.throttle.Observe(t.assignment.Incarnation, limit.PerSecond, limit.Named)
	}
}

// observeBrittle records whether the servers are brittle, and a refusal for want of room at
// once. An answer that may be another server's, or damaged, is passed over.
func (t *attempt) observeBrittle() {
	if t.info.NotLoaded || !t.info.Signed && !t.info.Refused {
		return
	}
	t.sparer.Observe(t.service, t.info.Bears, t.info.Brittle)
	if t.info.Refused && t.answer.StatusCode == http.StatusServiceUnavailable {
		t.pass.End(true)
	}
}

// observePause records whether the server wants no further requests, or none for a time.
// An answer that may be another server's, or damaged, is passed over.
func (t *attempt) observePause() {
	if t.info.NotLoaded || !t.info.Signed && !t.info.Refused {
		return
	}
	p := balancer.Pause{Incarnation: t.assignment.Incarnation, Address: t.assignment.Address, Leaving: t.info.Leaving}
	if t.answer.StatusCode == http.StatusServiceUnavailable {
		p.Rest = t.info.RetryAfter
	}
	if p.Leaving {
		t.assignment.MarkLeaving()
	}
	if p.Rest > 0 {
		t.assignment.MarkResting(p.Rest)
	}
	if p.Leaving || p.Rest > 0 {
		t.pauses.Spread(p, t.answer.Via())
	}
}

// observeLoad records the load that the server reports, and that it refused the request as full. An
// answer that may be another server's, or damaged, is passed over.
func (t *attempt) observeLoad() {
	if t.info.NotLoaded || !t.info.Signed && !t.info.Refused {
		return
	}
	if l := t.info.Load; l.Known || l.Slowness > 0 {
		t.assignment.RecordLoad(balancer.LoadReport{
			Known: l.Known, Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, Slowness: l.Slowness, Refused: t.info.Refused,
		})
	}
	full := t.answer.StatusCode == http.StatusServiceUnavailable || t.answer.StatusCode == http.StatusTooManyRequests
	if t.info.Refused && full && !t.info.Leaving {
		t.meter.Add(MetricServerFull, 1)
		t.assignment.MarkFull()
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
		return t.handOver(w)
	case t.isStream():
		return t.forwardStream(w)
	}
	return t.forwardAnswer(w)
}

// ownsAnswer reports whether an answer belongs to this request: it has the
// request's ID, or has none, refuses a request and the connection has carried no other one.
func (x *exchange) ownsAnswer(h http.Header, reused bool) bool {
	info := x.codec.ParseAnswer(http.StatusOK, h)
	return info.ID == x.meta.ID || info.ID == "" && info.Refused && !reused
}

// isStream reports whether the answer is a stream whose events are forwarded as
// they arrive.
func (t *attempt) isStream() bool {
	return t.err == nil && t.route.Kind == matcher.Streaming && t.answer.StatusCode == http.StatusOK && t.info.Signed && !t.info.Encoded
}

// readBody reads the body of an answer that is not a stream, or sets passes if there is no memory for
// all of it.
func (t *attempt) readBody() {
	if t.bodyRead {
		return
	}
	t.bodyRead = true
	t.answerHeld, _ = t.memory.Acquire(reserver.Answer, 0) // nothing always fits
	ctx, cancel := context.WithTimeout(t.attemptContext, time.Duration(answerWaitShare*float64(t.deadline.Sub(t.clock.Now()))))
	defer cancel()
	grow := func(n int64) bool {
		ok := t.answerHeld.TryTurn(ctx, n, func() { t.awaitsMemory.Store(true) })
		if t.awaitsMemory.Load() {
			now := t.clock.Now()
			t.memoryCame.Store(&now)
			t.awaitsMemory.Store(false)
		}
		return ok
	}
	first := int64(firstBodyBytes)
	// An answer to HEAD declares the length of a body that it does not have.
	if n := t.answer.ContentLength; n > 0 && t.request.Method != http.MethodHead && t.answer.StatusCode != http.StatusNotModified {
		first = n
	}
	switch {
	case first > maxAnswerBytes:
		t.bodyErr = errAnswerTooLarge
	case !grow(first):
		t.bodyErr = reserver.ErrMemory
	default:
		t.answerBody, t.afterBody, t.bodyErr = reserver.ReadFitting(io.LimitReader(t.answer.Body, maxAnswerBytes+1), first, maxAnswerBytes+1, t.answerHeld, grow)
	}
	switch {
	case errors.Is(t.bodyErr, reserver.ErrMemory):
		if t.bodyErr = t.attemptContext.Err(); t.bodyErr == nil {
			t.passes = true
			return
		}
		t.answerBody, t.afterBody = nil, nil
	case len(t.answerBody) > maxAnswerBytes:
		t.answerBody, t.bodyErr = nil, errAnswerTooLarge
	case t.bodyErr == nil && !t.info.Refused:
		t.bodyErr = t.confirmEnd()
	}
	t.answer.Close(t.bodyErr == nil)
}

// intact reports whether the answer is the server's whole answer, or the beginning of one that
// is passed through.
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

// recordFailure records why the attempt has no answer for the client: in the
// log record, for the choice of servers and for the search of requests that
// crash servers. It changes no state of the exchange.
func (t *attempt) recordFailure() {
	if reason := headchecker.ReasonOf(cmp.Or(t.err, t.bodyErr)); reason != "" {
		t.meter.Add(MetricMalformed+reason, 1)
	}
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
		switch {
		case t.bodyErr == nil:
		case connector.ClosedByPeer(t.bodyErr) && !t.clientGone():
			t.closedByServer()
		default:
			t.recordSilence()
		}
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
	t.assignment.Done(!t.clientGone() && !errors.Is(t.err, errPaused) && !errors.Is(t.err, connector.ErrGivenUp))
	t.record.outcome = verdict.String() + ": " + causeText(t.err)
	if t.clientGone() {
		if t.reached {
			t.recordSilence()
		}
		return
	}
	if !t.reached && !t.withheld() {
		t.assignment.MarkUnreachable()
	}
	switch {
	case errors.Is(t.err, syscall.ECONNREFUSED):
		t.serverCrashed()
	case t.reached && connector.ClosedByPeer(errors.Unwrap(t.err)):
		t.closedByServer()
	case t.reached:
		t.recordSilence()
	}
}

// withheld reports whether the request was not sent for a reason that says nothing of whether
// the server takes connections.
func (t *attempt) withheld() bool {
	for _, reason := range []error{errUnproven, errOverCap, errPaused, connector.ErrNoneOpen, connector.ErrGivenUp} {
		if errors.Is(t.err, reason) {
			return true
		}
	}
	return false
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
