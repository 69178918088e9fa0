package entryassembler_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// outcome is what a client got for a request that it sent at a time after the stop began.
type outcome struct {
	id string
	at time.Duration
	// status is that of the answer, 0 if the connection ended without one. refused is set if
	// the answer says that the request has not run.
	status  int
	refused bool
	// ended is when the answer had been read, since the stop began.
	ended time.Duration
}

// readOutcome reads the answer to a request.
func (o *outcome) readOutcome(c net.Conn) {
	_ = c.SetReadDeadline(time.Now().Add(6 * time.Second))
	p, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return
	}
	if _, err = io.Copy(io.Discard, p.Body); err != nil {
		return
	}
	o.status, o.refused = p.StatusCode, p.StatusCode == http.StatusServiceUnavailable
}

// lagProbe measures by how much this process runs late: the instance under test runs in it.
type lagProbe struct {
	stop  chan struct{}
	done  sync.WaitGroup
	worst time.Duration
}

func startLagProbe() *lagProbe {
	l := &lagProbe{stop: make(chan struct{})}
	l.done.Go(func() {
		const pause = 5 * time.Millisecond
		for {
			began := time.Now()
			select {
			case <-l.stop:
				return
			case <-time.After(pause):
				l.worst = max(l.worst, time.Since(began)-pause)
			}
		}
	})
	return l
}

// end ends the measurement and returns the longest lag.
func (l *lagProbe) end() time.Duration {
	close(l.stop)
	l.done.Wait()
	return l.worst
}

var _ = Describe("A planned stop", func() {
	const (
		work  = 700 * time.Millisecond
		grace = 3 * time.Second
		step  = 100 * time.Millisecond
		// linger is how long clients may go on to use the instance.
		linger = grace / 2
	)
	// stopAndSend stops an instance and sends a request at every step of its grace period, each
	// on a connection of its own: one that was opened early, before the stop, and used for a
	// request then or not, or one that is opened for it.
	stopAndSend := func(early, used bool) (outcomes []*outcome, s *idServer, lag time.Duration) {
		g := newCluster(1)
		s = g.startIDServer(work)
		g.allReady()
		s.awaitOnly(g)
		var conns []net.Conn
		var all sync.WaitGroup
		for at := time.Duration(0); at < grace; at += step {
			o := &outcome{id: fmt.Sprintf("q%d", at/step), at: at}
			outcomes = append(outcomes, o)
			if !early {
				conns = append(conns, nil)
				continue
			}
			c := g.connectClient(0)
			conns = append(conns, c)
			if used {
				all.Go(func() {
					defer GinkgoRecover()
					Expect(writeRequest(c, "before"+o.id)).To(Succeed())
					p, err := http.ReadResponse(bufio.NewReader(c), nil)
					Expect(err).NotTo(HaveOccurred())
					Expect(p.StatusCode).To(Equal(200))
				})
			}
		}
		all.Wait()
		probe := startLagProbe()
		stopped := time.Now()
		g.stops[0]()
		for i, o := range outcomes {
			all.Go(func() {
				time.Sleep(time.Until(stopped.Add(o.at)))
				c := conns[i]
				if c == nil {
					var err error
					if c, err = net.Dial("tcp", g.fronts[0]); err != nil {
						return
					}
					defer c.Close()
				}
				o.at = time.Since(stopped)
				if writeRequest(c, o.id) == nil {
					o.readOutcome(c)
					o.ended = time.Since(stopped)
				}
			})
		}
		all.Wait()
		lag = probe.end()
		Eventually(g.ended[0], 5*time.Second).Should(BeClosed())
		return outcomes, s, lag
	}

	// Guards against requests that are taken late in the grace period, also as the first ones of
	// connections that were opened before, and are cut at its end with no answer.
	DescribeTable("cuts no request that was passed on, at whatever moment it came",
		func(early, used bool) {
			outcomes, s, lag := stopAndSend(early, used)
			served := 0
			for _, o := range outcomes {
				what := fmt.Sprintf("request sent %v after the stop began: status %d", o.at, o.status)
				switch {
				case s.arrived(o.id):
					Expect(o.status).NotTo(BeZero(), what)
					Expect(o.refused).To(BeFalse(), what)
					Expect(o.at).To(BeNumerically("<", grace-work), what)
				case o.status != 0:
					Expect(o.refused).To(BeTrue(), what)
					// Clients may go on to use the instance until then.
					Expect(o.ended).To(BeNumerically(">=", linger), what)
				case o.at < linger+work/4:
					// Others are still in flight, so the instance is there and refuses.
					Fail(what)
				}
				if o.status == http.StatusOK {
					served++
				}
			}
			// The lag of this process is shown, since it can make requests that were sent shortly
			// before the end of the linger time come after it.
			Expect(served).To(BeNumerically(">=", int(linger/step)-3), fmt.Sprintf("lag %v", lag))
		},
		Entry("on a connection that had requests before", true, true),
		Entry("as the first one of a connection that was opened before", true, false),
		Entry("on a connection that is opened for it", false, false),
	)

	// Guards against requests that are dropped while they are read: such a request is not in flight,
	// and it may be the last one.
	DescribeTable("answers a late request that arrives in two parts", func(used bool, first, second string) {
		g := newCluster(1)
		s := g.startIDServer(1100 * time.Millisecond)
		g.allReady()
		s.awaitOnly(g)
		c := g.connectClient(0)
		if used {
			Expect(writeRequest(c, "before")).To(Succeed())
			(&outcome{}).readOutcome(c)
		}
		stopped := time.Now()
		g.stops[0]()
		time.Sleep(time.Until(stopped.Add(linger - 600*time.Millisecond)))
		// Keeps the instance there until the first part has arrived.
		Expect(writeRequest(g.connectClient(0), "last")).To(Succeed())
		time.Sleep(time.Until(stopped.Add(linger + 250*time.Millisecond)))
		_, err := io.WriteString(c, first)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(500 * time.Millisecond)
		_, _ = io.WriteString(c, second) // the answer tells whether that failed
		o := &outcome{}
		o.readOutcome(c)
		Expect(o.status).To(Equal(http.StatusServiceUnavailable))
		Eventually(g.ended[0], 5*time.Second).Should(BeClosed())
		Expect(time.Since(stopped)).To(BeNumerically("<", grace))
	},
		Entry("of its head", false, "GET /form/1 HTTP/1.1\r\nHost: h\r\n", "Primrosehook-Request-Id: late\r\n\r\n"),
		Entry("of its head, on a connection that had a request before", true, "GET /form/1 HTTP/1.1\r\nHost: h\r\n", "Primrosehook-Request-Id: late\r\n\r\n"),
		Entry("of its body", false, "POST /form/1 HTTP/1.1\r\nHost: h\r\nPrimrosehook-Request-Id: late\r\nContent-Length: 10\r\n\r\n12345", "67890"),
	)

	// Guards against ending in silence what can't be finished: its client waits, and can't tell
	// whether it ran.
	It("answers requests that can't be finished in time", func() {
		g := newCluster(1)
		s := g.startIDServer(1900 * time.Millisecond)
		g.allReady()
		s.awaitOnly(g)
		stopped := time.Now()
		g.stops[0]()
		time.Sleep(linger - 600*time.Millisecond)
		c := g.connectClient(0)
		o := &outcome{id: "long"}
		Expect(writeRequest(c, o.id)).To(Succeed())
		o.readOutcome(c)
		Expect(s.arrived(o.id)).To(BeTrue())
		Expect(o.status).To(Equal(http.StatusBadGateway))
		Expect(time.Since(stopped)).To(BeNumerically("<", grace))
		Eventually(g.ended[0], 5*time.Second).Should(BeClosed())
	})
})
