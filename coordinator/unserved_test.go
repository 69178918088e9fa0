package coordinator_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"primrosehook/balancer"
)

// Guards against a model that is requested and never served while no log line of the lease holder
// names it, or says why it is not loaded.
func TestUnservedModelIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newWorld(worldSize{serverCount: 1, models: 4, copies: 4, resident: 3}, 1)
		w.removeAdapters()
		core, logs := observer.New(zapcore.InfoLevel)
		w.logger = zap.New(core)
		ctx, stop := context.WithCancel(t.Context())
		go w.runBeats(ctx)
		i := w.start("1", 0)
		time.Sleep(5 * time.Second)
		for range 60 {
			// The other models are in as much demand, so that none of them makes room.
			for _, m := range []string{"m0", "m1", "m2", "m3"} {
				i.fleet.RecordArrival("llm", balancer.Request{Model: m})
			}
			i.fleet.RecordRefusal("llm", balancer.Request{Model: "m3"}, balancer.NotLoaded)
			time.Sleep(100 * time.Millisecond)
		}
		i.end()
		stop()
		time.Sleep(time.Second)
		lines := logs.FilterMessage("demand: not served").FilterField(zap.String("key", "m3")).All()
		g.Expect(lines).NotTo(BeEmpty())
		last := lines[len(lines)-1].ContextMap()
		g.Expect(last).To(And(HaveKeyWithValue("why", "no replica may make room"), HaveKeyWithValue("holder", true), HaveKeyWithValue("full", BeEquivalentTo(0))))
		g.Expect(last["absent"]).To(BeNumerically(">", 20))
		g.Expect(last["no_replica_for"]).To(BeNumerically(">", 2*time.Second))
	})
}
