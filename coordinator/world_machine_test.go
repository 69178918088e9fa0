package coordinator_test

import (
	"cmp"
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"primrosehook/balancer"
	"primrosehook/coordinator"
	"primrosehook/matcher"
	"primrosehook/messenger"
	"primrosehook/quarantiner"
	"primrosehook/tailer"
)

// worldLog is the log of the lease, which a machine may lose.
type worldLog struct {
	sharedLog
	mu        sync.Mutex
	lostUntil map[string]time.Time
}

func (l *worldLog) lost(machine string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.lostUntil[machine])
}

// add appends an entry of another holder.
func (l *worldLog) add(e coordinator.Entry) error {
	raw, err := msgpack.Marshal(e)
	if err != nil {
		return err
	}
	_, end, _ := l.Read(context.Background(), 0, 0) // never fails
	return l.Append(context.Background(), raw, end)
}

// machineLog is the log as a machine reaches it.
type machineLog struct {
	*worldLog
	machine string
}

func (l machineLog) Read(ctx context.Context, from int64, wait time.Duration) ([]coordinator.LogRecord, int64, error) {
	for end := time.Now().Add(wait); ; time.Sleep(20 * time.Millisecond) {
		if l.lost(l.machine) {
			return nil, from, errUnavailable
		}
		list, next, err := l.sharedLog.Read(ctx, from, 0)
		if len(list) > 0 || err != nil || time.Now().After(end) || ctx.Err() != nil {
			return list, next, err
		}
	}
}

func (l machineLog) Append(ctx context.Context, value []byte, at int64) error {
	time.Sleep(5 * time.Millisecond)
	if l.lost(l.machine) {
		return errUnavailable
	}
	return l.sharedLog.Append(ctx, value, at)
}

// bootClock reads the time of the bubble.
type bootClock struct{}

func (bootClock) Now() time.Time { return time.Now() }

// worldInstance is a process on a machine.
type worldInstance struct {
	coordinator *coordinator.Coordinator
	fleet       *balancer.Fleet
	stop        context.CancelFunc
	ended       sync.WaitGroup
}

// end kills the process.
func (i *worldInstance) end() {
	i.stop()
	i.ended.Wait()
}

// start starts a process on a machine.
func (w *world) start(machine string, number int) *worldInstance {
	clock := clockwork.NewRealClock()
	table := &matcher.Table{Services: map[string]matcher.Service{"llm": {Engine: w.engine}}}
	configAt := time.Now().Add(w.configDelay)
	i := &worldInstance{fleet: balancer.NewFleet("z", 1, clock)}
	stream := tailer.New("stream", &countingSource{}, discard{}, clock, zap.NewNop())
	c := coordinator.New(coordinator.Dependencies{
		Instance: fmt.Sprint(machine, "-", number), Machine: machine, Address: "127.0.0.1:" + machine, OrderGap: time.Second, ColdLoadWindow: worldWindow, ColdLoadOverage: worldOverage,
		LeaseLog: machineLog{w.log, machine}, OrderSender: w, Fleet: i.fleet, Suspects: quarantiner.NewGuard(clock, quarantiner.DefaultOptions()),
		Registry: stream, Config: stream, Meter: discard{}, Table: func() *matcher.Table {
			if time.Now().Before(configAt) {
				return nil
			}
			return table
		}, Clock: clock, Boot: bootClock{},
		Log: cmp.Or(w.logger, zap.NewNop()), Peers: messenger.NewClient(clock), OnMembers: func([]string) {},
	})
	ctx, stop := context.WithCancel(context.Background())
	i.coordinator, i.stop = c, stop
	i.ended.Go(func() { c.Run(ctx) })
	i.ended.Go(func() {
		for ctx.Err() == nil {
			c.UpdateRegistry(nil, w.registry())
			time.Sleep(100 * time.Millisecond)
		}
	})
	return i
}

// demand lets requests arrive at an instance until the context ends. What is in demand moves on.
func (w *world) demand(ctx context.Context, instance func() *worldInstance) {
	began := time.Now()
	for ctx.Err() == nil {
		w.mu.Lock()
		first := int(time.Since(began)/w.shift)*(w.serverCount/2) + w.random.IntN((w.serverCount/2)+1)
		m := fmt.Sprint("m", first%w.models)
		r := balancer.Request{Model: m}
		if n := w.engine.Models[m].Adapters; n > 0 && w.random.IntN(2) == 0 {
			r.Adapter = fmt.Sprint("a", 1+w.random.IntN(n))
		}
		w.mu.Unlock()
		if i := instance(); i != nil {
			i.fleet.RecordArrival("llm", r)
		}
		time.Sleep(w.delay(40 * time.Millisecond))
	}
}

// beats lets all servers write their registrations until the context ends.
func (w *world) runBeats(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		for _, s := range w.servers {
			w.beat(s)
		}
		w.mu.Unlock()
		time.Sleep(700 * time.Millisecond)
	}
}
