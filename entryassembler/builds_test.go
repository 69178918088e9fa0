package entryassembler_test

import (
	"bufio"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/faker"
	"primrosehook/platform"
)

// addBuild starts and registers two model servers of a build.
func (g *cluster) addBuild(build string) {
	for i := range 2 {
		e := faker.NewModelServer(fmt.Sprintf("i-%s-%d", build, i), "m0")
		e.Build = build
		s := httptest.NewServer(e)
		DeferCleanup(s.Close)
		g.metadata.Put(platform.TopicServers, e.ID, e.Registration("llm", s.Listener.Addr().String(), "z1", "ready", 1))
	}
}

// events sends a request for a stream to an instance, and returns the status and the data
// of up to count events.
func (g *cluster) events(instance, count int, id string, set ...string) (int, []string) {
	q, err := http.NewRequest(http.MethodPost, "http://"+g.fronts[instance]+"/chat/1", strings.NewReader("x"))
	Expect(err).NotTo(HaveOccurred())
	q.Host = "h"
	q.Header.Set("Primrosehook-Request-Id", id)
	q.Header.Set("Primrosehook-Model", "m0")
	for i := 0; i+1 < len(set); i += 2 {
		q.Header.Set(set[i], set[i+1])
	}
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, nil
	}
	defer p.Body.Close()
	var list []string
	for lines := bufio.NewScanner(p.Body); len(list) < count && lines.Scan(); {
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			list = append(list, data)
		}
	}
	return p.StatusCode, list
}

// metric returns a metric of an instance, -1 if it has none.
func (g *cluster) metric(instance int, name string) int {
	p, err := http.Get("http://" + g.metrics[instance])
	if err != nil {
		return -1
	}
	defer p.Body.Close()
	for lines := bufio.NewScanner(p.Body); lines.Scan(); {
		n := -1
		if _, err := fmt.Sscanf(lines.Text(), name+" %d", &n); err == nil {
			return n
		}
	}
	return -1
}

// allMeet waits until all instances know each other.
func (g *cluster) allMeet() {
	g.allReady()
	for i := range g.fronts {
		Eventually(func() int { return g.metric(i, "instances") }, "10s").Should(Equal(len(g.fronts)))
	}
}

// buildOf returns the build in the data of an event.
func buildOf(data string) string { return data[strings.LastIndex(data, " ")+1:] }

var _ = Describe("Servers of several builds", func() {
	// Guards against streams with events of two builds when clients take them up again
	// at another instance.
	It("continue only the streams that their build began, whichever instance the client comes back to", func() {
		g := newCluster(3)
		for _, e := range g.engines[:2] {
			g.metadata.Put(platform.TopicServers, e.ID, nil)
		}
		g.addBuild("v1")
		g.addBuild("v1.1")
		g.allMeet()
		for i := range g.fronts {
			Eventually(func() int { code, _ := g.events(i, 3, "warm"); return code }, "10s").Should(Equal(200))
		}
		mixed, refused := 0, 0
		for i := range 40 {
			id := fmt.Sprintf("begin-%d", i)
			code, first := g.events(0, 1, id)
			Expect(code).To(Equal(200))
			code, rest := g.events(1+i%2, 2, fmt.Sprintf("again-%d", i), "Resumes", id, "Last-Event-Id", "1")
			switch {
			case code != http.StatusOK || len(rest) < 2:
				refused++
			case buildOf(rest[0]) != buildOf(first[0]):
				mixed++
			}
		}
		Expect(mixed).To(BeZero())
		Expect(refused).To(BeNumerically("<=", 2))
	})
})
