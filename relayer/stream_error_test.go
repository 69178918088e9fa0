package relayer_test

import (
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const errorText = "error: no such run\n\nthe server is out of order\n\n"

// failedAnswer answers with a status, an error's text and further header fields.
func failedAnswer(code int, set ...string) handler {
	return func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Id", q.Header.Get("Id"))
		for _, name := range set {
			w.Header().Set(name, "1")
		}
		w.WriteHeader(code)
		_, _ = io.WriteString(w, errorText)
	}
}

// rawAnswer writes bytes in place of an answer, and closes the connection.
func rawAnswer(text string) handler {
	return func(w http.ResponseWriter, q *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", q.Header.Get("Id")))
	}
}

var _ = Describe("A stream that broke off", func() {
	// Guards against an error's text, or its head, among the events of a stream that another
	// server was to continue, and against a stream that then looks complete.
	DescribeTable("holds nothing of the next server's error, and does not look complete",
		func(second handler) {
			w := startRelayer(streamEvents(5, 3), second)
			code, body, err := w.send("POST", "/chat/1", "x")
			Expect(code).To(Equal(200))
			Expect(err).To(HaveOccurred(), "the stream looks complete")
			Expect(body).To(Equal("id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n"))
		},
		Entry("500", failedAnswer(500, "Sign")),
		Entry("500, unsigned", failedAnswer(500)),
		Entry("502, unsigned", failedAnswer(502)),
		Entry("404", failedAnswer(404, "Sign")),
		Entry("404, unsigned", failedAnswer(404)),
		Entry("400, refused", failedAnswer(400, "Refused")),
		Entry("503, refused", failedAnswer(503, "Refused")),
		Entry("503, unsigned", failedAnswer(503)),
		Entry("429, refused", failedAnswer(429, "Refused")),
		Entry("421", failedAnswer(421)),
		Entry("410", failedAnswer(410, "Sign")),
		Entry("204", statusOnly(204, "Sign")),
		Entry("206", failedAnswer(206, "Sign")),
		Entry("302", failedAnswer(302, "Sign")),
		Entry("200, unsigned", failedAnswer(200)),
		Entry("a head without an end", rawAnswer("HTTP/1.1 500 Internal Server Error\r\nSign: 1\r\nId: ID\r\n")),
		Entry("an error that is cut off", rawAnswer("HTTP/1.1 500 Internal Server Error\r\nSign: 1\r\nId: ID\r\nContent-Length: 500\r\n\r\n"+errorText)),
		Entry("an error that ends with its connection", rawAnswer("HTTP/1.1 500 Internal Server Error\r\nSign: 1\r\nId: ID\r\n\r\n"+errorText)),
		Entry("an error's head where the body of a stream is due", rawAnswer("HTTP/1.1 200 OK\r\nSign: 1\r\nId: ID\r\n\r\nHTTP/1.1 500 Internal Server Error\r\nSign: 1\r\nId: ID\r\n\r\n"+errorText)),
		Entry("a success that is an error's text", failedAnswer(200, "Sign")),
		Entry("no answer", rawAnswer(errorText)),
	)

	It("holds nothing of an error's head that its own server wrote among its events", func() {
		w := startRelayer(func(rw http.ResponseWriter, q *http.Request) {
			rawAnswer("HTTP/1.1 200 OK\r\nSign: 1\r\nId: ID\r\n\r\nid: 1\ndata: 1\n\nHTTP/1.1 500 Internal Server Error\r\nSign: 1\r\nId: ID\r\n\r\n"+errorText)(rw, q)
		}, streamEvents(3, 0))
		code, body, err := w.send("POST", "/chat/1", "x")
		Expect([]any{code, body, err}).To(Equal([]any{200, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n", nil}))
	})
})
