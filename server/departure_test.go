package server_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/driver"
	"primrosehook/forwarder"
	"primrosehook/sender"
	"primrosehook/server"
)

// httpForwarder forwards calls over HTTP to one server, whatever the address.
type httpForwarder struct {
	addr string
	http *http.Client
}

func (f httpForwarder) Forward(ctx context.Context, _ string, call forwarder.Call) (forwarder.Answer, error) {
	return forwarder.NewClient(f.addr, f.http, forwarder.WithClock(clockwork.NewRealClock())).Call(ctx, call)
}

var _ = Describe("a client that left before it was accepted", func() {
	// Guards against work for clients that gave up since their connections were not accepted in
	// time: a request's context ends only after its handler has started.
	DescribeTable("is not worked for",
		func(method, path, body string) {
			var arrived atomic.Int64
			upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				if q.Method != http.MethodDelete {
					arrived.Add(1)
				}
				w.WriteHeader(http.StatusServiceUnavailable)
			}))
			DeferCleanup(upstream.Close)
			addr := strings.TrimPrefix(upstream.URL, "http://")
			client := sender.NewClient()
			b := newHarness(server.WithEngines(func(string) driver.Engine { return driver.NewClient(addr, client) }),
				server.WithForwarder(httpForwarder{addr: addr, http: client}))
			DeferCleanup(func() { b.close() })
			l, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			connect := func() net.Conn {
				c, err := net.Dial("tcp", l.Addr().String())
				Expect(err).NotTo(HaveOccurred())
				_, err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body)
				Expect(err).NotTo(HaveOccurred())
				return c
			}
			for range 50 {
				Expect(connect().Close()).To(Succeed())
			}
			s := b.server.NewHTTPServer(b.server.Handler())
			DeferCleanup(s.Close)
			go func() { _ = s.Serve(l) }()
			time.Sleep(300 * time.Millisecond)
			Expect(arrived.Load()).To(BeZero())
			stays := connect()
			Eventually(arrived.Load, "10s").ShouldNot(BeZero())
			Expect(stays.Close()).To(Succeed())
			Eventually(b.dispatcher.active).Should(BeZero())
		},
		Entry("by an engine", "POST", "/v1/chat/completions", chatBody),
		Entry("by an engine, with a stream", "POST", "/v1/chat/completions", streamed(chatBody)),
		Entry("by a plain service", "GET", "/services/kiosk/form", ""),
	)
})
