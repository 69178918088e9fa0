package writer_test

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"primrosehook/sharder"
	"primrosehook/simulator"
	"primrosehook/writer"
)

// instance is one writer of a fleet.
type instance struct {
	node   *simulator.Node
	writer *writer.Writer
}

// addInstance starts an instance. The timeouts are short to keep the outage
// tests short.
func addInstance(fleet *simulator.Fleet, s *simulator.Service, name string, opts ...writer.Option) (*instance, error) {
	n, err := fleet.Add(name)
	if err != nil {
		return nil, err
	}
	opts = append([]writer.Option{
		writer.WithSharding(sharder.WithCount(1), sharder.WithGroupInterval(2*time.Millisecond), sharder.WithOwnerTimeout(400*time.Millisecond)),
		writer.WithLimits(300*time.Millisecond, 5*time.Second, time.Second),
	}, opts...)
	w := writer.New(n.Log, n, n.Peers, s, opts...)
	w.Serve(n.Server)
	w.Start(n.Context)
	return &instance{n, w}, nil
}

func (i *instance) write(key, name string, limit time.Duration) (writer.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	header := http.Header{}
	header.Set(simulator.RequestHeader, name)
	return i.writer.Write(ctx, writer.Request{
		Service: "receipts", Method: http.MethodPost, Path: "/receipts", Header: header, Key: key, Body: []byte("body of " + key),
	})
}

// ownerAndOther returns the first owner of the only shard, and another
// instance.
func ownerAndOther(all []*instance) (*instance, *instance) {
	name := all[0].node.Owners("write.0", 1)[0].Name
	first := slices.IndexFunc(all, func(i *instance) bool { return i.node.Name == name })
	return all[first], all[(first+1)%len(all)]
}

// call is one write that runs in its own goroutine.
type call struct {
	at        *instance
	key, name string
	limit     time.Duration
	response  writer.Response
	err       error
	startedAt time.Time
	endedAt   time.Time
	group     *sync.WaitGroup
}

func (c *call) run() {
	defer c.group.Done()
	c.startedAt = time.Now()
	c.response, c.err = c.at.write(c.key, c.name, c.limit)
	c.endedAt = time.Now()
}
