// Package storereader is the adapter to the platform's weight store. Engines load
// from the store themselves; the system only reads the store's limits and its
// load, so that placement orders no more loads than the store can serve.
package storereader

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"primrosehook/judge"
	"primrosehook/sender"
)

// maxAnswerBytes limits the size of the answer.
const maxAnswerBytes = 64 << 10

// State is the limits and the load that the store reports.
type State struct {
	// Rate is the number of loads that may start per second.
	Rate float64 `json:"rate"`
	// Slots is the number of loads that run at full speed at once; more loads
	// share that throughput.
	Slots int `json:"slots"`
	// Speed is the full speed of one load, in MB per second.
	Speed float64 `json:"speed"`
	// Loading is the number of loads that run now, Waiting the number of those
	// that have not started.
	Loading int `json:"loading"`
	Waiting int `json:"waiting"`
}

// Store is the interface to the weight store.
type Store interface {
	State(ctx context.Context) (State, error)
}

// Client calls the weight store over HTTP.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the store at a base URL.
func NewClient(base string, client *http.Client) *Client {
	return &Client{base: base, http: client}
}

var _ Store = (*Client)(nil)

// State implements Store.
func (c *Client) State(ctx context.Context) (State, error) {
	var state State
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/state", http.NoBody)
	if err != nil {
		return state, judge.Invalid("store", "weight store address is malformed")
	}
	p, err := sender.Do(c.http, q, "store", "weight store was not reached or gave no answer")
	if err != nil {
		return state, err
	}
	defer func() { _ = p.Body.Close() }()
	if p.StatusCode != http.StatusOK {
		return state, sender.Refusal(p, "store", fmt.Sprintf("weight store answered status %d", p.StatusCode))
	}
	if err := json.NewDecoder(io.LimitReader(p.Body, maxAnswerBytes)).Decode(&state); err != nil {
		return state, judge.Unknown("store", "weight store answer was cut", err)
	}
	return state, nil
}
