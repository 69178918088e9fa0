package sender_test

import (
	"bufio"
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/headchecker"
	"primrosehook/judge"
	"primrosehook/sender"
)

var _ = Describe("A malformed answer", func() {
	// serve starts a server that calls script for each connection.
	serve := func(script func(c net.Conn, r *bufio.Reader)) string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = l.Close() })
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					defer c.Close()
					script(c, bufio.NewReader(c))
				}()
			}
		}()
		return "http://" + l.Addr().String()
	}
	fetch := func(client *http.Client, method, url string) (string, error) {
		q, err := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader("x"))
		Expect(err).NotTo(HaveOccurred())
		p, err := sender.Do(client, q, "c", "r")
		if err != nil {
			return "", err
		}
		defer p.Body.Close()
		body, err := io.ReadAll(p.Body)
		return string(body), err
	}

	// Guards against answers that net/http's client returns although they say something else
	// than it reads, or nothing that it could return.
	DescribeTable("is an error, and the request may have run",
		func(answer, reason string) {
			url := serve(func(c net.Conn, r *bufio.Reader) {
				if q, err := http.ReadRequest(r); err == nil {
					_, _ = io.Copy(io.Discard, q.Body)
					_, _ = io.WriteString(c, answer)
				}
			})
			_, err := fetch(sender.NewClient(), http.MethodPost, url)
			Expect(headchecker.ReasonOf(err)).To(Equal(reason))
			Expect(judge.Of(err)).To(Equal(judge.MayHaveRun))
			q, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, http.NoBody)
			Expect(err).NotTo(HaveOccurred())
			p, err := sender.NewClient().Do(q)
			if err == nil {
				_, err = io.ReadAll(p.Body)
				_ = p.Body.Close()
			}
			Expect(headchecker.ReasonOf(err)).To(Equal(reason), "without Do")
		},
		Entry("status 000", "HTTP/1.1 000 x\r\nContent-Length: 4\r\n\r\npart", "status"),
		Entry("a blank before the colon", "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\npart and more", "name"),
		Entry("a length beside chunks", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "length"),
		Entry("a malformed interim answer", "HTTP/1.1 103 Early Hints\r\nBad Name: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "name"),
		Entry("a malformed trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nBad Name: x\r\n\r\n", "trailer"),
	)

	// Guards against taking what follows an answer for the answer to the next request, which
	// net/http does if the connection is reused at that moment, and against refusing an answer
	// without a body, whose connection is reused before the answer is returned.
	DescribeTable("is not what the next request on its connection gets",
		func(answer string, allSucceed bool) {
			log.SetOutput(GinkgoWriter)
			DeferCleanup(log.SetOutput, os.Stderr)
			url := serve(func(c net.Conn, r *bufio.Reader) {
				for q, err := http.ReadRequest(r); err == nil; q, err = http.ReadRequest(r) {
					_, _ = io.Copy(io.Discard, q.Body)
					_, _ = io.WriteString(c, strings.ReplaceAll(answer, "PATH", q.URL.Path))
				}
			})
			client := sender.NewClient()
			var senders sync.WaitGroup
			var next, wrong, failed atomic.Int64
			for range 32 {
				senders.Go(func() {
					defer GinkgoRecover()
					for n := next.Add(1); n < 4000; n = next.Add(1) {
						path := "/" + strconv.Itoa(int(1000+n))
						body, err := fetch(client, http.MethodPost, url+path)
						switch {
						case err != nil:
							failed.Add(1)
						case body != path && body != "":
							wrong.Add(1)
						}
					}
				})
			}
			senders.Wait()
			Expect(wrong.Load()).To(BeZero())
			Expect(failed.Load() == 0 || !allSucceed).To(BeTrue())
		},
		Entry("if it comes twice", strings.Repeat("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nPATH", 2), false),
		Entry("if it has no body", "HTTP/1.1 204 No Content\r\n\r\n", true),
	)
})
