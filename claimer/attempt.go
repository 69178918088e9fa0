package claimer

import (
	"net/http"
	"time"

	"primrosehook/judge"
)

// Act is the next action of an attempt.
type Act int

// The actions, with the methods that take their results.
const (
	// ActClaim submits the claim; then call Claimed or ClaimFailed.
	ActClaim Act = iota
	// ActSend sends the write to a server that it has not been sent to; then
	// call Responded, SendFailed or Paused.
	ActSend
	// ActRecord submits the outcome; then call Recorded.
	ActRecord
	// ActWithdraw submits the withdrawal; then call Withdrawn.
	ActWithdraw
	// ActWait waits for the outcome of the claim that owns the key; then call
	// WaitEnded.
	ActWait
	// ActReply ends the attempt: the reply is Refusal, or Outcome if that is
	// nil.
	ActReply
)

// Step is an action with its arguments.
type Step struct {
	Act Act
	// Outcome is the outcome to record, or the reply.
	Outcome Outcome
	// WaitFor is the claim to wait for.
	WaitFor KeyState
	// Refusal is the reply if it is not an outcome.
	Refusal *judge.Refusal
	// Replayed is set on a reply that comes from the claim of another attempt.
	Replayed bool
}

// logRetryAfter is the retry interval while the log accepts no claims.
const logRetryAfter = 2 * time.Second

// shardRetryAfter is the retry interval of a shard that accepts no new keys.
const shardRetryAfter = time.Minute

// The refusal codes of a shard that accepts no new keys.
const (
	CodeFull = "keys-full"
	CodeLost = "keys-lost"
)

// serviceRetryAfter is the retry interval if no server of a service is reachable.
const serviceRetryAfter = time.Second

// Attempt is one process's handling of one request. It is a state machine: each
// method takes an event and returns the next step. It returns ActSend only if
// its own claim was accepted, and never after a send that may have run.
type Attempt struct {
	claim Claim
	// accepted is set once the claim was accepted.
	accepted bool
	// abandoned is set when this attempt will never send the write, though its
	// claim is in the log or may still be appended.
	abandoned bool
	// sent is set by a send, and cleared when it is known that it did not run.
	sent    bool
	outcome Outcome
	// paused is set when the claim was too old for the write to be sent.
	paused bool
}

// NewAttempt returns an attempt whose claim has not been submitted.
func NewAttempt(claim Claim) *Attempt { return &Attempt{claim: claim} }

// FromHandover returns the attempt of another process whose outcome is known but not
// yet recorded.
func FromHandover(claim Claim, outcome Outcome) *Attempt {
	return &Attempt{claim: claim, accepted: true, sent: true, outcome: outcome}
}

// Claim returns the claim to submit.
func (a *Attempt) Claim() Claim { return a.claim }

// Abandoned reports whether the attempt's claim must be withdrawn if it is in
// the log.
func (a *Attempt) Abandoned() bool { return a.abandoned }

// Sent reports whether the write may have reached a server.
func (a *Attempt) Sent() bool { return a.sent }

// Start begins the attempt with the shard's state of the key, if known.
func (a *Attempt) Start(keyState KeyState, known bool) Step {
	if !known {
		return Step{Act: ActClaim}
	}
	return a.resolveTaken(keyState)
}

// Claimed takes the result of applying the claim.
func (a *Attempt) Claimed(r Result) Step {
	switch r.Answer {
	case Accepted:
		a.accepted = true
		return a.send()
	case Taken, Mismatch:
		return a.resolveTaken(r.State)
	case Full, Lost:
		return a.refuseKey(r.Answer)
	case Expired:
		return Step{Act: ActReply, Refusal: &judge.Refusal{
			Verdict: judge.NotRun, Status: http.StatusGone, Code: "key-expired",
			Reason: "idempotency key is older than what is remembered; whether an earlier request with it ran is not known",
		}}
	}
	return a.ClaimFailed(judge.Unavailable("log", "claim is malformed", 0))
}

// refuseKey refuses a write on Full or Lost. On Lost the claim may own its key
// nevertheless, if it was applied again after a reset, and then it must be
// withdrawn.
func (a *Attempt) refuseKey(answer Answer) Step {
	if answer == Full {
		return Step{Act: ActReply, Refusal: judge.Unavailable(CodeFull, "shard is full of keys that must be remembered", shardRetryAfter)}
	}
	a.abandoned = true
	return Step{Act: ActReply, Refusal: judge.Unavailable(CodeLost,
		"shard has lost keys; until they are old it takes only keys that tell their time", shardRetryAfter)}
}

// ClaimFailed takes the failure to submit the claim. Even if the claim is
// appended to the log later, this attempt never sends the write, so the refusal
// NotRun is right.
func (a *Attempt) ClaimFailed(err error) Step {
	a.abandoned = judge.Of(err) != judge.NotRun
	refusal := judge.Unavailable("log", "log service has not confirmed the claim of the write", logRetryAfter)
	refusal.Cause = err
	return Step{Act: ActReply, Refusal: refusal}
}

func (a *Attempt) send() Step {
	a.sent = true
	return Step{Act: ActSend}
}

// Responded takes the response of the service.
func (a *Attempt) Responded(outcome Outcome) Step {
	a.outcome = outcome
	return Step{Act: ActRecord, Outcome: outcome.Bounded()}
}

// Paused gives the write up before the send, since its claim is too old. See
// Limits.TooLate.
func (a *Attempt) Paused() Step {
	a.paused = true
	return a.SendFailed(judge.Unavailable("withdrawn", "process was paused before the send", 0), false)
}

// SendFailed takes the failure of a send. More is set if there is another server
// to send the write to.
func (a *Attempt) SendFailed(err error, more bool) Step {
	if judge.Of(err) != judge.NotRun {
		a.outcome = Outcome{Unknown: true}
		return Step{Act: ActRecord, Outcome: a.outcome}
	}
	a.sent = false
	if more {
		return a.send()
	}
	a.abandoned = true
	return Step{Act: ActWithdraw}
}

// Recorded ends the attempt after its outcome was submitted, confirmed or not.
// The reply is the same either way; other instances have it once the outcome is
// in the log.
func (a *Attempt) Recorded() Step { return reply(a.outcome, false) }

// Withdrawn ends the attempt after its withdrawal was submitted, confirmed or
// not.
func (a *Attempt) Withdrawn() Step {
	if a.paused {
		return a.replyWithdrawn()
	}
	return Step{
		Act:     ActReply,
		Refusal: judge.Unavailable("service", "no server of the service is reachable", serviceRetryAfter),
	}
}

func (a *Attempt) replyWithdrawn() Step {
	return Step{Act: ActReply, Refusal: judge.Unavailable("withdrawn", "write was given up before it was sent", serviceRetryAfter)}
}

// WaitEnded takes the state of the key after a wait: the claim that owns it, or that
// it was freed. Last ends the wait.
func (a *Attempt) WaitEnded(keyState KeyState, freed, last bool) Step {
	if freed {
		return a.replyWithdrawn()
	}
	s := a.resolveTaken(keyState)
	if s.Act == ActWait && last {
		return reply(Outcome{Unknown: true}, true)
	}
	return s
}

// Reused returns the refusal of a request whose key was used for another one.
func Reused() *judge.Refusal {
	return &judge.Refusal{
		Verdict: judge.NotRun, Status: http.StatusUnprocessableEntity, Code: "key-reused",
		Reason: "idempotency key was used for another request",
	}
}

// resolveTaken returns the step for a key that another claim owns.
func (a *Attempt) resolveTaken(keyState KeyState) Step {
	if !keyState.Same(a.claim.Digest) {
		return Step{Act: ActReply, Refusal: Reused()}
	}
	if keyState.Outcome != nil {
		return reply(*keyState.Outcome, true)
	}
	return Step{Act: ActWait, WaitFor: keyState}
}

// reply returns the last step, with the outcome as the reply.
func reply(outcome Outcome, replayed bool) Step {
	s := Step{Act: ActReply, Outcome: outcome, Replayed: replayed}
	switch {
	case outcome.Unknown:
		s.Refusal = judge.Unknown("write-unknown", "write may have been sent, but its answer is not known; it is not sent again", nil)
	case outcome.BodyDropped && replayed:
		s.Refusal = &judge.Refusal{
			Verdict: judge.Ran, Status: http.StatusConflict, Code: "answer-dropped",
			Reason: "write ran earlier; its answer was too large or too old to be kept",
		}
	}
	return s
}
