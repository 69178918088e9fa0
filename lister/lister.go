// Package lister is the adapter to the platform's instance list, which shows
// running and stopping instances with a delay.
package lister

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"sync"

	"primrosehook/judge"
	"primrosehook/reserver"
	"primrosehook/sender"
	"primrosehook/weigher"
)

// The kinds of instances.
const (
	KindEntry   = "entry"
	KindEngine  = "engine"
	KindService = "service"
)

// The states of an instance. A stopped instance is not in the list.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// listLimits bound the list: several thousand instances.
var listLimits = weigher.Limits{Bytes: 4 << 20, Values: 128 << 10}

// Instance is one entry of the instance list.
type Instance struct {
	// Name is unique to one incarnation of a process.
	Name string `json:"name" msgpack:"n"`
	Kind string `json:"kind" msgpack:"k"`
	// Pool groups the engines that models are placed on together, or the
	// servers of one plain service.
	Pool   string `json:"pool,omitempty" msgpack:"p"`
	Region string `json:"region" msgpack:"r"`
	Zone   string `json:"zone" msgpack:"z"`
	// Addr is the HTTP address, in the form "IP:port".
	Addr string `json:"addr" msgpack:"a"`
	// PeerAddr is the TCP address for other entry instances.
	PeerAddr string `json:"peer,omitempty" msgpack:"e"`
	State    string `json:"state" msgpack:"s"`
	// SupportsFencing is set if an engine refuses orders with an old fencing token.
	SupportsFencing bool `json:"fences,omitempty" msgpack:"f"`
}

// List is the interface to the instance list.
type List interface {
	// Instances returns the current list of the platform.
	Instances(ctx context.Context) ([]Instance, error)
	// Announce adds an instance of ours to the list, or changes its state.
	Announce(ctx context.Context, instance Instance) error
	// Withdraw removes an instance of ours from the list.
	Withdraw(ctx context.Context, name string) error
}

// Client calls the instance list over HTTP.
//
// It keeps the last list and its entity tag, so that a platform which supports
// entity tags does not send an unchanged list again. The 65 entry instances and
// 383 upstreams of a region would otherwise cost about 90 KB per second for
// each instance that reads the list.
type Client struct {
	base   string
	http   *http.Client
	memory *reserver.Reserver

	mu       sync.Mutex
	tag      string
	lastList []Instance
}

// Option sets one option of a client.
type Option func(*Client)

// WithMemory sets the budget that lists are charged to while they are decoded.
func WithMemory(m *reserver.Reserver) Option { return func(c *Client) { c.memory = m } }

// NewClient returns a client of the list at a base URL.
func NewClient(base string, client *http.Client, set ...Option) *Client {
	c := &Client{base: base, http: client}
	for _, f := range set {
		f(c)
	}
	return c
}

// Instances implements List.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	c.mu.Lock()
	tag, last := c.tag, c.lastList
	c.mu.Unlock()
	var answer struct {
		Instances []Instance `json:"instances"`
	}
	fresh, err := c.do(ctx, http.MethodGet, "/instances", tag, nil, &answer)
	if err != nil {
		return nil, err
	}
	if fresh == tag && tag != "" {
		return slices.Clone(last), nil
	}
	c.mu.Lock()
	c.tag, c.lastList = fresh, answer.Instances
	c.mu.Unlock()
	return slices.Clone(answer.Instances), nil
}

// Announce implements List.
func (c *Client) Announce(ctx context.Context, instance Instance) error {
	body, err := json.Marshal(instance)
	if err != nil {
		return judge.Invalid("encode", "instance cannot be encoded")
	}
	_, err = c.do(ctx, http.MethodPut, "/instances/"+url.PathEscape(instance.Name), "", body, nil)
	return err
}

// Withdraw implements List.
func (c *Client) Withdraw(ctx context.Context, name string) error {
	_, err := c.do(ctx, http.MethodDelete, "/instances/"+url.PathEscape(name), "", nil, nil)
	return err
}

// do sends a request, decodes the body of the response, unless into is nil, and returns its entity
// tag. If the tag is still the given one, it returns that tag and decodes nothing.
func (c *Client) do(ctx context.Context, method, path, tag string, body []byte, into any) (string, error) {
	q, err := http.NewRequestWithContext(ctx, method, c.base+path, bodyReader(body))
	if err != nil {
		return "", judge.Invalid("list", "instance list address is malformed")
	}
	if tag != "" {
		q.Header.Set("If-None-Match", tag)
	}
	p, err := sender.Do(c.http, q, "list", "instance list was not reached or gave no answer")
	if err != nil {
		return "", err
	}
	defer func() { _ = p.Body.Close() }()
	if p.StatusCode == http.StatusNotModified && tag != "" {
		return tag, nil
	}
	if p.StatusCode >= http.StatusMultipleChoices {
		r := sender.Refusal(p, "list", fmt.Sprintf("instance list answered status %d", p.StatusCode))
		r.Status = http.StatusServiceUnavailable
		return "", r
	}
	if into == nil {
		return "", nil
	}
	if err := weigher.DecodeWhole(ctx, p.Body, listLimits, c.memory, into); err != nil {
		return "", judge.Unknown("list", "instance list answer was cut or is malformed", err)
	}
	return p.Header.Get("ETag"), nil
}

func bodyReader(body []byte) io.Reader {
	if body == nil {
		return http.NoBody
	}
	return bytes.NewReader(body)
}
