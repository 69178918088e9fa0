package crowder_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/driver"
	"primrosehook/faker"
	"primrosehook/lister"
)

const rules = `
name: crowd
models: [{name: tiny, pool: gpu, memory: 1000}]
services: [{name: form, pool: form}]
rules: [{name: all, when: true, then: {class: urgent, deadline: 4s, queue: 1s}}]
`

// startOwnAPI starts an instance with the system's own API, between stand-ins of its platform,
// of an engine and of a plain service. Its limits are those of the process, without settings,
// unless further arguments say otherwise.
func startOwnAPI(program string, prepare func(platform string), more ...string) *instance {
	records := faker.NewLog(faker.LogSettings{})
	list := faker.NewList(faker.ListSettings{})
	n := &instance{front: freeAddress(), ready: freeAddress(), control: freeAddress(), path: "/services/form/form/1", readyPath: "/readyz", served: http.StatusCreated}
	n.platform = faker.Platform{Log: records, List: list, Store: faker.NewStore(faker.StoreSettings{})}.Handler()
	platform := httptest.NewServer(http.HandlerFunc(n.answerPlatform))
	DeferCleanup(platform.Close)
	engine := faker.NewEngine("engine", faker.DefaultEngine())
	engine.Preload(driver.Weights{Model: "tiny"}, 1000)
	announce(platform.URL, lister.KindEngine, "gpu", engine.Handler())
	service := faker.NewService("form", faker.ServiceSettings{CallTime: 300 * time.Millisecond})
	announce(platform.URL, lister.KindService, "form", service.Handler())
	if prepare != nil {
		prepare(platform.URL)
	}
	args := append([]string{
		"-c", `ulimit -n "$1"; shift; exec "$@"`, "sh", strconv.Itoa(maxDescriptors), program, "serve",
		"-listen", n.front, "-operate", n.ready, "-peer", n.control, "-list", platform.URL, "-log", platform.URL, "-store", platform.URL,
	}, more...)
	process := exec.Command("sh", args...)
	process.Env = append(os.Environ(), fmt.Sprintf("GOMEMLIMIT=%dMiB", memoryMB))
	n.start(process)
	Eventually(func() int {
		p, err := http.Post("http://"+n.ready+"/admin/rules?base=0", "application/yaml", strings.NewReader(rules))
		if err != nil {
			return 0
		}
		_ = p.Body.Close()
		return p.StatusCode
	}, "15s", "50ms").Should(Equal(http.StatusOK))
	n.expectReady()
	return n
}

// announce puts a server on the instance list of a platform.
func announce(platform string, kind, pool string, h http.Handler) {
	server := httptest.NewServer(h)
	DeferCleanup(server.Close)
	announceAs(platform, kind+"-0", kind, pool, server.Listener.Addr())
}

// announceAs puts a server with a name and an address on the instance list of a platform.
func announceAs(platform, name, kind, pool string, address net.Addr) {
	one := lister.Instance{Name: name, Kind: kind, Pool: pool, Region: "local", Zone: "a", Addr: address.String(), State: lister.StateLive}
	a := faker.NewAnnouncer(lister.NewClient(platform, http.DefaultClient), clockwork.NewRealClock(), time.Second, func() lister.Instance { return one })
	a.Announce(context.Background())
}

// redirected writes the requests of a client load to another path.
type redirected struct {
	io.Writer
	path string
}

// Write implements io.Writer. A head is written with one call.
func (r redirected) Write(b []byte) (int, error) {
	if _, err := r.Writer.Write(bytes.Replace(b, []byte("POST /form/1 "), []byte("POST "+r.path+" "), 1)); err != nil {
		return 0, err
	}
	return len(b), nil
}

// sendPrompts sends a complete request for generation with a prompt of the largest size.
func sendPrompts(i int, w io.Writer) error {
	body := `{"model":"tiny","max_tokens":3,"messages":[{"role":"user","content":"` + strings.Repeat("x", maxBody-200) + `"}]}`
	if err := writeHead(w, i, fmt.Sprint("Content-Length: ", len(body))); err != nil {
		return err
	}
	_, err := io.WriteString(w, body)
	return err
}

var _ = Describe("An instance with the system's own API whose clients are not controlled", Ordered, ContinueOnFailure, func() {
	const chat, form = "/v1/chat/completions", "/services/form/form/1"
	var program string
	BeforeAll(func() { program = buildProgram(GinkgoT().TempDir()) })

	// Guards against a process that clients take over its memory or its descriptors.
	DescribeTable("lives within its limits and serves others",
		func(path string, send func(i int, w io.Writer) error) {
			n := startOwnAPI(program, nil)
			AddReportEntry("before", fmt.Sprintf("%.0f MiB", n.memory("VmHWM")))
			c := &crowd{instance: n}
			defer c.leave()
			c.gather(func(i int, w io.Writer) error { return send(i, redirected{Writer: w, path: path}) })
			n.expectWithinLimits()
			n.expectServed("small", 100)
			c.leave()
			n.expectServed("large", maxBody)
			n.expectWithinLimits()
		},
		Entry("many large bodies that stop short of their end", form, sendLegal),
		Entry("many large bodies to the chat route that stop short of their end", chat, sendLegal),
		Entry("many chunked bodies that stop short of their end", form, sendChunked),
		Entry("bodies far over the limit", form, sendOversized),
		Entry("heads that never end", form, sendEndlessHead),
		Entry("requests one after the other without waiting, the last one short of its end", form, sendPipelined),
		Entry("many complete prompts of the largest size", chat, sendPrompts),
		Entry("bodies to a path that does not exist", "/none", sendLegal),
	)

	// Guards against a port whose connections are all taken by clients that send nothing, and
	// against a process without descriptors for its servers.
	It("serves others beside many idle connections to each port", func() {
		n := startOwnAPI(program, nil)
		for _, address := range []string{n.front, n.ready, n.control} {
			c := &crowd{instance: n, address: address}
			defer c.leave()
			c.gather(func(int, io.Writer) error { return nil })
		}
		n.expectWithinLimits()
		// The kernel keeps the process within its limit; at the limit it can't reach its servers.
		Expect(n.descriptors()).To(BeNumerically("<", maxDescriptors), "descriptors are left")
		n.expectServed("small", 100)
		n.expectReady()
	})

	// Guards against messages to the peers' port that stop short of their end.
	It("lives within its limits beside many messages that stop short", func() {
		n := startOwnAPI(program, nil)
		c := &crowd{instance: n, address: n.control}
		defer c.leave()
		c.gather(func(_ int, w io.Writer) error {
			if _, err := w.Write(binary.BigEndian.AppendUint32(nil, maxBody)); err != nil {
				return err
			}
			return writePieces(w, maxBody-short, 64<<10)
		})
		n.expectWithinLimits()
		n.expectServed("small", 100)
		n.expectReady()
	})
})
