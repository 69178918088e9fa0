package entryassembler_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/platform"
)

// configTime is within what time of its acknowledgement a version is in force.
const configTime = 3 * time.Second

// The cap of the account "capped", in requests, and the window in which usage is counted.
const (
	capRate   = 20.0
	capBurst  = 20.0
	capWindow = 8 * time.Second
)

// accountsConfig returns the configuration of a version with the accounts "revoked", unless
// it is without its key, "kept" and "capped". Each has its name as its key.
func accountsConfig(version int, revoked bool) []byte {
	keys := `["revoked"]`
	if revoked {
		keys = `[]`
	}
	accounts := fmt.Sprintf(`"tenants":[{"name":"revoked","api-keys":%s},{"name":"kept","api-keys":["kept"]},
 {"name":"capped","api-keys":["capped"],"unit":"requests","rate-per-s":%v,"burst":%v}],"services"`, keys, capRate, capBurst)
	return []byte(strings.Replace(fmt.Sprintf(config, version, "form"), `"services"`, accounts, 1))
}

// accountAnswer is the answer to a request with a key.
type accountAnswer struct {
	key    string
	sentAt time.Time
	code   int
}

// askWith sends a request with a key to an instance and returns the status of the answer, 0 if
// there is none.
func (g *cluster) askWith(i int, path, model, key string) int {
	q, err := http.NewRequest(http.MethodPost, "http://"+g.fronts[i]+path, strings.NewReader("x"))
	Expect(err).NotTo(HaveOccurred())
	q.Host = "h"
	q.Header.Set("Primrosehook-Request-Id", "q")
	q.Header.Set("Primrosehook-Request-Deadline", "4000")
	q.Header.Set("Primrosehook-Model", model)
	q.Header.Set("Primrosehook-Key", key)
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0
	}
	defer p.Body.Close()
	if _, err = io.ReadAll(p.Body); err != nil {
		return 0
	}
	return p.StatusCode
}

var _ = Describe("Client accounts while the lease holder is lost", func() {
	// The load: three instances, one account that asks for five times its cap at all of them,
	// and two without caps, of which one loses its key. The lease holder is lost without a word at
	// the moment of the new version: it reaches neither peers nor the store, and clients don't reach
	// it. Guards against a revoked key that is served beyond the bound, against other keys that are
	// refused meanwhile, and against a cap that is exceeded by its arbiters.
	It("keep revoked keys out, other keys served and usage inside the cap", func() {
		g := newCluster(0)
		g.peers = &peerLinks{}
		g.metadata.Put(platform.TopicOperator, platform.KeyConfig, accountsConfig(4, false))
		for i := range 3 {
			g.start(i)
		}
		g.allMeet()
		holder := -1
		Eventually(func() int {
			for i := range g.fronts {
				if g.metric(i, "lease_held") == 1 {
					holder = i
				}
			}
			return holder
		}, "10s").Should(BeNumerically(">=", 0))
		for i := range g.fronts {
			for _, key := range []string{"revoked", "kept"} {
				Eventually(func() int { return g.askWith(i, "/chat/1", "m0", key) }, "10s").Should(Equal(200))
			}
			Expect(g.askWith(i, "/chat/1", "m0", "wrong")).To(Equal(401))
		}

		var work sync.WaitGroup
		var mu sync.Mutex
		var answers []accountAnswer
		stop, stopHolder := make(chan struct{}), make(chan struct{})
		ask := func(i int, pause time.Duration, path, model, key string) {
			work.Go(func() {
				defer GinkgoRecover()
				until := stop
				if i == holder {
					until = stopHolder
				}
				for {
					select {
					case <-until:
						return
					case <-time.After(pause):
					}
					work.Go(func() {
						defer GinkgoRecover()
						sentAt := time.Now()
						code := g.askWith(i, path, model, key)
						mu.Lock()
						defer mu.Unlock()
						answers = append(answers, accountAnswer{key, sentAt, code})
					})
				}
			})
		}
		for i := range g.fronts {
			ask(i, 30*time.Millisecond, "/form/1", "", "capped")
			ask(i, 100*time.Millisecond, "/chat/1", "m0", "kept")
			ask(i, 100*time.Millisecond, "/chat/1", "m0", "revoked")
		}
		time.Sleep(4 * time.Second)
		close(stopHolder)
		time.Sleep(200 * time.Millisecond)
		g.peers.partition(map[string]int{g.controls[holder]: 1})
		g.storeCut[holder].Store(true)
		g.metadata.Put(platform.TopicOperator, platform.KeyConfig, accountsConfig(5, true))
		changed := time.Now()
		time.Sleep(9 * time.Second)
		close(stop)
		work.Wait()

		codes := map[string]map[int]int{"kept": {}, "revoked": {}, "capped": {}, "revoked later": {}}
		for _, a := range answers {
			key := a.key
			if key == "revoked" && a.sentAt.Sub(changed) > configTime {
				key = "revoked later"
			}
			codes[key][a.code]++
		}
		AddReportEntry("answers", fmt.Sprint(codes))
		Expect(codes["kept"]).To(And(HaveLen(1), HaveKey(200)))
		Expect(codes["revoked later"]).To(And(HaveLen(1), HaveKey(401)))
		for code := range codes["revoked"] {
			Expect(code).To(Or(Equal(200), Equal(401)))
		}
		for code := range codes["capped"] {
			Expect(code).To(Or(Equal(200), Equal(429)))
		}
		Expect(codes["capped"]).To(And(HaveKey(200), HaveKey(429)))
		// The bound of the specification without its slack, which is meant for tokens.
		Expect(most(g.engines[2].Arrivals(), capWindow)).To(BeNumerically("<=", (capRate*capWindow.Seconds()+capBurst)*1.1))
	})
})
