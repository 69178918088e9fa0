package coordinator

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"primrosehook/balancer"
	"primrosehook/booter"
	"primrosehook/matcher"
	"primrosehook/messenger"
	"primrosehook/quarantiner"
	"primrosehook/registrar"
	"primrosehook/tailer"
)

// Meter takes what is counted.
type Meter interface{ Add(name string, n int64) }

// Names of the metrics.
const (
	MetricOrders     = "orders_given"
	MetricUndone     = "orders_not_carried_out"
	MetricColds      = "loads_from_weight_store"
	MetricExchanges  = "exchanges"
	MetricUnanswered = "exchanges_unanswered"
	MetricDeputies   = "exchanges_with_deputy"
)

// Parts are what a Coordinator works with.
type Parts struct {
	// Instance names this life of the instance, Machine where it runs, and
	// Address is where others reach it.
	Instance, Machine, Address string
	// Link is what the machine's link carries, in Mbit/s; zero if unknown.
	Link float64
	// Apart is how far apart orders of two holders must be.
	Apart time.Duration
	// Window is the time in which loads from the weight store are counted.
	Window time.Duration
	// Overage times the weight store's rate may be used in a window.
	Overage  float64
	Lease    Log
	Engines  Engines
	Fleet    *balancer.Fleet
	Suspects *quarantiner.Guard
	Registry *tailer.Tailer
	Config   *tailer.Tailer
	// Meter counts orders.
	Meter Meter
	// Table returns the table in force, nil if there is none.
	Table func() *matcher.Table
	Clock clockwork.Clock
	Boot  booter.Clock
	Log   *zap.Logger
	// Peers calls other instances.
	Peers *messenger.Client
	// Members takes the addresses of all instances when they change.
	Members func(addresses []string)
}

// Coordinator is this instance's part in the coordination.
type Coordinator struct {
	Parts
	hub     *hub
	lease   *Lease
	foreman *foreman
	// instances is how many instances the holder last counted.
	instances atomic.Int64

	told  int
	fence int64
	// members is the digest of the addresses that were told last.
	members uint64
	// ranked are the addresses in the order of deputies, skipped those that have
	// not replied, hint whom a deputy takes for the holder. Only run uses them.
	ranked  []string
	skipped map[string]time.Time
	hint    string
	// lost is set while the holder does not reply.
	lost bool
}

// New returns a coordinator.
func New(p Parts) *Coordinator {
	c := &Coordinator{Parts: p, hub: newHub(p.Clock), skipped: map[string]time.Time{}}
	self := Entry{Instance: p.Instance, Machine: p.Machine, Address: p.Address}
	c.lease = NewLease(self, p.Apart, p.Lease, p.Boot, p.Clock, p.Log, c.taken, c.Patience)
	if p.Link > 0 && p.Link < wideLink {
		c.lease.Yield()
	}
	c.foreman = newForeman(c)
	return c
}

// Serve answers the messages of other instances.
func (c *Coordinator) Serve(s *messenger.Server) { s.Handle(kindExchange, c.answer) }

// Run takes part until the context ends.
func (c *Coordinator) Run(ctx context.Context) {
	var work sync.WaitGroup
	work.Go(func() { c.lease.run(ctx) })
	work.Go(func() { c.foreman.run(ctx) })
	c.run(ctx)
	work.Wait()
}

// Holds reports whether this instance holds the lease.
func (c *Coordinator) Holds() bool { return c.lease.Valid() }

// Release gives the duties back before a planned stop.
func (c *Coordinator) Release(ctx context.Context) { c.lease.Release(ctx) }

// Instances returns how many instances there are as far as is known, 0 if not.
func (c *Coordinator) Instances() int { return int(c.instances.Load()) }

// Patience is the longest pause of an instance after failed calls to the store.
// It grows with the instances, so that a store that is away, and comes back, is
// not called more often by a larger fleet.
func (c *Coordinator) Patience() time.Duration {
	return max(patienceLeast, time.Duration(c.Instances())*patienceEach)
}

// Registered takes over what the registry says.
func (c *Coordinator) Registered(list []tailer.Record, servers []registrar.Server) {
	c.hub.record(list, servers)
}

// Configured takes over the record of a version in force.
func (c *Coordinator) Configured(x tailer.Record, version int64) { c.hub.publish(x, version) }

func (c *Coordinator) taken(former bool) {
	c.hub.reset()
	c.foreman.assume(former)
}

// run reports to the holder again and again.
func (c *Coordinator) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.exchange(ctx)
		pause := max(leastInterval, time.Duration(c.Instances())*perInstance)
		select {
		case <-ctx.Done():
			return
		case <-c.Fleet.Missed():
		case <-c.Clock.After(pause):
		}
	}
}

// exchange reports to the holder and takes over its reply. While requests
// wait for an order it goes on until the holder has nothing new to say.
func (c *Coordinator) exchange(ctx context.Context) {
	for range 20 {
		address, deputy := c.target()
		if address == "" {
			return
		}
		wants := c.Fleet.Wants()
		r := Report{
			Instance: c.Instance, Address: c.Address, Link: c.Link, Members: c.members, Wants: wants, Flights: c.Fleet.Flights(),
			Registry: c.Registry.Next(), Config: c.version(), Overlay: c.told, Fence: c.fence,
			Suspects: c.Suspects.Export(), Down: c.Fleet.Down(), Waiting: waits(wants), Deputy: deputy,
		}
		reply, err := c.call(ctx, address, r)
		if err != nil {
			c.Meter.Add(MetricUnanswered, 1)
			c.skip(address)
			if !c.lost && !deputy {
				c.lost = true
				c.Log.Info("coordinator: holder does not reply", zap.String("holder", address), zap.Error(err))
			}
			return
		}
		if deputy && !reply.Holds {
			c.Meter.Add(MetricDeputies, 1)
			c.applyDeputy(reply, address == c.Address)
			return
		}
		if !reply.Holds {
			c.skip(address)
			return
		}
		if c.lost {
			c.lost = false
			c.Log.Info("coordinator: holder replies again", zap.String("holder", address), zap.Int64("fence", reply.Fence))
		}
		c.Meter.Add(MetricExchanges, 1)
		c.apply(reply)
		if !r.Waiting || len(reply.Overlays) == 0 {
			return
		}
	}
}

func waits(wants []balancer.Want) bool {
	for _, w := range wants {
		if w.Waiting > 0 {
			return true
		}
	}
	return false
}

func (c *Coordinator) version() int64 {
	if t := c.Table(); t != nil {
		return t.Version
	}
	return -1
}

func (c *Coordinator) call(ctx context.Context, address string, r Report) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	if address == c.Address {
		return c.serve(ctx, r), nil
	}
	var reply Reply
	err := c.Peers.Call(ctx, address, kindExchange, r, &reply)
	return reply, eris.Wrap(err, "report to the holder")
}

// answer is serve for a report that came as a message.
func (c *Coordinator) answer(ctx context.Context, body msgpack.RawMessage) (any, error) {
	var r Report
	if err := msgpack.Unmarshal(body, &r); err != nil {
		return nil, eris.Wrap(err, "decode report")
	}
	return c.serve(ctx, r), nil
}

// serve takes a report and returns what its instance has not been told yet.
func (c *Coordinator) serve(ctx context.Context, r Report) Reply {
	holds := c.lease.Valid()
	if !holds && !r.Deputy {
		return Reply{}
	}
	c.Suspects.Merge(r.Suspects)
	c.hub.take(r)
	if r.Fence != c.lease.Fence() {
		r.Overlay = 0
	}
	// Read before the records are collected, so that none up to it is missed.
	next := c.Registry.Next()
	reply, changed := c.hub.reply(r)
	if holds && r.Waiting && len(reply.Overlays) == 0 {
		c.hub.await(ctx, changed)
		next = c.Registry.Next()
		reply, _ = c.hub.reply(r)
	}
	reply.Fence = c.lease.Fence()
	reply.Next = next
	reply.RegistryFresh = c.Registry.Age() < freshAge
	reply.ConfigFresh = c.Config.Age() < freshAge
	reply.Suspects = c.Suspects.Export()
	if !holds {
		return c.stand(reply)
	}
	return reply
}

// apply takes over a reply.
func (c *Coordinator) apply(r Reply) {
	c.lease.Hear()
	c.fence, c.told = r.Fence, r.Overlay
	c.instances.Store(int64(r.Instances))
	if len(r.Members) > 0 {
		c.members = digest(r.Members)
		c.ranked = r.Members
		c.Members(r.Members)
	}
	c.Fleet.Others(r.Flights)
	c.Suspects.Merge(r.Suspects)
	if !c.lease.Valid() {
		c.Registry.Feed(r.Registry, r.Next, r.RegistryFresh)
		c.Config.Feed(r.Config, r.ConfigNext, r.ConfigFresh)
	}
	c.Fleet.Ordered(r.Overlays)
}
