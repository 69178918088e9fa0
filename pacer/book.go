// Package pacer spreads the prompts that all instances send to one server.
//
// An engine reads prompts in pieces between the tokens of running streams. While
// it reads without a break, every step takes some ten times as long, and all its
// streams pause. An instance learns of the prompts of others too late to prevent
// that: when a server has room again, all instances see it at once and send. So
// each server has one instance that keeps its book, and the others ask it for a
// place before they send. A lost book costs nothing but a moment without pace.
package pacer

import (
	"slices"
	"time"
)

// Rule bounds the prompts that a server gets.
type Rule struct {
	// Window is the time over which prompts are summed, Tokens what may be sent
	// in any span of that length. A longer prompt goes alone.
	Window time.Duration
	Tokens int
	// Ahead is how far ahead a place may be booked.
	Ahead time.Duration
}

type place struct {
	at     time.Time
	tokens int
}

// Book holds the prompts of one server that were sent lately or will be sent
// soon. It is not safe for concurrent use.
type Book struct {
	places []place
}

// Reserve books a place for a prompt as early as the rule allows, and returns
// how long to wait until then. If that is too far ahead it books nothing, and
// returns false and when to ask again.
func (b *Book) Reserve(now time.Time, tokens int, r Rule) (time.Duration, bool) {
	b.places = slices.DeleteFunc(b.places, func(p place) bool { return now.Sub(p.at) >= r.Window })
	sum := 0
	for _, p := range b.places {
		sum += p.tokens
	}
	at := now
	for _, p := range b.places {
		if sum+tokens <= r.Tokens {
			break
		}
		at = p.at.Add(r.Window)
		sum -= p.tokens
	}
	wait := at.Sub(now)
	if wait > r.Ahead {
		return wait - r.Ahead, false
	}
	b.enter(at, tokens, r)
	return wait, true
}

// enter books a prompt, a longer one over several windows.
func (b *Book) enter(at time.Time, tokens int, r Rule) {
	for ; tokens > 0; tokens -= r.Tokens {
		b.places = append(b.places, place{at, min(tokens, r.Tokens)})
		at = at.Add(r.Window)
	}
	slices.SortStableFunc(b.places, func(x, y place) int { return x.at.Compare(y.at) })
}

// Idle reports whether nothing of the book counts any more.
func (b *Book) Idle(now time.Time, window time.Duration) bool {
	return !slices.ContainsFunc(b.places, func(p place) bool { return now.Sub(p.at) < window })
}
