package relayer

import (
	"bytes"
	"errors"
	"io"
	"strconv"

	"go.uber.org/zap"

	"primrosehook/connector"
	"primrosehook/reserver"
	"primrosehook/streamer"
)

// streamReadBytes is the buffer size of a read from a stream.
const streamReadBytes = 4 << 10

// handOver handles an attempt whose server was silent until another one accepted
// the request. It reports whether the other server's answer is to be forwarded.
func (t *attempt) handOver(w *watchdog) bool {
	if t.answer != nil && !t.bodyRead {
		t.answer.Close(false)
	}
	t.assignment.Done(!t.clientGone())
	t.recordSilence()
	t.recordRun()
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
		w.abandon()
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
		return t.handOver(w)
	}
	if t.clientGone() {
		if !t.info.Refused {
			t.recordRun()
		}
		t.assignment.Done(false)
		t.recordSilence()
		w.abandon()
		t.giveUp("client left")
		return false
	}
	if t.info.Refused {
		t.recordFailure()
		w.settle()
		return true
	}
	t.recordRun()
	if t.failed() {
		t.recordFailure()
		w.settle()
		if t.route.Repeatable() && (w.isReplaced() || t.sends < t.route.Attempts) {
			return true
		}
	} else if !t.passes {
		t.assignment.Done(false)
	}
	if !t.intact() || t.impliesNotRun() || t.headerSent {
		t.giveUp("bad answer", zap.Int("status", t.answer.StatusCode))
		return false
	}
	if t.passes {
		return t.passThrough(w)
	}
	t.suspects.RequestCompleted(t.identity)
	t.recordSurvival()
	if !t.failed() {
		t.record.outcome = "answered with " + strconv.Itoa(t.answer.StatusCode)
	}
	t.meter.Observe(MetricFirst+t.route.Kind.String(), t.clock.Since(t.started))
	t.copyHeader(t.answer)
	t.writer.Header().Set("Content-Length", strconv.Itoa(len(t.answerBody)))
	t.writer.WriteHeader(t.answer.StatusCode)
	err := t.deliver()
	if t.slowClient {
		t.giveUp("slow client")
	}
	if err != nil {
		t.log.Info("relay: client left", zap.Error(err))
	}
	t.finishAnswered(t.answer.StatusCode)
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
	t.creditUsed = true
	splitter := streamer.NewSplitterAfter(t.meta.LastEvent)
	buffer := make([]byte, streamReadBytes)
	event := reserver.NewIncomplete(t.memory)
	defer event.Release()
	var err error
	for {
		var n int
		n, err = t.answer.Body.Read(buffer)
		if n > 0 {
			out, splitErr := splitter.Push(buffer[:n])
			if splitErr == nil && !event.Fits(len(splitter.Partial())) {
				splitErr = reserver.ErrIncomplete
			}
			if splitErr != nil {
				err = splitErr
				break
			}
			if !w.received(len(out) > 0, splitter.LastID()) {
				err = errReplaced
				break
			}
			if len(out) > 0 {
				if !t.headerSent {
					t.begin()
				}
				t.recordProgress()
				t.meta.LastEvent = splitter.LastID()
				if !t.writeEvents(t.answer, out) {
					t.dropClient()
					return false
				}
			}
		}
		if err != nil {
			break
		}
	}
	if errors.Is(err, io.EOF) {
		err = t.confirmStreamEnd(splitter.Partial())
	}
	if err == nil && !w.isReplaced() {
		t.answer.Close(true)
		t.assignment.Done(false)
		t.suspects.RequestCompleted(t.identity)
		t.recordSurvival()
		if n, err := strconv.Atoi(splitter.LastID()); err == nil {
			t.assignment.RecordStreamEnd(n)
			// A stream that the client held up says nothing of the server's pace.
			if t.resumeAfter == "" && t.outbox.Load().heldUntil().IsZero() {
				t.assignment.RecordPace(n)
			}
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

// confirmStreamEnd finds out whether a stream is complete that has ended without an
// error. partial is what followed its last event.
func (t *attempt) confirmStreamEnd(partial []byte) error {
	empty := t.firstEvent.IsZero() && t.resumeAfter == ""
	if len(bytes.TrimSpace(partial)) > 0 || empty && t.answer.EndsWithConnection() {
		return io.ErrUnexpectedEOF
	}
	return t.confirmEnd()
}

// streamBroke handles a stream that ended early. It reports whether the stream
// may be resumed at another server.
func (t *attempt) streamBroke(w *watchdog, err error) bool {
	if t.outbox.Load().tooSlow() {
		t.dropClient()
		return false
	}
	if w.isReplaced() {
		t.meter.Add(MetricResumed, 1)
		return t.handOver(w)
	}
	t.answer.Close(false)
	t.assignment.Done(!t.clientGone() && t.clock.Now().Before(t.deadline))
	t.recordRun()
	t.record.outcome = "stream broke off after event " + t.meta.LastEvent + ": " + err.Error()
	if t.clientGone() {
		t.recordSilence()
		t.giveUp("client left")
		return false
	}
	if connector.ClosedByPeer(err) {
		t.closedByServer()
	} else {
		t.recordSilence()
	}
	w.settle()
	if t.route.Resumable && (w.isReplaced() || t.sends < t.route.Attempts) {
		t.meter.Add(MetricResumed, 1)
		return true
	}
	t.giveUp("stream broke off")
	return false
}

// writeEvents gives events to the outbox of the client, after the header if they are the first ones.
// It reports whether the client is still connected and reads fast enough.
func (x *exchange) writeEvents(a *connector.Answer, b []byte) bool {
	now := x.clock.Now()
	if !x.headerSent {
		x.headerSent = true
		x.streaming.Store(true)
		x.firstByte = now
		x.meter.Observe(MetricFirst+x.route.Kind.String(), x.firstByte.Sub(x.started))
		x.copyHeader(a)
		x.writer.WriteHeader(a.StatusCode)
		x.outbox.Store(startOutbox(x.writer, x.memory, x.clock, x.slowClientTimeout, maxUnread))
	} else if pause := now.Sub(x.lastWrite); pause > x.longestPause {
		x.longestPause, x.longestPauseAt = pause, x.lastWrite.Sub(x.started)
	}
	x.lastWrite = now
	return x.outbox.Load().push(b)
}
