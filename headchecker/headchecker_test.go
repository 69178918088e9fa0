package headchecker_test

import (
	"io"
	"strings"
	"testing/iotest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/headchecker"
)

// check returns what is passed on of an answer that arrives in one piece, or byte by byte.
func check(answer string, bytewise bool) (string, error) {
	var source io.Reader = strings.NewReader(answer)
	if bytewise {
		source = iotest.OneByteReader(source)
	}
	r := headchecker.NewReader(source)
	if err := r.Await(nil); err != nil {
		return "", err
	}
	text, err := io.ReadAll(r)
	return string(text), err
}

var _ = Describe("The head of an answer", func() {
	// Guards against answers whose head says something else to net/http than to their server.
	DescribeTable("is refused, and its end not passed on",
		func(answer, reason string) {
			for _, bytewise := range []bool{false, true} {
				text, err := check(answer+"\r\nbody", bytewise)
				Expect(headchecker.ReasonOf(err)).To(Equal(reason))
				Expect(text).NotTo(Or(HaveSuffix("\n\r\n"), ContainSubstring("body")))
			}
		},
		Entry("status 000", "HTTP/1.1 000 x\r\n", "status"),
		Entry("status 099", "HTTP/1.1 099 x\r\n", "status"),
		Entry("status with a sign", "HTTP/1.1 +20 x\r\n", "status"),
		Entry("status of two digits", "HTTP/1.1 20 x\r\n", "status"),
		Entry("status of four digits", "HTTP/1.1 2000 x\r\n", "status"),
		Entry("status with a control byte", "HTTP/1.1 200 O\x01K\r\n", "status"),
		Entry("another protocol", "HTTP/1.1 101 Switching Protocols\r\n", "status"),
		Entry("HTTP/2.0", "HTTP/2.0 200 OK\r\n", "version"),
		Entry("HTTP/0.9", "HTTP/0.9 200 OK\r\n", "version"),
		Entry("no version", "ICY 200 OK\r\n", "version"),
		Entry("two blanks before the status", "HTTP/1.1  200 OK\r\n", "status"),
		Entry("a blank in a name", "HTTP/1.1 200 OK\r\nA b: c\r\n", "name"),
		Entry("a blank before the colon", "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n", "name"),
		Entry("a control byte in a name", "HTTP/1.1 200 OK\r\nA\x01b: c\r\n", "name"),
		Entry("a byte above 127 in a name", "HTTP/1.1 200 OK\r\nA\xe9: c\r\n", "name"),
		Entry("an empty name", "HTTP/1.1 200 OK\r\n: c\r\n", "name"),
		Entry("no colon", "HTTP/1.1 200 OK\r\nA\r\n", "name"),
		Entry("a zero byte in a value", "HTTP/1.1 200 OK\r\nA: b\x00c\r\n", "value"),
		Entry("a carriage return in a value", "HTTP/1.1 200 OK\r\nA: b\rc\r\n", "value"),
		Entry("a folded line", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n", "fold"),
		Entry("a folded line first", "HTTP/1.1 200 OK\r\n\tA: b\r\n", "fold"),
		Entry("two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n", "length"),
		Entry("one length twice", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\ncontent-length: 3\r\n", "length"),
		Entry("a list of lengths", "HTTP/1.1 200 OK\r\nContent-Length: 3, 3\r\n", "length"),
		Entry("a length with a sign", "HTTP/1.1 200 OK\r\nContent-Length: +3\r\n", "length"),
		Entry("an empty length", "HTTP/1.1 200 OK\r\nContent-Length:\r\n", "length"),
		Entry("a huge length", "HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775808\r\n", "length"),
		Entry("a length beside chunks", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n", "length"),
		Entry("an unknown coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n", "coding"),
		Entry("a coding twice", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "coding"),
		Entry("chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n", "coding"),
		Entry("204 with a body", "HTTP/1.1 204 No Content\r\nContent-Length: 3\r\n", "body"),
		Entry("an interim answer with a body", "HTTP/1.1 100 Continue\r\nContent-Length: 3\r\n", "body"),
		Entry("a malformed interim answer", "HTTP/1.1 103 Early Hints\r\nA b: c\r\n\r\nHTTP/1.1 200 OK\r\n", "name"),
		Entry("a malformed head after an interim answer", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 x\r\n", "status"),
		Entry("too many bytes", "HTTP/1.1 200 OK\r\n"+strings.Repeat("A: b\r\n", headchecker.MaxBytes/6), "size"),
	)

	DescribeTable("is passed on with all that follows",
		func(answer string) {
			for _, bytewise := range []bool{false, true} {
				Expect(check(answer, bytewise)).To(Equal(answer))
			}
		},
		Entry("no text", "HTTP/1.1 200\r\n\r\n"),
		Entry("line ends without carriage return", "HTTP/1.1 200 OK\nA: b\n\nbody : \x00\n"),
		Entry("an empty value, and one above 127", "HTTP/1.0 503 \r\nA:\r\nB: \t\xe9\t \r\n\r\n"),
		Entry("the length of a body that 304 has not", "HTTP/1.1 304 Not Modified\r\nContent-Length: 3\r\n\r\n"),
		Entry("204 with length 0", "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n"),
		Entry("interim answers", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n0\r\n\r\n\x00 :"),
	)
})
