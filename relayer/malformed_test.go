package relayer_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/relayer"
)

var _ = Describe("A malformed answer", func() {
	// Guards against passing on answers of a server in trouble whose body or fields are not
	// what the server sent.
	DescribeTable("is not passed on, and a request that may be repeated goes to another server",
		func(reason, status, fields, body string) {
			raw := status + "\r\nId: q1\r\nSign: s\r\n" + fields + "\r\n" + body
			meter := &countingMeter{name: relayer.MetricMalformed + reason}
			w := startRelayerWith(newGuard(), []handler{rawAnswer(raw), signedAnswer("whole")}, relayer.WithMeter(meter))
			code, text, err := w.send("GET", "/read/1", "")
			Expect([]any{code, text, err}).To(Equal([]any{200, "whole", nil}))
			Expect(meter.count.Load()).To(Equal(int64(1)))
			for _, path := range []string{"/write/1", "/once/1"} {
				code, text, _ = startRelayer(rawAnswer(raw)).send("POST", path, "x")
				Expect(code).To(Equal(502))
				Expect(text).NotTo(ContainSubstring("part"))
			}
		},
		Entry("a blank before the colon", "name", "HTTP/1.1 200 OK", "Content-Length : 4\r\n", "part and more"),
		Entry("a blank in a name", "name", "HTTP/1.1 200 OK", "Bad Name: x\r\nContent-Length: 4\r\n", "part"),
		Entry("a control byte in a name", "name", "HTTP/1.1 200 OK", "Bad\x01Name: x\r\nContent-Length: 4\r\n", "part"),
		Entry("a folded line", "fold", "HTTP/1.1 200 OK", "A: b\r\n Content-Length: 9\r\nContent-Length: 4\r\n", "part"),
		Entry("a zero byte in a value", "value", "HTTP/1.1 200 OK", "A: b\x00\r\nContent-Length: 4\r\n", "part"),
		Entry("status 000", "status", "HTTP/1.1 000 x", "Content-Length: 4\r\n", "part"),
		Entry("HTTP/2.0", "version", "HTTP/2.0 200 OK", "Content-Length: 4\r\n", "part"),
		Entry("two equal lengths", "length", "HTTP/1.1 200 OK", "Content-Length: 4\r\nContent-Length: 4\r\n", "part"),
		Entry("a length beside chunks", "length", "HTTP/1.1 200 OK", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "4\r\npart\r\n0\r\n\r\n"),
		Entry("chunks in HTTP/1.0", "coding", "HTTP/1.0 200 OK", "Transfer-Encoding: chunked\r\n", "4\r\npart\r\n0\r\n\r\n"),
		Entry("204 with a body", "body", "HTTP/1.1 204 No Content", "Content-Length: 4\r\n", "part"),
		Entry("a malformed interim answer", "name", "HTTP/1.1 103 Early Hints", "Bad Name: x\r\n", "HTTP/1.1 200 OK\r\nId: q1\r\nSign: s\r\nContent-Length: 4\r\n\r\npart"),
	)

	It("is not passed on if its trailers are malformed", func() {
		raw := "HTTP/1.1 200 OK\r\nId: q1\r\nSign: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\nBad Name: x\r\n\r\n"
		code, text, err := startRelayer(rawAnswer(raw), signedAnswer("whole")).send("GET", "/read/1", "")
		Expect([]any{code, text, err}).To(Equal([]any{200, "whole", nil}))
		code, _, _ = startRelayer(rawAnswer(raw)).send("POST", "/write/1", "x")
		Expect(code).To(Equal(502))
	})
})
