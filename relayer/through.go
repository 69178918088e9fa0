package relayer

import (
	"errors"
	"io"
	"slices"
	"strconv"
	"time"

	"primrosehook/connector"
)

const (
	// maxPassing bounds what waits for the client of an answer that is passed through, in bytes.
	maxPassing = 8 << 10
	// passingSilence is how long each next part of such an answer may take once the request's deadline
	// is over. The deadline itself does not end it: the client may need that long to read it.
	passingSilence = 3 * time.Second
)

// passThrough sends an answer for which there is no memory to the client as it arrives. It
// reports whether the answer of another server is to be forwarded instead.
func (t *attempt) passThrough(w *watchdog) bool {
	if !w.keep() {
		return t.handOver(w)
	}
	t.beginPassing()
	total := len(t.answerBody) + len(t.afterBody)
	err := errClientLost
	if t.pushBeginning() {
		err = t.passRest(total)
	}
	if errors.Is(err, io.EOF) {
		err = t.confirmEnd()
	}
	if err != nil {
		t.passingBroke(err)
		return false
	}
	t.passes = false
	t.answer.Close(true)
	t.suspects.RequestCompleted(t.identity)
	t.recordSurvival()
	t.endPassing(false)
	if !t.failed() {
		t.record.outcome = "passed through with " + strconv.Itoa(t.answer.StatusCode)
	}
	t.finishAnswered(t.answer.StatusCode)
	return false
}

// errClientLost ends an answer whose client has left or does not read.
var errClientLost = errors.New("the client has left or does not read")

// beginPassing sends the head of the answer. From here on the request is not repeated.
func (t *attempt) beginPassing() {
	t.expiry.lift()
	t.meter.Add(MetricPassedThrough, 1)
	t.headerSent = true
	t.streaming.Store(true)
	t.firstByte = t.clock.Now()
	t.meter.Observe(MetricFirst+t.route.Kind.String(), t.firstByte.Sub(t.started))
	t.copyHeader(t.answer)
	if n := t.answer.ContentLength; n >= 0 {
		t.writer.Header().Set("Content-Length", strconv.FormatInt(n, 10))
	}
	t.writer.WriteHeader(t.answer.StatusCode)
	t.outbox.Store(startOutbox(t.writer, t.memory, t.clock, t.slowClientTimeout, maxPassing))
}

// pushBeginning sends what was read of the answer, and frees its memory. It reports whether the
// client is still connected and reads fast enough.
func (t *attempt) pushBeginning() bool {
	for piece := range slices.Chunk(t.answerBody, streamReadBytes) {
		if !t.outbox.Load().push(piece) {
			return false
		}
	}
	t.answerBody = nil
	t.answerHeld.Release()
	return t.outbox.Load().push(t.afterBody)
}

// passRest sends the rest of the answer, of which total bytes are sent. It returns io.EOF at its end.
func (t *attempt) passRest(total int) error {
	buffer := make([]byte, streamReadBytes)
	for {
		n, err := t.readPart(buffer)
		if total += n; total > maxAnswerBytes {
			return errAnswerTooLarge
		}
		if n > 0 && !t.outbox.Load().push(buffer[:n]) {
			return errClientLost
		}
		if err != nil {
			return err
		}
	}
}

// readPart reads a part of the answer. It ends the attempt if the server sends none until the request's
// deadline and for passingSilence.
func (t *attempt) readPart(buffer []byte) (int, error) {
	silent := t.clock.AfterFunc(max(t.deadline.Add(deadlineGrace).Sub(t.clock.Now()), passingSilence), t.cancel)
	defer silent.Stop()
	return t.answer.Body.Read(buffer)
}

// passingBroke handles an answer that ended early while it was passed through: the client's
// connection is closed, so that the answer does not look complete.
func (t *attempt) passingBroke(err error) {
	if errors.Is(err, errClientLost) || t.outbox.Load().tooSlow() {
		t.dropClient()
		return
	}
	t.answer.Close(false)
	t.endPassing(!t.clientGone())
	t.record.outcome = "broke off while passed through: " + err.Error()
	switch {
	case connector.ClosedByPeer(err) && !t.clientGone():
		t.closedByServer()
	default:
		t.recordSilence()
	}
	t.giveUp("answer broke off")
}

// endPassing counts the request as no longer at its server, which was done for a failed one.
func (t *attempt) endPassing(failed bool) {
	if !t.failed() {
		t.assignment.Done(failed)
	}
}
