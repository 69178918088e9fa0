package connector_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/connector"
	"primrosehook/judge"
)

var _ = Describe("Bytes without end in place of an answer", func() {
	// Guards against reading, and holding in memory, whatever a server in trouble sends
	// until the request's deadline.
	DescribeTable("are read up to a limit only",
		func(begin, repeat string) {
			var sent atomic.Int64
			u := listen(func(_ int, c net.Conn, r *bufio.Reader) bool {
				if !readRequest(r) {
					return false
				}
				_, err := io.WriteString(c, begin)
				piece := strings.Repeat(repeat, 1+(32<<10)/len(repeat))
				for err == nil {
					var n int
					n, err = io.WriteString(c, piece)
					sent.Add(int64(n))
				}
				return false
			})
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			p := connector.NewPool(u.Addr().String(), clockwork.NewRealClock(), &connector.DialCounter{})
			_, err := p.Do(ctx, connector.Request{Method: http.MethodGet, Target: "/", Host: "h"}, func(h http.Header, _ bool) bool { return h.Get("Id") == "q" })
			Expect(judge.Of(err)).To(Equal(judge.MayHaveRun))
			// The sockets' buffers hold some of it.
			Expect(sent.Load()).To(BeNumerically("<", 32<<20))
		},
		Entry("a status line", "", "x"),
		Entry("lines that are no head", "", "x\n"),
		Entry("a header", "HTTP/1.1 200 OK\r\nId: q\r\nX: ", "x"),
		Entry("headers", "HTTP/1.1 200 OK\r\nId: q\r\n", "X: y\r\n"),
		Entry("interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"),
		Entry("the body of an answer to another request", "HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "x"),
		Entry("the chunks of an answer to another request", "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
	)

	// Guards against heads of many fields, each within the limit, that take a megabyte each once they
	// are parsed, for all requests at the same time.
	DescribeTable("are charged as a head",
		func(fields int, allowed, charged, answered bool) {
			u := listen(func(_ int, c net.Conn, r *bufio.Reader) bool {
				if !readRequest(r) {
					return false
				}
				_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nId: q\r\n"+strings.Repeat("X:\r\n", fields)+"Content-Length: 0\r\n\r\n")
				return err == nil
			})
			var asked int64
			q := connector.Request{Method: http.MethodGet, Target: "/", Host: "h", GrowHead: func(n int64) bool {
				asked += n
				return allowed
			}}
			p := connector.NewPool(u.Addr().String(), clockwork.NewRealClock(), &connector.DialCounter{})
			a, err := p.Do(context.Background(), q, func(http.Header, bool) bool { return true })
			Expect(err == nil).To(Equal(answered))
			if err == nil {
				a.Close(true)
			}
			Expect(asked > 0).To(Equal(charged))
			if charged && allowed {
				Expect(asked).To(BeNumerically(">", 100*fields))
			}
		},
		Entry("of some fields", 40, false, false, true),
		Entry("of many fields", 10000, true, true, true),
		Entry("of many fields without memory", 10000, false, true, false),
	)
})
