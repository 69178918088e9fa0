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

// Ticket is one request inside a Core. Exactly one of Grant and Refusal is set
// once it is settled.
type Ticket struct {
	Work    Work
	Grant   *Grant
	Refusal *judge.Refusal
	// Tag is free for the owner of the core.
	Tag any

	request router.Request
	item    *limiter.Item[*Ticket]
}

// Settled reports whether the ticket has been granted or refused.
func (t *Ticket) Settled() bool { return t.Grant != nil || t.Refusal != nil }

// Until returns when a waiting ticket will be refused; zero means never.
func (t *Ticket) Until() time.Time {
	if t.item == nil {
		return time.Time{}
	}
	return t.item.Limit()
}

// Core decides for one entry instance. It does no I/O, reads no clock and is
// not safe for concurrent use. Each call takes the time and returns the
// tickets that it settled besides its own.
type Core struct {
	options
	router *router.Router
	queue  *limiter.Queue[*Ticket]
	budget *limiter.Budget
	random *rand.Rand
	demand demand
	counts Counts
	// groups names the queues that an engine can serve.
	groups map[string][]string
}

// Counts is what a core has decided since its start.
type Counts struct {
	Granted  int64 `json:"granted"`
	Queued   int64 `json:"queued"`
	Refused  int64 `json:"refused"`
	Expired  int64 `json:"expired"`
	Retries  int64 `json:"retries"`
	Rerouted int64 `json:"rerouted"`
}

// NewCore returns a core that knows no engines yet.
func NewCore(opts ...Option) *Core {
	o := newOptions(opts)
	return &Core{
		options: o,
		router:  router.New(append([]router.Option{router.WithSeed(o.seed), router.WithZone(o.zone)}, o.router...)...),
		queue:   limiter.NewQueue[*Ticket](o.queue...),
		budget:  limiter.NewBudget(o.retryShare, o.retryBurst),
		random:  rand.New(rand.NewPCG(o.seed, 0xd1b54a32d192ed03)),
		demand:  newDemand(o.halfLife),
	}
}

// Offer takes new work. The ticket comes back granted, refused or waiting.
func (c *Core) Offer(now time.Time, work Work) *Ticket {
	t := &Ticket{Work: work, request: requestOf(&work)}
	if len(work.Exclude) == 0 {
		c.budget.Fresh()
		c.demand.count(now, work)
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
		Session:  xxhash.Sum64String(w.Caller),
		Deferred: w.Deferred,
		Exclude:  w.Exclude,
		Losses:   w.Losses,
	}
}

func (c *Core) admit(now time.Time, t *Ticket) {
	if !t.Work.Deadline.IsZero() && !t.Work.Deferred && !now.Before(t.Work.Deadline) {
		c.refuse(t, CodeLate, "the deadline has passed", c.backlog(t.Work.Weights))
		return
	}
	choice := router.Choice{Status: router.Full}
	if !c.overtakes(now, t) {
		choice = c.router.Choose(now, &t.request)
	}
	if choice.Status == router.Found && c.meets(now, t, choice.First) {
		c.grant(now, t, choice)
		return
	}
	c.wait(now, t, choice)
}

// overtakes reports whether a grant now would pass waiting work that goes
// first.
func (c *Core) overtakes(now time.Time, t *Ticket) bool {
	first := c.queue.Peek(now, groupOf(&t.Work))
	if first == nil {
		return false
	}
	if t.Work.Deferred {
		return true
	}
	return !first.Deferred && first.Priority >= t.Work.Priority
}

// meets reports whether a first token after a time is within the deadline.
func (c *Core) meets(now time.Time, t *Ticket, first time.Duration) bool {
	if t.Work.Deadline.IsZero() || t.Work.Deferred || !c.refusing {
		return true
	}
	return !now.Add(first).After(t.Work.Deadline)
}

func (c *Core) grant(now time.Time, t *Ticket, choice router.Choice) {
	grant := Grant{Work: t.Work, Engine: choice.Engine, At: now}
	for _, w := range choice.Why {
		grant.Why = append(grant.Why, Candidate(w))
	}
	t.Grant = &grant
	c.counts.Granted++
	c.router.Sent(now, choice.Engine.Name, &t.request)
}

// The codes of refusals.
const (
	// CodeLate is for work that comes after its deadline.
	CodeLate = "late"
	// CodeFull is for work that would not get a place in time.
	CodeFull = "overloaded"
	// CodeAbsent is for work whose model would not be loaded in time.
	CodeAbsent = "loading"
	// CodeExpired is for work that has waited in vain.
	CodeExpired = "queue-timeout"
	// CodeGone is for work whose caller went away.
	CodeGone = "gave-up"
)

// wait queues work that no engine can take now, unless it is clear already
// that it would wait in vain.
func (c *Core) wait(now time.Time, t *Ticket, choice router.Choice) {
	w := t.Work
	estimate := c.estimate(t, choice.Status)
	c.demand.miss(now, w, choice.Status)
	switch {
	case w.Queue <= 0:
		c.refuse(t, CodeFull, "no engine has a free place", estimate)
		return
	case choice.Status == router.Absent && !w.Deferred && c.refusing && c.tooLate(now, t, c.loadTime):
		c.refuse(t, CodeAbsent, "no engine holds the model yet", c.loadTime)
		return
	case !w.Deferred && c.refusing && c.tooLate(now, t, estimate):
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
		Group:    groupOf(&w),
		Caller:   w.Caller,
		Priority: w.Priority,
		Deadline: w.Deadline,
		Expires:  now.Add(w.Queue),
		Deferred: w.Deferred,
		Value:    t,
	}
	if w.Deferred && !w.Deadline.IsZero() {
		created := w.Created
		if created.IsZero() {
			created = now
		}
		item.Due = w.Deadline.Add(-time.Duration(float64(w.Deadline.Sub(created)) * c.dueShare))
	}
	return item
}

func (c *Core) tooLate(now time.Time, t *Ticket, wait time.Duration) bool {
	if wait > t.Work.Queue {
		return true
	}
	return !t.Work.Deadline.IsZero() && now.Add(wait).After(t.Work.Deadline)
}

// estimate returns how long work would wait behind what is queued already.
func (c *Core) estimate(t *Ticket, status router.Status) time.Duration {
	if status == router.Loading || status == router.Absent {
		// A load in progress may end at any moment, so it alone is no reason
		// to refuse.
		return 0
	}
	ahead := c.queue.Ahead(groupOf(&t.Work), t.Work.Priority, t.Work.Deadline)
	return c.drain(t.Work.Weights, ahead)
}

// drain returns how long the engines of some weights need for a number of
// requests. Other instances have their share of the same engines, but what
// they take is in the service time that is measured.
func (c *Core) drain(w driver.Weights, count int) time.Duration {
	places, _ := c.router.Capacity(w)
	if places == 0 {
		return c.loadTime
	}
	return time.Duration(count) * c.router.Service(w.Model) / time.Duration(places)
}

// backlog returns how long all waiting work of a group needs.
func (c *Core) backlog(w driver.Weights) time.Duration {
	urgent, _ := c.queue.Waiting(groupName(w))
	return c.drain(w, urgent+1)
}

// refuse answers at once. The time to come back is spread, so that the refused
// do not return together.
func (c *Core) refuse(t *Ticket, code, reason string, wait time.Duration) {
	base := max(wait, c.backlog(t.Work.Weights), c.minRetry)
	spread := 0.5 + c.random.Float64()
	retry := min(time.Duration(float64(base)*spread), c.maxRetry)
	t.Refusal = judge.Unavailable(code, reason, max(retry, c.minRetry))
	c.counts.Refused++
}

// Release takes a place back, and gives it to waiting work.
func (c *Core) Release(now time.Time, g Grant, result Result) []*Ticket {
	q := requestOf(&g.Work)
	c.router.Done(now, g.Engine.Name, &q, outcomeOf(result))
	var settled []*Ticket
	settled = c.expire(now, settled)
	for c.fill(now, g.Engine.Name, &settled) {
	}
	return settled
}

// outcomeOf says what a result tells of the engine. A request that ran and
// still failed, say since its caller hung up, is no fault of the engine's; its
// times say nothing either.
func outcomeOf(r Result) router.Outcome {
	o := router.Outcome{
		Failed:  r.Crashed || (r.Failed && r.Verdict != judge.Ran),
		Crashed: r.Crashed,
		Load:    r.Load,
	}
	if !r.Failed {
		o.First, o.Total = r.First, r.Total
	}
	return o
}

// fill gives one place on an engine to the waiting work that goes first among
// all the weights that the engine holds. The next in order is tried when the
// first may not use the engine.
func (c *Core) fill(now time.Time, engine string, settled *[]*Ticket) bool {
	if c.queue.Len() == 0 {
		return false
	}
	var heads []*limiter.Item[*Ticket]
	for _, name := range c.groups[engine] {
		if head := c.queue.Peek(now, name); head != nil {
			heads = append(heads, head)
		}
	}
	slices.SortFunc(heads, func(a, b *limiter.Item[*Ticket]) int { return order(now, a, b) })
	for _, head := range heads {
		if c.try(now, head, settled) {
			return true
		}
	}
	return false
}

// order compares the heads of two groups: urgent work before deferred, then by
// priority and deadline.
func order(now time.Time, a, b *limiter.Item[*Ticket]) int {
	x, y := a.Deferred && !a.IsDue(now), b.Deferred && !b.IsDue(now)
	switch {
	case x && !y:
		return 1
	case y && !x:
		return -1
	case a.Priority != b.Priority:
		return cmp.Compare(b.Priority, a.Priority)
	case a.Deadline.IsZero() != b.Deadline.IsZero():
		return cmp.Compare(btoi(a.Deadline.IsZero()), btoi(b.Deadline.IsZero()))
	}
	return a.Deadline.Compare(b.Deadline)
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// try gives a waiting item a place if there is one.
func (c *Core) try(now time.Time, i *limiter.Item[*Ticket], settled *[]*Ticket) bool {
	t := i.Value
	// Deferred work that is due may take the places that are kept for urgent
	// work: it is late soon.
	t.request.Deferred = i.Deferred && !i.IsDue(now)
	choice := c.router.Choose(now, &t.request)
	if choice.Status != router.Found {
		return false
	}
	c.queue.Take(i)
	t.item = nil
	*settled = append(*settled, t)
	if !c.meets(now, t, choice.First) {
		c.refuse(t, CodeFull, "no engine can meet the deadline", choice.First)
		return true
	}
	c.grant(now, t, choice)
	return true
}

// Engines takes what is known of the engines, and gives waiting work the
// places that have turned up.
func (c *Core) Engines(now time.Time, all []Engine) []*Ticket {
	known := make([]router.Engine, len(all))
	for i, e := range all {
		known[i] = router.Engine(e)
	}
	c.router.Update(known)
	c.groups = make(map[string][]string, len(all))
	for _, e := range all {
		c.groups[e.Name] = groupsOn(e)
	}
	var settled []*Ticket
	settled = c.expire(now, settled)
	if c.queue.Len() > 0 {
		for i := range all {
			for c.fill(now, all[i].Name, &settled) {
			}
		}
	}
	return settled
}

// Cached takes a cache event of an engine.
func (c *Core) Cached(engine string, event driver.CacheEvent) { c.router.Cached(engine, event) }

// Expire refuses the work that has waited too long.
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

// Abandon takes a waiting ticket out whose caller has gone.
func (c *Core) Abandon(t *Ticket) {
	if t.item != nil {
		c.queue.Remove(t.item)
		t.item = nil
	}
	if !t.Settled() {
		c.refuse(t, CodeGone, "the caller gave up", 0)
	}
}

// Retry reports whether the retry budget allows one more try.
func (c *Core) Retry() bool {
	ok := c.budget.Retry()
	if ok {
		c.counts.Retries++
	}
	return ok
}

// Rate returns the recent demand for a model in requests a second, adapters
// included, and how many engines hold it. It is cheap enough for each request.
func (c *Core) Rate(now time.Time, model string) (rate float64, copies int) {
	copies, _ = c.router.Copies(driver.Weights{Model: model})
	return c.demand.rate(now, model), copies
}

// Demand returns the recent demand for each model and class.
func (c *Core) Demand(now time.Time) []Demand {
	all := c.demand.rates(now)
	for i := range all {
		all[i].Service = c.router.Service(all[i].Model)
	}
	return all
}

// State is a core's state for operators.
type State struct {
	Counts
	Waiting  int `json:"waiting"`
	Deferred int `json:"deferred"`
	// Groups is the waiting work for each weights.
	Groups []Group `json:"groups"`
}

// Group is the waiting work for one weights.
type Group struct {
	Weights  string `json:"weights"`
	Urgent   int    `json:"urgent"`
	Deferred int    `json:"deferred"`
}

// State returns the counts and the queues.
func (c *Core) State() State {
	s := State{Counts: c.counts, Waiting: c.queue.Len(), Deferred: c.queue.Deferred()}
	for _, name := range c.queue.Groups() {
		urgent, deferred := c.queue.Waiting(name)
		s.Groups = append(s.Groups, Group{Weights: name, Urgent: urgent, Deferred: deferred})
	}
	return s
}

// groupOf names the queue that work waits in. Work that has failed on an
// engine waits apart: as the head of the common queue it would keep others
// from the very engine that it must not use.
func groupOf(w *Work) string {
	name := groupName(w.Weights)
	if len(w.Exclude) > 0 {
		name += retrySuffix
	}
	return name
}

// retrySuffix marks the queue of work that has failed on an engine.
const retrySuffix = "!retry"

// groupName names the queue of some weights, such as "survey/branch-7@2". Work
// that names no version waits for any.
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

// groupsOn names the queues that an engine can serve.
func groupsOn(e Engine) []string {
	var names []string
	for _, w := range e.Report.Residents {
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
