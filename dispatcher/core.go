package dispatcher

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"primrosehook/driver"
	"primrosehook/judge"
	"primrosehook/limiter"
	"primrosehook/router"
)

// Ticket is a request in a Core. It is settled once it has been granted or refused:
// exactly one of Grant and Refusal is then set.
type Ticket struct {
	Work    Work
	Grant   *Grant
	Refusal *judge.Refusal
	// Tag is for use by the owner of the Core, which ignores it.
	Tag any

	request router.Request
	item    *limiter.Item[*Ticket]
}

// Settled reports whether the ticket has been granted or refused.
func (t *Ticket) Settled() bool { return t.Grant != nil || t.Refusal != nil }

// ExpiresAt returns when a waiting ticket expires; zero means never, or that the
// ticket is not waiting.
func (t *Ticket) ExpiresAt() time.Time {
	if t.item == nil {
		return time.Time{}
	}
	return t.item.ExpiresAt()
}

// Core makes the decisions of a dispatcher: admission, routing and queueing. It
// does no I/O, reads no clock and is not safe for concurrent use. Its methods take
// the current time, and return the waiting tickets that they settled.
type Core struct {
	options
	router *router.Router
	queue  *limiter.Queue[*Ticket]
	budget *limiter.RetryBudget
	random *rand.Rand
	demand demandTracker
	counts Counts
	// groupsByEngine lists the queue groups that each engine can serve.
	groupsByEngine map[string][]string
}

// Counts counts the decisions of a core since its start.
type Counts struct {
	Granted  int64 `json:"granted"`
	Queued   int64 `json:"queued"`
	Refused  int64 `json:"refused"`
	Expired  int64 `json:"expired"`
	Retries  int64 `json:"retries"`
	Rerouted int64 `json:"rerouted"`
}

// NewCore returns a core without engines.
func NewCore(opts ...Option) *Core {
	o := newOptions(opts)
	return &Core{
		options: o,
		router:  router.New(append([]router.Option{router.WithSeed(o.seed), router.WithZone(o.zone)}, o.router...)...),
		queue:   limiter.NewQueue[*Ticket](o.queue...),
		budget:  limiter.NewRetryBudget(o.retryShare, o.retryBurst),
		random:  rand.New(rand.NewPCG(o.seed, 0xd1b54a32d192ed03)),
		demand:  newDemand(o.halfLife),
	}
}

// Offer adds new work. The returned ticket is granted, refused or waiting.
func (c *Core) Offer(now time.Time, work Work) *Ticket {
	t := &Ticket{Work: work, request: requestOf(&work)}
	// Work that excludes an engine is a retry, so it is not counted as new demand.
	if len(work.Exclude) == 0 {
		c.budget.Fresh()
		c.demand.add(now, work)
	} else {
		c.counts.Rerouted++
	}
	c.admit(now, t)
	return t
}

func requestOf(w *Work) router.Request {
	return router.Request{
		Weights:  w.Weights,
		Prefixes: w.Prefixes,
		Prompt:   w.Prompt,
		Priority: w.Priority,
		Session:  xxhash.Sum64String(w.Client),
		Deferred: w.Deferred,
		Exclude:  w.Exclude,
		Crashes:  w.Crashes,
	}
}

// admit grants, refuses or queues a new ticket.
func (c *Core) admit(now time.Time, t *Ticket) {
	if !t.Work.Deadline.IsZero() && !t.Work.Deferred && !now.Before(t.Work.Deadline) {
		c.refuse(t, CodeLate, "the deadline has passed", c.backlogTime(t.Work.Weights))
		return
	}
	choice := router.Choice{Status: router.Full}
	if !c.wouldOvertake(now, t) {
		choice = c.router.Choose(now, &t.request)
	}
	if choice.Status == router.Found && c.meetsDeadline(now, t, choice.FirstToken) {
		c.grant(now, t, choice)
		return
	}
	c.enqueue(now, t, choice)
}

// wouldOvertake reports whether a grant now would overtake waiting work of the
// same group that goes first.
func (c *Core) wouldOvertake(now time.Time, t *Ticket) bool {
	first := c.queue.Peek(now, groupOf(&t.Work))
	if first == nil {
		return false
	}
	if t.Work.Deferred {
		return true
	}
	return !first.Deferred && first.Priority >= t.Work.Priority
}

// meetsDeadline reports whether a first token after the given time meets the
// deadline. It is true for deferred work, and if early refusal is off.
func (c *Core) meetsDeadline(now time.Time, t *Ticket, first time.Duration) bool {
	if t.Work.Deadline.IsZero() || t.Work.Deferred || !c.refuseEarly {
		return true
	}
	return !now.Add(first).After(t.Work.Deadline)
}

func (c *Core) grant(now time.Time, t *Ticket, choice router.Choice) {
	grant := Grant{Work: t.Work, Engine: choice.Engine, At: now}
	for _, w := range choice.Candidates {
		grant.Candidates = append(grant.Candidates, Candidate(w))
	}
	t.Grant = &grant
	c.counts.Granted++
	c.router.Sent(now, choice.Engine.Name, &t.request)
}

// Codes of refusals.
const (
	// CodeLate means that the work arrived after its deadline.
	CodeLate = "late"
	// CodeFull means that the work would not get a slot in time.
	CodeFull = "overloaded"
	// CodeAbsent means that the model would not be loaded in time.
	CodeAbsent = "loading"
	// CodeExpired means that the work expired in the queue.
	CodeExpired = "queue-timeout"
	// CodeClientGone means that the client disconnected.
	CodeClientGone = "gave-up"
)

// enqueue queues work that no engine can take now. It refuses work that may not
// queue, that is estimated to expire in the queue, or that exceeds its limits.
func (c *Core) enqueue(now time.Time, t *Ticket, choice router.Choice) {
	w := t.Work
	estimate := c.estimateWait(t, choice.Status)
	c.demand.addMissed(now, w, choice.Status)
	switch {
	case w.MaxWait <= 0:
		c.refuse(t, CodeFull, "no engine has a free place", estimate)
		return
	case choice.Status == router.Absent && !w.Deferred && c.refuseEarly && c.exceedsWait(now, t, c.loadTime):
		c.refuse(t, CodeAbsent, "no engine holds the model yet", c.loadTime)
		return
	case !w.Deferred && c.refuseEarly && c.exceedsWait(now, t, estimate):
		c.refuse(t, CodeFull, "the backlog is longer than the deadline", estimate)
		return
	}
	item := c.itemOf(now, t)
	if !c.queue.Push(item) {
		c.refuse(t, CodeFull, "the queue is full", estimate)
		return
	}
	t.item = item
	c.counts.Queued++
}

func (c *Core) itemOf(now time.Time, t *Ticket) *limiter.Item[*Ticket] {
	w := t.Work
	item := &limiter.Item[*Ticket]{
		Group:         groupOf(&w),
		Client:        w.Client,
		Priority:      w.Priority,
		Deadline:      w.Deadline,
		QueueDeadline: now.Add(w.MaxWait),
		Deferred:      w.Deferred,
		Value:         t,
	}
	if w.Deferred && !w.Deadline.IsZero() {
		created := w.Created
		if created.IsZero() {
			created = now
		}
		item.Due = w.Deadline.Add(-time.Duration(float64(w.Deadline.Sub(created)) * c.urgentShare))
	}
	return item
}

// exceedsWait reports whether a wait is longer than the work may queue, or than its
// deadline allows.
func (c *Core) exceedsWait(now time.Time, t *Ticket, wait time.Duration) bool {
	if wait > t.Work.MaxWait {
		return true
	}
	return !t.Work.Deadline.IsZero() && now.Add(wait).After(t.Work.Deadline)
}

// estimateWait returns how long work would wait behind the queued work.
func (c *Core) estimateWait(t *Ticket, status router.Status) time.Duration {
	if status == router.Loading || status == router.Absent {
		// A load may complete at any moment, so it is no reason to refuse.
		return 0
	}
	ahead := c.queue.CountAhead(groupOf(&t.Work), t.Work.Priority, t.Work.Deadline)
	return c.timeToServe(t.Work.Weights, ahead)
}

// timeToServe estimates how long the replicas of the weights need for count
// requests. It returns the load time if there are none. Peers use the same
// replicas, but the measured service time accounts for their share.
func (c *Core) timeToServe(w driver.Weights, count int) time.Duration {
	slots, _ := c.router.Capacity(w)
	if slots == 0 {
		return c.loadTime
	}
	return time.Duration(count) * c.router.Service(w.Model) / time.Duration(slots)
}

// backlogTime estimates how long the waiting urgent work of a group and one more
// request need.
func (c *Core) backlogTime(w driver.Weights) time.Duration {
	urgent, _ := c.queue.GroupLen(groupName(w))
	return c.timeToServe(w, urgent+1)
}

// refuse settles a ticket with a refusal. The retry interval is randomized, so that
// refused clients do not all retry at the same time.
func (c *Core) refuse(t *Ticket, code, reason string, wait time.Duration) {
	base := max(wait, c.backlogTime(t.Work.Weights), c.minRetry)
	spread := 0.5 + c.random.Float64()
	retry := min(time.Duration(float64(base)*spread), c.maxRetry)
	t.Refusal = judge.Unavailable(code, reason, max(retry, c.minRetry))
	c.counts.Refused++
}

// Release returns a slot, and grants free slots on that engine to waiting work.
func (c *Core) Release(now time.Time, g Grant, result Result) []*Ticket {
	q := requestOf(&g.Work)
	c.router.Done(now, g.Engine.Name, &q, outcomeOf(result))
	var settled []*Ticket
	settled = c.expire(now, settled)
	for c.dispatchNext(now, g.Engine.Name, &settled) {
	}
	return settled
}

// outcomeOf converts a result to the router's outcome. If a request ran and still
// failed, for example because its client disconnected, the engine is not at fault.
// The times of a failed request are not used.
func outcomeOf(r Result) router.Outcome {
	o := router.Outcome{
		Failed:  r.Crashed || (r.Failed && r.Verdict != judge.Ran),
		Crashed: r.Crashed,
		Load:    r.Load,
	}
	if !r.Failed {
		o.FirstToken, o.Total = r.FirstToken, r.Total
	}
	return o
}

// dispatchNext settles the first waiting ticket for which Choose finds an engine,
// among the heads of the queue groups that the given engine can serve. It reports
// whether there was one.
func (c *Core) dispatchNext(now time.Time, engine string, settled *[]*Ticket) bool {
	if c.queue.Len() == 0 {
		return false
	}
	var heads []*limiter.Item[*Ticket]
	for _, name := range c.groupsByEngine[engine] {
		if head := c.queue.Peek(now, name); head != nil {
			heads = append(heads, head)
		}
	}
	slices.SortFunc(heads, func(a, b *limiter.Item[*Ticket]) int { return compareHeads(now, a, b) })
	for _, head := range heads {
		if c.tryGrant(now, head, settled) {
			return true
		}
	}
	return false
}

// compareHeads orders the heads of two groups: urgent before deferred work, then by
// priority and deadline. Deferred work that is due counts as urgent.
func compareHeads(now time.Time, a, b *limiter.Item[*Ticket]) int {
	x, y := a.Deferred && !a.IsDue(now), b.Deferred && !b.IsDue(now)
	switch {
	case x && !y:
		return 1
	case y && !x:
		return -1
	case a.Priority != b.Priority:
		return cmp.Compare(b.Priority, a.Priority)
	case a.Deadline.IsZero() != b.Deadline.IsZero():
		return cmp.Compare(boolToInt(a.Deadline.IsZero()), boolToInt(b.Deadline.IsZero()))
	}
	return a.Deadline.Compare(b.Deadline)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// tryGrant settles a waiting item if an engine has a slot for it. The item is
// refused if that engine cannot meet its deadline. It reports whether the item
// was settled.
func (c *Core) tryGrant(now time.Time, i *limiter.Item[*Ticket], settled *[]*Ticket) bool {
	t := i.Value
	// Deferred work that is due may use the slots reserved for urgent work,
	// since its deadline is near.
	t.request.Deferred = i.Deferred && !i.IsDue(now)
	choice := c.router.Choose(now, &t.request)
	if choice.Status != router.Found {
		return false
	}
	c.queue.Dequeue(i)
	t.item = nil
	*settled = append(*settled, t)
	if !c.meetsDeadline(now, t, choice.FirstToken) {
		c.refuse(t, CodeFull, "no engine can meet the deadline", choice.FirstToken)
		return true
	}
	c.grant(now, t, choice)
	return true
}

// UpdateEngines replaces the known state of the engines, and grants their free slots to
// waiting work.
func (c *Core) UpdateEngines(now time.Time, all []Engine) []*Ticket {
	known := make([]router.Engine, len(all))
	for i, e := range all {
		known[i] = router.Engine(e)
	}
	c.router.Update(known)
	c.groupsByEngine = make(map[string][]string, len(all))
	for _, e := range all {
		c.groupsByEngine[e.Name] = groupsOn(e)
	}
	var settled []*Ticket
	settled = c.expire(now, settled)
	if c.queue.Len() > 0 {
		for i := range all {
			for c.dispatchNext(now, all[i].Name, &settled) {
			}
		}
	}
	return settled
}

// ApplyCacheEvent applies a prefix cache event of an engine.
func (c *Core) ApplyCacheEvent(engine string, event driver.CacheEvent) {
	c.router.ApplyCacheEvent(engine, event)
}

// Expire refuses the waiting work that has expired.
func (c *Core) Expire(now time.Time) []*Ticket { return c.expire(now, nil) }

func (c *Core) expire(now time.Time, settled []*Ticket) []*Ticket {
	for _, i := range c.queue.Expired(now) {
		t := i.Value
		t.item = nil
		c.counts.Expired++
		c.refuse(t, CodeExpired, "no engine had a free place in time", 0)
		settled = append(settled, t)
	}
	return settled
}

// Abandon removes a ticket from the queue whose client has disconnected, and
// refuses it unless it is settled.
func (c *Core) Abandon(t *Ticket) {
	if t.item != nil {
		c.queue.Remove(t.item)
		t.item = nil
	}
	if !t.Settled() {
		c.refuse(t, CodeClientGone, "the caller gave up", 0)
	}
}

// Retry reports whether the retry budget allows another attempt, and counts it if
// so.
func (c *Core) Retry() bool {
	ok := c.budget.Retry()
	if ok {
		c.counts.Retries++
	}
	return ok
}

// Rate returns the recent demand for a model and its adapters in requests per
// second, and the number of replicas. It is cheap enough to be called for each
// request.
func (c *Core) Rate(now time.Time, model string) (rate float64, replicas int) {
	replicas, _ = c.router.Replicas(driver.Weights{Model: model})
	return c.demand.rate(now, model), replicas
}

// Demand returns the recent demand by weights and class.
func (c *Core) Demand(now time.Time) []Demand {
	all := c.demand.rates(now)
	for i := range all {
		all[i].Service = c.router.Service(all[i].Model)
	}
	return all
}

// State is the state of a core for operators.
type State struct {
	Counts
	Waiting  int `json:"waiting"`
	Deferred int `json:"deferred"`
	// Groups is the waiting work of each queue group.
	Groups []Group `json:"groups"`
}

// Group is the waiting work of a queue group.
type Group struct {
	Weights  string `json:"weights"`
	Urgent   int    `json:"urgent"`
	Deferred int    `json:"deferred"`
}

// State returns the counts and the queues.
func (c *Core) State() State {
	s := State{Counts: c.counts, Waiting: c.queue.Len(), Deferred: c.queue.Deferred()}
	for _, name := range c.queue.Groups() {
		urgent, deferred := c.queue.GroupLen(name)
		s.Groups = append(s.Groups, Group{Weights: name, Urgent: urgent, Deferred: deferred})
	}
	return s
}

// groupOf names the queue group of work. Work that has failed on an engine has a
// group of its own: at the head of the common group, it would block other work
// from the engine that it must not use itself.
func groupOf(w *Work) string {
	name := groupName(w.Weights)
	if len(w.Exclude) > 0 {
		name += retrySuffix
	}
	return name
}

// retrySuffix marks the queue group of work that has failed on an engine.
const retrySuffix = "!retry"

// groupName names the queue group of weights, such as "survey/branch-7@2". Work
// without a version accepts any.
func groupName(w driver.Weights) string {
	name := w.Model
	if w.Adapter != "" {
		name += "/" + w.Adapter
	}
	if w.Version != "" {
		name += "@" + w.Version
	}
	return name
}

// groupsOn names the queue groups that an engine can serve.
func groupsOn(e Engine) []string {
	var names []string
	for _, w := range e.Report.Loaded {
		if w.State != driver.StateReady {
			continue
		}
		name := groupName(driver.Weights{Model: w.Model, Adapter: w.Adapter})
		names = append(names, name, name+retrySuffix)
		if w.Version != "" {
			name = groupName(w.Weights)
			names = append(names, name, name+retrySuffix)
		}
	}
	return names
}
