package serveassembler

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"primrosehook/forwarder"
	"primrosehook/judge"
	"primrosehook/lister"
	"primrosehook/publisher"
	"primrosehook/quarantiner"
	"primrosehook/ruler"
	"primrosehook/server"
	"primrosehook/watcher"
	"primrosehook/writer"
)

// rulesPort adapts the publisher to the server's interfaces for rule lists.
type rulesPort struct {
	publisher *publisher.Publisher
}

// InForce implements server.Rules.
func (p *rulesPort) InForce() (int64, *ruler.List) {
	version, list := p.publisher.InForce()
	return int64(version), list
}

// Publish implements server.Publisher.
func (p *rulesPort) Publish(ctx context.Context, base int64, source []byte) (int64, error) {
	version, err := p.publisher.Publish(ctx, publisher.Version(base), "", string(source))
	return int64(version), err
}

// forwarderPort forwards the server's calls to plain services.
type forwarderPort struct {
	http *http.Client
}

// Forward implements server.Forwarder.
func (p *forwarderPort) Forward(ctx context.Context, addr string, call forwarder.Call) (forwarder.Answer, error) {
	return forwarder.NewClient(addr, p.http).Call(ctx, call)
}

// writerPort adapts the writer to server.Writer.
type writerPort struct {
	writer *writer.Writer
}

// Write implements server.Writer.
func (p *writerPort) Write(ctx context.Context, w server.Write) (forwarder.Answer, bool, error) {
	path := w.Path
	if w.Query != "" {
		path += "?" + w.Query
	}
	r, err := p.writer.Write(ctx, writer.Request{
		Service: w.Service, Method: w.Method, Path: path, Header: w.Header, Key: w.Key, Body: w.Body,
	})
	return forwarder.Answer{Status: r.Status, Header: r.Header, Body: r.Body}, r.Replayed, err
}

// serverPort sends the writer's requests to a server of their service.
type serverPort struct {
	rules *publisher.Publisher
	view  watcher.View
	http  *http.Client

	mu     sync.Mutex
	random *rand.Rand
}

// Send implements writer.Sender.
func (p *serverPort) Send(ctx context.Context, q writer.Request, tried []string) (writer.Response, string, error) {
	chosen, ok := p.choose(q.Service, tried)
	if !ok {
		return writer.Response{}, "", judge.Unavailable("service", "no server of the service is left", time.Second)
	}
	path, query, _ := strings.Cut(q.Path, "?")
	answer, err := forwarder.NewClient(chosen.Addr, p.http).Call(ctx, forwarder.Call{
		Method: q.Method, Path: path, Query: query, Header: q.Header, Body: q.Body,
	})
	return writer.Response{Status: answer.Status, Header: answer.Header, Body: answer.Body}, chosen.Name, err
}

// choose returns a random live server of the service's pool that was not tried.
func (p *serverPort) choose(service string, tried []string) (lister.Instance, bool) {
	_, list := p.rules.InForce()
	if list == nil {
		return lister.Instance{}, false
	}
	named, ok := list.Service(service)
	if !ok {
		return lister.Instance{}, false
	}
	var candidates []lister.Instance
	for _, i := range p.view.Instances(lister.KindService) {
		if i.Pool == named.Pool && i.State == lister.StateLive && !slices.Contains(tried, i.Name) {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return lister.Instance{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return candidates[p.random.IntN(len(candidates))], true
}

// quarantinePort reports a request that was present at a crash to all peers at
// once. When the report was left to the pings, a client crashed two more engines
// through each further instance before that instance had received it.
type quarantinePort struct {
	*quarantiner.Guard
	watcher *watcher.Watcher
}

// EngineCrashed implements server.Quarantine.
func (p *quarantinePort) EngineCrashed(digest uint64, engine string, concurrent int) {
	p.Guard.EngineCrashed(digest, engine, concurrent)
	p.watcher.BroadcastTopics()
}
