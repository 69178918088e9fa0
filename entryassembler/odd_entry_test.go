package entryassembler_test

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/platform"
)

var _ = Describe("An odd entry of another writer among those of the servers", func() {
	odd := []string{
		`"x":` + strings.Repeat("[", 50_000) + strings.Repeat("]", 50_000),
		`"models":` + strings.Repeat(`{"models":`, 20_000) + "1" + strings.Repeat("}", 20_000),
		`"models":` + strings.Repeat("[", 200_000),
		`"slots":1e999`,
		`"sequence":123456789012345678901234567890`,
		`"sequence":9223372036854775807,"born":9223372036854775807`,
		`"remaining-ms":1e300`,
		`"address":"127.0.0.1:99999"`,
		`"address":"127.0.0.1:-1"`,
		`"address":"127.0.0.1"`,
		`"address":"%zz:[::1"`,
		`"models":[{"name":"","version":1e3,"adapters":[""]},null]`,
	}

	// Guards against processes that end or stop following the registry because of an entry that
	// they can't make sense of, and against requests that fail at what it names.
	It("ends no instance and keeps none from following the registry", func() {
		g := newCluster(2)
		g.allReady()
		for i, field := range odd {
			entry := fmt.Sprintf(`{"service":"api","zone":"z1","version":"v1","slots":8,"state":"ready","sequence":1,"born":1,%s}`, field)
			if !strings.Contains(field, "address") {
				entry = strings.TrimSuffix(entry, "}") + `,"address":"127.0.0.1:1"}`
			}
			g.metadata.Put(platform.TopicServers, fmt.Sprint("odd", i), []byte(entry))
		}
		api := g.engines[2]
		statuses := func(code int) func() int {
			return func() int {
				n := 0
				for i := range g.fronts {
					if got, _ := g.send(i, "/form/1", ""); got == code {
						n++
					}
				}
				return n
			}
		}
		Consistently(statuses(http.StatusOK), "500ms", 50*time.Millisecond).Should(Equal(2))
		for sequence, state := range []string{"draining", "ready"} {
			g.metadata.Put(platform.TopicServers, api.ID, api.Registration("api", g.addresses[2], "z1", state, 2+sequence))
			want := http.StatusServiceUnavailable
			if state == "ready" {
				want = http.StatusOK
			}
			Eventually(statuses(want), "10s").Should(Equal(2), state)
		}
		for _, ended := range g.ended {
			Expect(ended).NotTo(BeClosed())
		}
	})
})
