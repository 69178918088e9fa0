package confirmer_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/connector"
	"primrosehook/sender"
)

var upload = make([]byte, 8<<20)

// viaConnector and viaSender send an upload to an address and read the answer's body.
func viaConnector(address string) ([]byte, error) {
	p := connector.NewPool(address, clockwork.NewRealClock(), &connector.DialCounter{})
	defer p.Close()
	q := connector.Request{Method: http.MethodPost, Target: "/", Host: "h", Body: upload}
	a, err := p.Do(context.Background(), q, func(http.Header, bool) bool { return true })
	if err != nil {
		return nil, err
	}
	defer a.Close(false)
	return io.ReadAll(a.Body)
}

func viaSender(address string) ([]byte, error) {
	q, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address, bytes.NewReader(upload))
	Expect(err).NotTo(HaveOccurred())
	p, err := sender.Do(sender.NewClient(), q, "c", "r")
	if err != nil {
		return nil, err
	}
	defer p.Body.Close()
	return io.ReadAll(p.Body)
}

func reset(c *net.TCPConn) { _ = c.SetLinger(0) }

func endAndReset(c *net.TCPConn) {
	_ = c.CloseWrite()
	time.Sleep(5 * time.Millisecond)
	reset(c)
}

func endAndRead(c *net.TCPConn) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c)
}

// Guards against a part of an answer that is taken for all of it, since the write of the upload
// took the error of the reset, and against refusing early answers that are complete.
var _ = DescribeTable("An early answer to an upload is complete if its end was sent before a reset",
	func(send func(address string) ([]byte, error), fields, body string, end func(c *net.TCPConn), complete bool) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		go func() {
			for c, err := l.Accept(); err == nil; c, err = l.Accept() {
				_, _ = http.ReadRequest(bufio.NewReader(c))
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+fields+"\r\n"+body)
				end(c.(*net.TCPConn))
				_ = c.Close()
			}
		}()
		for range 40 {
			text, err := send(l.Addr().String())
			Expect(err == nil).To(Equal(complete), "%q, %v", text, err)
			if complete {
				Expect(string(text)).To(Equal("whole"))
			}
		}
	},
	Entry("reset", viaConnector, "", "part", reset, false),
	Entry("reset after an event", viaConnector, "Content-Type: text/event-stream\r\n", "data: 1\n\n", reset, false),
	Entry("reset with a length", viaConnector, "Content-Length: 9\r\n", "part", reset, false),
	Entry("reset in chunks", viaConnector, "Transfer-Encoding: chunked\r\n", "4\r\npart\r\n", reset, false),
	Entry("ended, then reset", viaConnector, "", "whole", endAndReset, true),
	Entry("ended by a server that reads on", viaConnector, "", "whole", endAndRead, true),
	Entry("ended, with a length", viaConnector, "Content-Length: 5\r\n", "whole", endAndReset, true),
	Entry("ended, in chunks", viaConnector, "Transfer-Encoding: chunked\r\n", "5\r\nwhole\r\n0\r\n\r\n", endAndReset, true),
	Entry("net/http, reset", viaSender, "", "part", reset, false),
	Entry("net/http, ended by a server that reads on", viaSender, "", "whole", endAndRead, true),
)
