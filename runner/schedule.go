package runner

import (
	"context"

	"go.uber.org/zap"

	"primrosehook/jobtracker"
	"primrosehook/judge"
)

func (r *Runner) triggerSchedule() {
	select {
	case r.scheduleNow <- struct{}{}:
	default:
	}
}

// runSchedule starts the jobs of the shards whose first owner is this instance.
// If instances disagree about the owner, two may run one job; the first result
// in the log counts.
func (r *Runner) runSchedule(ctx context.Context) {
	ticker := r.options.Clock.NewTicker(pollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		r.schedule(ctx)
		select {
		case <-ticker.Chan():
		case <-r.scheduleNow:
		case <-ctx.Done():
		}
	}
}

func (r *Runner) schedule(ctx context.Context) {
	var open []jobtracker.Job
	for _, s := range r.shards.Followed() {
		if !r.mayRunShard(s) {
			continue
		}
		s.Follower.View(func() { open = append(open, s.Machine.Open()...) })
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropClosed(open)
	if r.draining {
		return
	}
	for _, j := range jobtracker.Next(open, r.attempts, r.options.Clock.Now(), r.freeSlots()) {
		t := r.attempts[j.ID]
		t.Running = true
		r.attempts[j.ID] = t
		r.stats.Attempts++
		k := &jobAttempt{runner: r, job: j}
		go k.run(ctx)
	}
}

// mayRunShard reports whether this instance is the first owner of a shard and
// has read its log since it became that. Without that read, a job whose outcome
// the previous owner recorded in the meantime would run again. If the log stays
// unavailable for takeoverTimeout, the jobs known here are run anyway.
func (r *Runner) mayRunShard(s *shard) bool {
	status := s.Follower.Status()
	if !r.shards.IsOwner(s.Stream) || !status.Current {
		delete(r.ownedSince, s.Index)
		return false
	}
	since, ok := r.ownedSince[s.Index]
	if !ok {
		since = r.options.Clock.Now()
		r.ownedSince[s.Index] = since
	}
	return status.ReadAt.After(since) || r.options.Clock.Since(since) > takeoverTimeout
}

// freeSlots returns how many more jobs may start. The caller must hold r.mu.
func (r *Runner) freeSlots() int {
	if len(r.unrecorded) >= maxUnrecorded {
		return 0
	}
	free := r.options.concurrency + len(r.unrecorded)
	for _, t := range r.attempts {
		if t.Running {
			free--
		}
	}
	return free
}

// dropClosed drops the attempts of jobs that are no longer open here. The
// caller must hold r.mu.
func (r *Runner) dropClosed(open []jobtracker.Job) {
	known := make(map[string]bool, len(open))
	for _, j := range open {
		known[j.ID] = true
	}
	for id, t := range r.attempts {
		if !t.Running && !known[id] {
			delete(r.attempts, id)
		}
	}
}

// jobAttempt is one attempt of a job.
type jobAttempt struct {
	runner *Runner
	job    jobtracker.Job
}

func (k *jobAttempt) run(ctx context.Context) {
	r := k.runner
	attemptCtx, cancel := context.WithTimeout(ctx, r.options.attemptTimeout)
	result, err := r.runJob(attemptCtx, k.job)
	cancel()
	if ctx.Err() != nil {
		// The next owner of the shard runs the job again.
		return
	}
	if err == nil && len(result) > jobtracker.MaxResult {
		err = judge.Invalid("size", "result is too large to be kept")
	}
	now := r.options.Clock.Now()
	end, final := jobtracker.DoneEntry(k.job, result, err, now, r.options.deadlineGrace)
	r.mu.Lock()
	if !final {
		r.attempts[k.job.ID] = r.attempts[k.job.ID].Fail(k.job.ID, err, now)
		r.mu.Unlock()
		r.options.Logger.Info("runner: job failed; it is tried again", zap.String("job", k.job.ID), zap.Error(err))
		return
	}
	r.unrecorded[k.job.ID] = end
	r.mu.Unlock()
	k.record(ctx, end)
}

// record appends the outcome of a job to the log and retries until it succeeds.
// While the log is down only this instance has the result; if the instance is
// lost, the job runs again.
func (k *jobAttempt) record(ctx context.Context, end jobtracker.Done) {
	r := k.runner
	index, _ := r.shardOf(end.ID)
	s, done := r.shards.Use(index)
	defer done()
	for ctx.Err() == nil {
		submitCtx, cancel := context.WithTimeout(ctx, r.options.submitTimeout)
		outcome, err := s.Follower.Submit(submitCtx, jobtracker.KindDone, end)
		cancel()
		if err == nil {
			k.finish(end, outcome.Result == jobtracker.Accepted)
			return
		}
		r.options.Logger.Warn("runner: result was not recorded; trying again", zap.String("job", end.ID), zap.Error(err))
		t := r.options.Clock.NewTimer(recordRetryInterval)
		select {
		case <-t.Chan():
		case <-ctx.Done():
		}
		t.Stop()
	}
}

func (k *jobAttempt) finish(end jobtracker.Done, recorded bool) {
	r := k.runner
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.unrecorded, end.ID)
	delete(r.attempts, end.ID)
	r.triggerSchedule()
	switch {
	case !recorded:
	case end.Failed:
		r.stats.Failed++
	default:
		r.stats.Done++
	}
}

// runRecordFetched records in the log which results were fetched, many in one
// entry. A lost entry only costs space, since the result is kept longer.
func (r *Runner) runRecordFetched(ctx context.Context) {
	ticker := r.options.Clock.NewTicker(fetchInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		r.mu.Lock()
		fetched := r.fetched
		r.fetched = map[int][]string{}
		r.mu.Unlock()
		for index, ids := range fetched {
			r.recordFetched(ctx, index, ids)
		}
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
		}
	}
}

func (r *Runner) recordFetched(ctx context.Context, index int, ids []string) {
	s, done := r.shards.Use(index)
	defer done()
	submitCtx, cancel := context.WithTimeout(ctx, r.options.submitTimeout)
	defer cancel()
	if _, err := s.Follower.Submit(submitCtx, jobtracker.KindFetched, jobtracker.Fetched{IDs: ids}); err != nil {
		r.options.Logger.Debug("runner: fetched results were not recorded", zap.Error(err))
	}
}

// Drain refuses new jobs, starts no further one, and waits until the running
// jobs have ended and their results are in the log. Jobs that the end of the
// context cuts off run again at the next owner.
func (r *Runner) Drain(ctx context.Context) error {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	ticker := r.options.Clock.NewTicker(pollInterval)
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
