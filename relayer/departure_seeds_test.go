package relayer_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// maxAcceptLag is the longest time before a connection is accepted, in milliseconds.
const maxAcceptLag = 120

// laggingListener accepts each connection after a random time, as a machine that lags behind.
type laggingListener struct {
	net.Listener
	random *rand.Rand
}

// Accept implements net.Listener.
func (l laggingListener) Accept() (net.Conn, error) {
	time.Sleep(time.Duration(l.random.IntN(maxAcceptLag)) * time.Millisecond)
	return l.Listener.Accept()
}

// workLog records when the requests arrived at servers and when they were last worked on.
type workLog struct {
	mu             sync.Mutex
	arrived, ended map[string]time.Time
}

func (l *workLog) record(m map[string]time.Time, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m[id] = time.Now()
}

// recordingServer records the work of a server.
func recordingServer(log *workLog, h handler) handler {
	return func(w http.ResponseWriter, q *http.Request) {
		id := q.Header.Get("Id")
		log.record(log.arrived, id)
		defer log.record(log.ended, id)
		h(w, q)
	}
}

var _ = Describe("Requests of clients that leave at any moment", func() {
	// Guards against requests that reach servers, and servers at work, over half a second after
	// the client has left: while the instance lags behind, before and between attempts, beside
	// servers that pause, refuse, fail and break off. DEPARTURE_SEED and DEPARTURE_RUNS choose
	// the seeds.
	It("are neither sent nor worked on half a second later", func() {
		const clients, grace = 40, 500 * time.Millisecond
		first, runs := uint64(1), uint64(4)
		if s, err := strconv.ParseUint(os.Getenv("DEPARTURE_SEED"), 10, 64); err == nil {
			first = s
		}
		if n, err := strconv.ParseUint(os.Getenv("DEPARTURE_RUNS"), 10, 64); err == nil {
			runs = n
		}
		var group sync.WaitGroup
		problems := make(chan string, 2*clients*int(runs))
		var logs []*workLog
		var fixtures []*fixture
		for seed := first; seed < first+runs; seed++ {
			log := &workLog{arrived: map[string]time.Time{}, ended: map[string]time.Time{}}
			others := &runLog{arrivals: map[string]int{}, runs: map[string]int{}}
			var servers []handler
			for i := range uint64(3) {
				servers = append(servers, recordingServer(log, faultyServer(seed, i, others)))
			}
			w := startRelayer(servers...)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			w.serve(laggingListener{l, rand.New(rand.NewPCG(seed, 99))})
			departures := make([]time.Time, clients)
			var departed sync.WaitGroup
			for i := range departures {
				random := rand.New(rand.NewPCG(seed, uint64(i)))
				path := "/" + []string{"read", "write", "chat", "once"}[random.IntN(4)] + "/1"
				departed.Go(func() {
					defer GinkgoRecover()
					time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
					c, err := net.Dial("tcp", l.Addr().String())
					Expect(err).NotTo(HaveOccurred())
					_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nId: q%d\r\nContent-Length: 1\r\n\r\nx", path, i)
					Expect(err).NotTo(HaveOccurred())
					time.Sleep(time.Duration(random.IntN(1200)) * time.Millisecond)
					if random.IntN(2) == 0 {
						Expect(c.(*net.TCPConn).SetLinger(0)).To(Succeed())
					}
					departures[i] = time.Now()
					Expect(c.Close()).To(Succeed())
				})
			}
			group.Go(func() {
				departed.Wait()
				time.Sleep(clients*maxAcceptLag*time.Millisecond + grace)
				log.mu.Lock()
				defer log.mu.Unlock()
				for i, at := range departures {
					id := fmt.Sprintf("q%d", i)
					if late := log.arrived[id].Sub(at); late > grace {
						problems <- fmt.Sprintf("seed %d: %s reaches a server %v after its client has left", seed, id, late)
					}
					if late := log.ended[id].Sub(at); late > grace {
						problems <- fmt.Sprintf("seed %d: %s is worked on %v after its client has left", seed, id, late)
					}
				}
			})
			logs, fixtures = append(logs, log), append(fixtures, w)
		}
		group.Wait()
		close(problems)
		var list []string
		for p := range problems {
			list = append(list, p)
		}
		Expect(list).To(BeEmpty())
		for i, w := range fixtures {
			Eventually(func() (n int) {
				for _, f := range w.fleet.OwnInFlight() {
					n += f.Requests
				}
				return n
			}, "2s").Should(BeZero(), "requests in flight, seed %d", first+uint64(i))
		}
		arrived := 0
		for _, log := range logs {
			arrived += len(log.arrived)
		}
		// Some clients must have left before and some after their requests were sent.
		Expect(arrived).To(And(BeNumerically(">", 0), BeNumerically("<", clients*len(logs))), "requests at servers")
	})
})
