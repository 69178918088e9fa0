package relayer

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"primrosehook/balancer"
	"primrosehook/judge"
	"primrosehook/matcher"
	"primrosehook/pinner"
)

// minObservation is for how long an instance must have seen the servers of a service to
// know that only one build can have begun a stream of it: as long as clients wait for one.
const minObservation = 30 * time.Second

// errUnproven ends an attempt whose server may not be the registered one.
var errUnproven error = &judge.Refusal{Verdict: judge.NotRun, Status: http.StatusServiceUnavailable, Code: "unproven", Reason: "the server may not be the registered one"}

// continues reports whether the request takes a stream up again.
func (x *exchange) continues() bool {
	return x.route.Kind == matcher.Streaming && x.startEvent != ""
}

// restrictToOrigin restricts the request, if it takes a stream up again, to the service and
// the build that began the stream. It reports false if they are not known, or the route does
// not lead to that service any more.
func (x *exchange) restrictToOrigin(ctx context.Context) bool {
	if !x.continues() {
		return true
	}
	o, ok := x.findOrigin(ctx)
	if !ok || !x.route.LeadsTo(o.Service) {
		x.log.Info("relay: stream can't be continued", zap.String("resumes", x.meta.Resumes), zap.String("after", x.startEvent),
			zap.Bool("known", ok), zap.String("service", o.Service), zap.String("build", o.Build))
		return false
	}
	x.service, x.build, x.query.Build = o.Service, o.Build, o.Build
	return true
}

// findOrigin returns what began the stream that the request takes up again.
func (x *exchange) findOrigin(ctx context.Context) (pinner.Origin, bool) {
	if x.meta.Resumes != "" {
		if o, begun, ok := x.origins.Find(ctx, x.meta.Resumes); ok {
			return o, o.Process == 0 || x.fleet.ConfirmProcess(ctx, o.Service, o.Build, o.Process, begun)
		}
	}
	build, observed, ok := x.fleet.OnlyBuild(x.service)
	// A client that does not name the request that began its stream knows of no builds.
	return pinner.Origin{Software: pinner.Software{Service: x.service, Build: build}}, ok && (x.meta.Resumes == "" || observed >= minObservation)
}

// continuesStream reports whether the attempt goes on with a stream of which the client has
// events.
func (t *attempt) continuesStream() bool {
	return t.resumeAfter != "" && t.route.Kind == matcher.Streaming
}

// begin records that the attempt begins the stream, before the client gets the first event.
// A stream that another request began is pinned again, since that one's instance may be gone.
func (t *attempt) begin() {
	o := pinner.Origin{Software: pinner.Software{Service: t.service, Build: t.assignment.Build}}
	if t.startEvent != "" {
		if t.meta.Resumes != "" {
			t.origins.Pin(t.meta.Resumes, o)
		}
		return
	}
	t.build, t.began = t.assignment.Build, t
	if !t.isConfirmed() {
		o.Process = balancer.Hash(t.assignment.Incarnation)
	}
	t.origins.Pin(t.meta.ID, o)
}

// isConfirmed reports whether the attempt's server is known to be the registered one.
func (t *attempt) isConfirmed() bool { return t.assignment.Confirmed(t.answer.OpenedAt()) }

// hasKnownOrigin reports whether the stream can go on at another server: it has no events
// yet, or the build that began it is known for certain.
func (x *exchange) hasKnownOrigin() bool {
	return x.began == nil || x.began.assignment.Confirm(x.context, x.began.answer.OpenedAt())
}
