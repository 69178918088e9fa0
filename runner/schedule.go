package runner

import (
	"context"

	"go.uber.org/zap"

	"primrosehook/judge"
	"primrosehook/keeper"
)

func (r *Runner) nudge() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// runSchedule starts the jobs of the shards that this instance is the first
// home of. When homes disagree two may run one job; the first result stands.
func (r *Runner) runSchedule(ctx context.Context) {
	ticker := r.options.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		r.schedule(ctx)
		select {
		case <-ticker.Chan():
		case <-r.wake:
		case <-ctx.Done():
		}
	}
}

func (r *Runner) schedule(ctx context.Context) {
	var open []keeper.Job
	for _, s := range r.shards.Followed() {
		if !r.takenOver(s) {
			continue
		}
		s.Follower.View(func() { open = append(open, s.Machine.Open()...) })
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(open)
	if r.draining {
		return
	}
	for _, j := range keeper.Next(open, r.tries, r.options.Clock.Now(), r.free()) {
		t := r.tries[j.ID]
		t.Running = true
		r.tries[j.ID] = t
		r.stats.Tries++
		k := &task{runner: r, job: j}
		go k.run(ctx)
	}
}

// takenOver reports whether this instance is the first home of a shard and has
// read its log since it became that. The home before may have recorded the end
// of a job meanwhile, which would otherwise run again. While the log stays
// away, its jobs are run after a wait as they are known here.
func (r *Runner) takenOver(s *shard) bool {
	status := s.Follower.Status()
	if !r.shards.Home(s.Stream) || !status.Current {
		delete(r.homeSince, s.Index)
		return false
	}
	since, ok := r.homeSince[s.Index]
	if !ok {
		since = r.options.Clock.Now()
		r.homeSince[s.Index] = since
	}
	return status.ReadAt.After(since) || r.options.Clock.Since(since) > takeoverWait
}

// free returns how many more jobs may start. It is called with the lock held.
func (r *Runner) free() int {
	if len(r.ended) >= maxUnrecorded {
		return 0
	}
	free := r.options.running + len(r.ended)
	for _, t := range r.tries {
		if t.Running {
			free--
		}
	}
	return free
}

// forget drops what is known of jobs that are no longer open here. It is
// called with the lock held.
func (r *Runner) forget(open []keeper.Job) {
	known := make(map[string]bool, len(open))
	for _, j := range open {
		known[j.ID] = true
	}
	for id, t := range r.tries {
		if !t.Running && !known[id] {
			delete(r.tries, id)
		}
	}
}

// task is one try of a job.
type task struct {
	runner *Runner
	job    keeper.Job
}

func (k *task) run(ctx context.Context) {
	r := k.runner
	limit, cancel := context.WithTimeout(ctx, r.options.try)
	result, err := r.do(limit, k.job)
	cancel()
	if ctx.Err() != nil {
		// The next home runs it again.
		return
	}
	if err == nil && len(result) > keeper.MaxResult {
		err = judge.Invalid("size", "result is too large to be kept")
	}
	now := r.options.Clock.Now()
	end, over := keeper.Ended(k.job, result, err, now, r.options.grace)
	r.mu.Lock()
	if !over {
		r.tries[k.job.ID] = r.tries[k.job.ID].Fail(k.job.ID, err, now)
		r.mu.Unlock()
		r.options.Logger.Info("runner: job failed; it is tried again", zap.String("job", k.job.ID), zap.Error(err))
		return
	}
	r.ended[k.job.ID] = end
	r.mu.Unlock()
	k.record(ctx, end)
}

// record puts the end of a job into the log, as often as it takes. While the
// log is down the result is kept here only; if this instance is lost with it,
// the job runs again.
func (k *task) record(ctx context.Context, end keeper.Done) {
	r := k.runner
	index, _ := r.shardOf(end.ID)
	s, done := r.shards.Use(index)
	defer done()
	for ctx.Err() == nil {
		limit, cancel := context.WithTimeout(ctx, r.options.submit)
		outcome, err := s.Follower.Submit(limit, keeper.KindDone, end)
		cancel()
		if err == nil {
			k.finish(end, outcome.Result == keeper.Accepted)
			return
		}
		r.options.Logger.Warn("runner: result was not recorded; trying again", zap.String("job", end.ID), zap.Error(err))
		t := r.options.Clock.NewTimer(recordPause)
		select {
		case <-t.Chan():
		case <-ctx.Done():
		}
		t.Stop()
	}
}

func (k *task) finish(end keeper.Done, stands bool) {
	r := k.runner
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.ended, end.ID)
	delete(r.tries, end.ID)
	r.nudge()
	switch {
	case !stands:
	case end.Failed:
		r.stats.Failed++
	default:
		r.stats.Done++
	}
}

// runFetched notes in the log which results were fetched, many in one entry.
// A note that is lost costs only room.
func (r *Runner) runFetched(ctx context.Context) {
	ticker := r.options.Clock.NewTicker(fetchInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		r.mu.Lock()
		fetched := r.fetched
		r.fetched = map[int][]string{}
		r.mu.Unlock()
		for index, ids := range fetched {
			r.noteFetched(ctx, index, ids)
		}
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
		}
	}
}

func (r *Runner) noteFetched(ctx context.Context, index int, ids []string) {
	s, done := r.shards.Use(index)
	defer done()
	limit, cancel := context.WithTimeout(ctx, r.options.submit)
	defer cancel()
	if _, err := s.Follower.Submit(limit, keeper.KindFetched, keeper.Fetched{IDs: ids}); err != nil {
		r.options.Logger.Debug("runner: fetched results were not noted", zap.Error(err))
	}
}

// Drain takes no more jobs and starts none, and waits until those that run
// have ended and their results are in the log. What the context cuts off runs
// again at the next home.
func (r *Runner) Drain(ctx context.Context) error {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	ticker := r.options.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		s := r.Stats()
		if s.Running == 0 && s.Unrecorded == 0 {
			return nil
		}
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
