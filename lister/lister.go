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
	"primrosehook/sender"
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

// maxListBytes limits the size of the list.
const maxListBytes = 16 << 20

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
	base string
	http *http.Client

	mu       sync.Mutex
	tag      string
	lastList []Instance
}

// NewClient returns a client of the list at a base URL.
func NewClient(base string, client *http.Client) *Client {
	return &Client{base: base, http: client}
}

// Instances implements List.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	c.mu.Lock()
	tag, last := c.tag, c.lastList
	c.mu.Unlock()
	body, fresh, err := c.do(ctx, http.MethodGet, "/instances", tag, nil)
	if err != nil {
		return nil, err
	}
	if fresh == tag && tag != "" {
		return slices.Clone(last), nil
	}
	var answer struct {
		Instances []Instance `json:"instances"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return nil, judge.Unknown("list", "instance list is malformed", err)
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
	_, _, err = c.do(ctx, http.MethodPut, "/instances/"+url.PathEscape(instance.Name), "", body)
	return err
}

// Withdraw implements List.
func (c *Client) Withdraw(ctx context.Context, name string) error {
	_, _, err := c.do(ctx, http.MethodDelete, "/instances/"+url.PathEscape(name), "", nil)
	return err
}

// do sends a request and returns the body of the response and its entity tag.
// If the tag is still the given one, it returns that tag and no body.
func (c *Client) do(ctx context.Context, method, path, tag string, body []byte) ([]byte, string, error) {
	q, err := http.NewRequestWithContext(ctx, method, c.base+path, bodyReader(body))
	if err != nil {
		return nil, "", judge.Invalid("list", "instance list address is malformed")
	}
	if tag != "" {
		q.Header.Set("If-None-Match", tag)
	}
	p, err := sender.Do(c.http, q, "list", "instance list was not reached or gave no answer")
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = p.Body.Close() }()
	if p.StatusCode == http.StatusNotModified && tag != "" {
		return nil, tag, nil
	}
	if p.StatusCode >= http.StatusMultipleChoices {
		r := sender.Refusal(p, "list", fmt.Sprintf("instance list answered status %d", p.StatusCode))
		r.Status = http.StatusServiceUnavailable
		return nil, "", r
	}
	answer, err := io.ReadAll(io.LimitReader(p.Body, maxListBytes))
	if err != nil {
		return nil, "", judge.Unknown("list", "instance list answer was cut", err)
	}
	return answer, p.Header.Get("ETag"), nil
}

func bodyReader(body []byte) io.Reader {
	if body == nil {
		return http.NoBody
	}
	return bytes.NewReader(body)
}
