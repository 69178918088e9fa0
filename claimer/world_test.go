package claimer_test

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"time"

	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"primrosehook/claimer"
	"primrosehook/judge"
	"primrosehook/recorder"
	"primrosehook/replayer"
)

// mutant is a guard that a world leaves out, to show that the checks detect it.
type mutant int

const (
	sound mutant = iota
	// sendsOnAppend sends when the append is confirmed, before the claim is read
	// back.
	sendsOnAppend
	// sendsLate sends when a claim that was given up appears in the log later.
	sendsLate
	// resends sends again after a send that may have run.
	resends
	// stealsClaims withdraws the open claims of processes that are gone.
	stealsClaims
	// staleWithdraw withdraws the process's claim of a key even while an attempt
	// works on it.
	staleWithdraw
	// forgetsEarly forgets the oldest key whatever its age, as a limit on the
	// number of keys alone does.
	forgetsEarly
	// oneClock uses the claimant's clock as the agreed time.
	oneClock
	// ignoresReset does not notify the machine of a reset.
	ignoresReset
	// sendsPaused sends however long the process was paused before the send.
	sendsPaused
)

// withoutReset hides the Reset method of a machine.
type withoutReset struct {
	replayer.Machine[claimer.Result]
}

// world simulates a fleet, a log and a service, one step at a time, with random
// choices from a seed.
type world struct {
	random    *rand.Rand
	mutant    mutant
	first     int64
	records   []recorder.Record
	delayed   []delayedRecord
	processes []*process
	started   int
	runs      map[string][]string
	violation string
	replies   int
	// now is the true time in seconds; claimed is, by key, when the request of
	// the newest run arrived.
	now     int64
	claimed map[string]int64
	limits  claimer.Limits
	// resets and full count the resets and the Full refusals, which must happen
	// in some schedules.
	resets, full int
}

// process is one run of an instance.
type process struct {
	name    string
	machine *claimer.Machine
	replica *replayer.Replica[claimer.Result]
	claims  uint64
	// clockSkew is the error of its clock in seconds.
	clockSkew int64
	// active contains the requests without a reply, in the order of arrival.
	active []*request
	seq    uint64
}

// request is a client's request at a process, with its next step.
type request struct {
	key     string
	attempt *claimer.Attempt
	step    claimer.Step
	// receivedAt is when the request arrived, sentAt when its send began.
	receivedAt, sentAt int64
	// awaitedSeq is the origin sequence of the entry that must be read back, or
	// 0.
	awaitedSeq uint64
	// sending is set while the write is on the way to the service.
	sending bool
	notRun  bool
	replied bool
}

// The limits of a world: unlimited are never reached, smallLimits all the time.
var (
	unlimited   = claimer.Limits{Keys: 1000, Answers: 1000, Bytes: 1 << 20, Remember: time.Hour}
	smallLimits = claimer.Limits{Keys: 3, Answers: 2, Bytes: 1 << 20, Remember: 5 * time.Minute}
	// smallAnswers are used in worlds in which retention drops records that no
	// snapshot covers.
	smallAnswers = claimer.Limits{Keys: 1000, Answers: 2, Bytes: 1 << 20, Remember: 5 * time.Minute}
)

func newWorld(seed int64, m mutant) *world {
	w := &world{
		random: rand.New(rand.NewSource(seed)), mutant: m, limits: unlimited,
		runs: map[string][]string{}, claimed: map[string]int64{}, now: 1 << 30,
	}
	switch seed % 4 {
	case 0:
		w.limits = smallAnswers
	case 2:
		w.limits = smallLimits
	}
	for range 3 {
		w.processes = append(w.processes, w.startProcess())
	}
	return w
}

func (w *world) startProcess() *process {
	w.started++
	limits := w.limits
	if w.mutant == forgetsEarly {
		limits.Remember = -time.Hour
	}
	m := claimer.NewMachine(limits)
	p := &process{name: fmt.Sprint("p", w.started), machine: m}
	if w.random.Intn(2) == 0 && !slices.ContainsFunc(w.processes, func(q *process) bool { return q.clockSkew != 0 }) {
		p.clockSkew = int64(w.random.Intn(200_000) - 100_000)
	}
	var machine replayer.Machine[claimer.Result] = m
	if w.mutant == ignoresReset {
		machine = withoutReset{m}
	}
	p.replica = replayer.NewReplica(machine)
	return p
}

func (w *world) fail(text string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(text, args...)
	}
}

func (w *world) add(data []byte) {
	w.records = append(w.records, recorder.Record{Offset: w.first + int64(len(w.records)), Data: data})
}

// delayedRecord is a record whose append is delayed. It is appended within
// claimer.MaxSkew or never.
type delayedRecord struct {
	data []byte
	at   int64
}

func (w *world) deliver(d delayedRecord) {
	if w.now-d.at <= int64(claimer.MaxSkew.Seconds()) {
		w.add(d.data)
	}
}

func encode(p *process, kind string, body any) (uint64, []byte) {
	p.seq++
	data, err := msgpack.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	origin := replayer.Origin{Instance: p.name, Seq: p.seq}
	record, err := replayer.Encode([]replayer.Entry{{Kind: kind, Origin: origin, Body: data}})
	Expect(err).NotTo(HaveOccurred())
	return p.seq, record
}

// append ends an append with a random outcome of those that the log has:
// refused, lost, delayed, appended without confirmation, appended twice, or
// appended. It returns nil if the process waits for the entry, and the error if
// it gives up.
func (w *world) append(data []byte) error {
	lost := judge.Unknown("log", "lost", nil)
	switch w.random.Intn(10) {
	case 0:
		return judge.Unavailable("log", "refused", 0)
	case 1:
		return lost
	case 2:
		w.delayed = append(w.delayed, delayedRecord{data, w.now})
		return lost
	case 3:
		w.add(data)
		return lost
	case 4:
		w.add(data)
		w.delayed = append(w.delayed, delayedRecord{data, w.now})
		return nil
	}
	w.add(data)
	return nil
}

func (w *world) receiveRequest() {
	p, other := w.pick(), w.pick()
	key := fmt.Sprint("k", w.random.Intn(4))
	p.claims++
	now := claimer.AgreedTime(w.now+p.clockSkew, w.now+other.clockSkew)
	if p == other && w.mutant != oneClock {
		now = 0
	}
	if w.mutant == oneClock {
		now = w.now + p.clockSkew
	}
	r := &request{key: key, attempt: claimer.NewAttempt(claimer.Claim{
		Key: key, Digest: claimer.DigestOf([]byte(key)),
		Owner: claimer.Owner{Instance: p.name, Attempt: p.claims}, Time: w.now + p.clockSkew, Now: now,
	}), receivedAt: w.now}
	keyState, known := p.machine.Lookup(key)
	r.step = r.attempt.Start(keyState, known)
	p.active = append(p.active, r)
}

func (w *world) pick() *process { return w.processes[w.random.Intn(len(w.processes))] }

// act executes the next step of a random request of a random process.
func (w *world) act() {
	p := w.pick()
	if len(p.active) == 0 || !p.replica.Complete() {
		return
	}
	r := p.active[w.random.Intn(len(p.active))]
	if r.awaitedSeq != 0 {
		if w.random.Intn(6) == 0 {
			w.giveUp(r)
		}
		return
	}
	switch r.step.Act {
	case claimer.ActClaim:
		seq, data := encode(p, claimer.KindClaim, r.attempt.Claim())
		w.submit(r, seq, data)
	case claimer.ActSend:
		w.send(p, r)
	case claimer.ActRecord:
		body := claimer.Record{Key: r.key, Owner: r.attempt.Claim().Owner, Outcome: r.step.Outcome}
		seq, data := encode(p, claimer.KindOutcome, body)
		w.submit(r, seq, data)
	case claimer.ActWithdraw:
		body := claimer.Withdraw{Key: r.key, Owner: r.attempt.Claim().Owner}
		seq, data := encode(p, claimer.KindWithdraw, body)
		w.submit(r, seq, data)
	case claimer.ActWait:
		keyState, known := p.machine.Lookup(r.key)
		if known || p.machine.Freed(r.step.WaitFor) {
			r.step = r.attempt.WaitEnded(keyState, !known, w.random.Intn(3) == 0)
		}
	}
	w.reply(p, r)
}

func (w *world) submit(r *request, seq uint64, data []byte) {
	err := w.append(data)
	if err == nil {
		r.awaitedSeq = seq
		if w.mutant == sendsOnAppend && r.step.Act == claimer.ActClaim {
			r.awaitedSeq = 0
			r.step = r.attempt.Claimed(claimer.Result{Answer: claimer.Accepted})
		}
		return
	}
	w.submitFailed(r, err)
}

// giveUp ends a wait for an entry that is not read back in time.
func (w *world) giveUp(r *request) {
	r.awaitedSeq = 0
	w.submitFailed(r, judge.Unknown("log", "late", nil))
}

func (w *world) submitFailed(r *request, err error) {
	switch r.step.Act {
	case claimer.ActClaim:
		r.step = r.attempt.ClaimFailed(err)
	case claimer.ActRecord:
		// The process keeps the outcome and submits it again.
	case claimer.ActWithdraw:
		r.step = r.attempt.Withdrawn()
	}
}

// send starts a send to the service, or ends it with a random outcome.
func (w *world) send(p *process, r *request) {
	if !r.sending && w.limits.TooLate(time.Duration(w.now-r.receivedAt)*time.Second) && w.mutant != sendsPaused {
		r.step = r.attempt.Paused()
		return
	}
	if !r.sending {
		r.sending = true
		r.sentAt = w.now
		return
	}
	r.sending = false
	if w.limits.TooLate(time.Duration(w.now-r.sentAt) * time.Second) {
		r.step = r.attempt.SendFailed(judge.Unknown("service", "no answer", nil), false)
		return
	}
	if w.random.Intn(4) == 0 {
		r.step = r.attempt.SendFailed(judge.Unavailable("service", "not reachable", 0), w.random.Intn(2) == 0)
		return
	}
	run := w.run(p, r)
	if w.random.Intn(4) == 0 {
		verdict := error(judge.Unknown("service", "reply lost", nil))
		if w.mutant == resends {
			verdict = judge.Unavailable("service", "reply lost", 0)
		}
		r.step = r.attempt.SendFailed(verdict, true)
		return
	}
	r.step = r.attempt.Responded(claimer.Outcome{Status: 200, Body: []byte(run)})
}

func (w *world) run(p *process, r *request) string {
	run := fmt.Sprint(p.name, "/", r.attempt.Claim().Owner.Attempt)
	w.runs[r.key] = append(w.runs[r.key], run)
	since := w.now - w.claimed[r.key]
	if w.claimed[r.key] = r.receivedAt; len(w.runs[r.key]) > 1 && (w.limits == unlimited || since <= int64(smallLimits.Remember.Seconds())) {
		w.fail("%s ran twice: %v, %d s after the earlier request", r.key, w.runs[r.key], since)
	}
	if r.notRun {
		w.fail("%s ran after its client got NotRun", run)
	}
	return run
}

func (w *world) reply(p *process, r *request) {
	if r.step.Act != claimer.ActReply || r.replied {
		return
	}
	r.replied = true
	w.replies++
	own := fmt.Sprint(p.name, "/", r.attempt.Claim().Owner.Attempt)
	switch {
	case r.step.Refusal == nil:
		if !slices.Contains(w.runs[r.key], string(r.step.Outcome.Body)) {
			w.fail("%s got the reply %q, but %v ran", r.key, r.step.Outcome.Body, w.runs[r.key])
		}
	case r.step.Refusal.Verdict == judge.NotRun:
		r.notRun = true
		if r.step.Refusal.Code == claimer.CodeFull {
			w.full++
		}
		if slices.Contains(w.runs[r.key], own) {
			w.fail("%s ran, but its client gets NotRun", own)
		}
	}
	p.active = slices.DeleteFunc(p.active, func(x *request) bool { return x == r && w.mutant != sendsLate })
}

// read lets a process read up to limit records.
func (w *world) read(p *process, limit int) {
	w.feedReplica(p, limit)
	w.withdrawUnused(p)
}

func (w *world) feedReplica(p *process, limit int) {
	next := p.replica.NextOffset()
	batch := recorder.Batch{First: w.first, Next: w.first + int64(len(w.records))}
	start := max(next, w.first)
	if end := min(batch.Next, start+int64(limit)); start < end {
		batch.Records = w.records[start-w.first : end-w.first]
	}
	for _, a := range p.replica.ApplyBatch(batch) {
		if a.Origin.Instance == p.name {
			w.resolve(p, a)
		}
	}
}

func (w *world) resolve(p *process, a replayer.Applied[claimer.Result]) {
	for _, r := range p.active {
		if r.awaitedSeq != a.Origin.Seq {
			continue
		}
		r.awaitedSeq = 0
		switch r.step.Act {
		case claimer.ActClaim:
			r.step = r.attempt.Claimed(a.Result)
		case claimer.ActRecord:
			r.step = r.attempt.Recorded()
		case claimer.ActWithdraw:
			r.step = r.attempt.Withdrawn()
		}
		w.reply(p, r)
		return
	}
}

// withdrawUnused withdraws, at random, the process's claims that no attempt works
// on.
func (w *world) withdrawUnused(p *process) {
	if w.random.Intn(3) > 0 {
		return
	}
	for i := range 4 {
		key := fmt.Sprint("k", i)
		keyState, known := p.machine.Lookup(key)
		if !known || keyState.Outcome != nil {
			continue
		}
		mine := keyState.Owner.Instance == p.name
		gone := !slices.ContainsFunc(w.processes, func(q *process) bool { return q.name == keyState.Owner.Instance })
		if !mine && (w.mutant != stealsClaims || !gone) {
			continue
		}
		working := slices.ContainsFunc(p.active, func(r *request) bool {
			return r.attempt.Claim().Owner == keyState.Owner && !r.replied
		})
		if working && w.mutant != staleWithdraw {
			continue
		}
		if w.mutant == sendsLate && mine {
			w.sendLate(p, keyState.Owner)
			continue
		}
		_, data := encode(p, claimer.KindWithdraw, claimer.Withdraw{Key: key, Owner: keyState.Owner})
		_ = w.append(data)
	}
}

func (w *world) sendLate(p *process, owner claimer.Owner) {
	for _, r := range p.active {
		if r.attempt.Claim().Owner == owner && r.replied {
			w.run(p, r)
		}
	}
}

// step executes one random action.
func (w *world) step() {
	w.now += int64(w.random.Intn(3))
	if w.random.Intn(60) == 0 {
		w.now += int64(w.random.Intn(400))
	}
	switch w.random.Intn(15) {
	case 0, 1:
		w.receiveRequest()
	case 2, 3, 4, 5, 6:
		w.act()
	case 7, 8, 9, 10:
		w.read(w.pick(), 1+w.random.Intn(6))
	case 11:
		if len(w.delayed) > 0 {
			i := w.random.Intn(len(w.delayed))
			w.deliver(w.delayed[i])
			w.delayed = slices.Delete(w.delayed, i, i+1)
		}
	case 12:
		if w.random.Intn(8) == 0 {
			w.processes[w.random.Intn(len(w.processes))] = w.startProcess()
		}
	case 13:
		w.retain()
	case 14:
		w.expireRecords()
	}
}

// expireRecords lets retention drop records whether a snapshot covers them or
// not. Processes whose replica is not complete then append a reset for the
// offset that they have read up to.
func (w *world) expireRecords() {
	if drop := w.random.Intn(len(w.records) + 1); w.limits == smallAnswers && w.random.Intn(2) == 0 {
		w.first += int64(drop)
		w.records = slices.Clone(w.records[drop:])
	}
	for _, p := range w.processes {
		if p.replica.Complete() || w.random.Intn(3) > 0 {
			continue
		}
		w.resets++
		_, data := encode(p, replayer.KindReset, replayer.Reset{Read: p.replica.NextOffset(), From: p.replica.FirstOffset()})
		_ = w.append(data)
	}
}

// retain writes a snapshot and lets the log drop the records before it.
func (w *world) retain() {
	p := w.pick()
	s, err := p.replica.Snapshot()
	if err != nil || w.random.Intn(4) > 0 {
		return
	}
	s.Writer, s.Time = p.name, int64(len(w.records))
	for _, part := range s.Split(256) {
		_, data := encode(p, replayer.KindSnapshot, part)
		w.add(data)
	}
	if drop := s.Read - w.first; drop > 0 && w.random.Intn(2) == 0 {
		w.first = s.Read
		w.records = slices.Clone(w.records[drop:])
	}
}

// endFaults delivers the delayed records, lets all processes read to the end, and
// checks that they agree with a fresh reader and with the writes that ran.
func (w *world) endFaults() {
	for _, d := range w.delayed {
		w.deliver(d)
	}
	w.delayed = nil
	for range 40 {
		for _, p := range w.processes {
			w.read(p, 1<<20)
		}
		w.act()
	}
	fresh := w.startProcess()
	for range 2 + w.resets {
		// A reset moves its reader back to an earlier offset.
		w.feedReplica(fresh, 1<<20)
	}
	for _, p := range w.processes {
		w.feedReplica(p, 1<<20)
		for key, runs := range maps.All(w.runs) {
			a, _ := p.machine.Lookup(key)
			b, _ := fresh.machine.Lookup(key)
			if fresh.replica.Complete() && p.replica.Complete() && (a.Owner != b.Owner || (a.Outcome == nil) != (b.Outcome == nil)) {
				w.fail("%s: %s and a fresh reader disagree", key, p.name)
			}
			if a.Outcome != nil && !a.Outcome.Unknown && !a.Outcome.BodyDropped && !slices.Contains(runs, string(a.Outcome.Body)) {
				w.fail("%s: recorded %q, but %q ran", key, a.Outcome.Body, runs[0])
			}
		}
	}
}
