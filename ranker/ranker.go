// Package ranker ranks the instances for a key by rendezvous hashing, so that all of them
// choose the same owner as long as they know the same instances.
package ranker

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
)

// Ranker ranks this instance and its peers. Peers that did not reply of late are left out.
// It is safe for concurrent use.
type Ranker struct {
	self    string
	clock   clockwork.Clock
	backoff time.Duration

	mu           sync.Mutex
	members      []string
	backoffUntil map[string]time.Time
}

// New returns the ranker of the instance that peers reach at the address self. members are
// the addresses of the instances known at first, backoff is how long one that does not reply
// is left out.
func New(self string, members []string, clock clockwork.Clock, backoff time.Duration) *Ranker {
	return &Ranker{self: self, members: members, clock: clock, backoff: backoff, backoffUntil: map[string]time.Time{}}
}

// Update replaces the addresses of the instances.
func (r *Ranker) Update(members []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.members = slices.Clone(members)
}

// Len returns the number of known instances.
func (r *Ranker) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.members)
}

// Owners returns the first instances for a key, at most count. This instance is always among
// those that are ranked.
func (r *Ranker) Owners(key string, count int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	type ranked struct {
		address string
		weight  uint64
	}
	list := []ranked{{r.self, xxhash.Sum64String(r.self + " " + key)}}
	for _, m := range r.members {
		if m != r.self && !now.Before(r.backoffUntil[m]) {
			list = append(list, ranked{m, xxhash.Sum64String(m + " " + key)})
		}
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(b.weight, a.weight) })
	owners := make([]string, 0, count)
	for _, o := range list[:min(len(list), count)] {
		owners = append(owners, o.address)
	}
	return owners
}

// unknownTTL is how long a peer is left out that does not know a message: it runs another build
// and may be replaced at any time.
const unknownTTL = 10 * time.Second

// LeaveOut leaves a peer out that does not know the message.
func (r *Ranker) LeaveOut(peer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.backoffUntil[peer] = r.clock.Now().Add(unknownTTL)
}

// BackOff leaves a peer out for a time, since it did not reply.
func (r *Ranker) BackOff(peer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.backoffUntil[peer] = r.clock.Now().Add(r.backoff)
}
