package relayer

import (
	"net/http"
	"sync"

	"go.uber.org/zap"

	"primrosehook/matcher"
)

// WithStrictRevoke sets whether streams end when a version of the configuration revokes their key.
func WithStrictRevoke(strict bool) Option {
	return func(r *Relayer) { r.streams.strict = strict }
}

// keyedStreams are the streaming requests with a key that are in progress. It is safe for concurrent
// use.
type keyedStreams struct {
	strict bool
	mu     sync.Mutex
	open   map[*exchange]struct{}
}

// add adds a request, and returns a function that removes it.
func (s *keyedStreams) add(x *exchange) (remove func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = map[*exchange]struct{}{}
	}
	s.open[x] = struct{}{}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.open, x)
	}
}

// all returns the requests.
func (s *keyedStreams) all() []*exchange {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*exchange, 0, len(s.open))
	for x := range s.open {
		list = append(list, x)
	}
	return list
}

// watchKey ends the request when its key is revoked, if it is a stream and the settings ask for that. The
// function that it returns ends the watch.
func (x *exchange) watchKey() (end func()) {
	if !x.streams.strict || x.account == nil || x.route.Kind != matcher.Streaming {
		return func() {}
	}
	end = x.streams.add(x)
	// A version that came into force after the request was authenticated may have missed it.
	x.endIfRevoked(x.table.Load())
	return end
}

// endRevoked ends the streams whose keys the table in use does not allow.
func (r *Relayer) endRevoked() {
	// The table is loaded after the list is read: an older one than that which allowed a stream may
	// not have its key.
	list := r.streams.all()
	t := r.table.Load()
	for _, x := range list {
		x.endIfRevoked(t)
	}
}

// endIfRevoked ends the request if the table has accounts, its key belongs to none of them and its route
// is not public.
func (x *exchange) endIfRevoked(t *matcher.Table) {
	if !t.HasAccounts() {
		return
	}
	if _, ok := t.Account(x.meta.Key); ok {
		return
	}
	if route, ok := t.Match(x.request.Host, x.request.URL.Path); ok && route.Public {
		return
	}
	if !x.revoked.Swap(true) {
		x.log.Info("relay: key was revoked, stream is ended", zap.String("account", x.account.Name), zap.Int64("config", t.Version))
		x.cancel()
	}
}

// endForKey ends a request whose key was revoked: with 401 if it has certainly not run, else without
// an answer or within it.
func (x *exchange) endForKey() {
	x.meter.Add(MetricRevoked, 1)
	if x.mayHaveRun || x.headerSent {
		panic(http.ErrAbortHandler)
	}
	writeStatus(x.writer, http.StatusUnauthorized)
}
