package crowder_test

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// clients is twice the number of requests that an instance takes at a time with these
	// settings. If each sends most of a body, these are three times its memory.
	clients = 200
	// giveUp bounds how long a client waits for the instance to take its bytes.
	giveUp = 5 * time.Second
	// short is by how much a body stops before its end.
	short = 100
	// rounds is how often a client that is refused or cut off sends again.
	rounds = 3
	// settle is how long the crowd then holds still, so that the instance has read what the
	// kernel still had.
	settle = 2 * time.Second
)

// crowd is a number of clients that keep their connections open.
type crowd struct {
	instance *instance
	// address is the port, the one for clients if empty.
	address string
	mu      sync.Mutex
	conns   []net.Conn
	clients sync.WaitGroup
}

// gather starts the clients and waits until all have sent what they send.
func (c *crowd) gather(send func(i int, w io.Writer) error) {
	for i := range clients {
		c.clients.Go(func() { c.runClient(i, send) })
	}
	c.clients.Wait()
	time.Sleep(settle)
}

// runClient sends the bytes of one client. A connection that the instance refuses or closes
// is allowed; the client then opens a further one. It keeps the first one that takes all bytes.
func (c *crowd) runClient(i int, send func(i int, w io.Writer) error) {
	for range rounds {
		conn, err := net.DialTimeout("tcp", cmp.Or(c.address, c.instance.front), giveUp)
		if err != nil {
			continue
		}
		c.mu.Lock()
		c.conns = append(c.conns, conn)
		c.mu.Unlock()
		_ = conn.SetDeadline(time.Now().Add(giveUp))
		if send(i, conn) == nil {
			return
		}
	}
}

// leave closes all connections.
func (c *crowd) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

func writeHead(w io.Writer, i int, framing string) error {
	_, err := fmt.Fprintf(w, "POST /form/1 HTTP/1.1\r\nHost: h\r\nPrimrosehook-Request-Id: crowd-%d\r\n%s\r\n\r\n", i, framing)
	return err
}

// writePieces writes a number of bytes in pieces of a size.
func writePieces(w io.Writer, size, piece int) error {
	data := strings.Repeat("x", piece)
	for size > 0 {
		n, err := io.WriteString(w, data[:min(piece, size)])
		if err != nil {
			return err
		}
		size -= n
	}
	return nil
}

// writeChunks writes a number of bytes in chunks of a size, without the last chunk.
func writeChunks(w io.Writer, size, chunk int) error {
	one := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
	// Small chunks are written many at a time.
	together := max(1, 16<<10/chunk)
	for ; size > 0; size -= together * chunk {
		if _, err := io.WriteString(w, strings.Repeat(one, min(together, max(size/chunk, 1)))); err != nil {
			return err
		}
	}
	return nil
}

// sendLegal sends a body of legal size, whole or in pieces. One in eight is complete, the
// others stop just short of their end.
func sendLegal(i int, w io.Writer) error {
	if err := writeHead(w, i, fmt.Sprint("Content-Length: ", maxBody)); err != nil {
		return err
	}
	size, piece := maxBody-short, maxBody
	if i%8 == 0 {
		size = maxBody
	}
	if i%2 == 1 {
		piece = 16 << 10
	}
	return writePieces(w, size, piece)
}

// sendChunked sends a chunked body of legal size, in large or in very small chunks.
func sendChunked(i int, w io.Writer) error {
	if err := writeHead(w, i, "Transfer-Encoding: chunked"); err != nil {
		return err
	}
	chunk := 64 << 10
	if i%2 == 1 {
		chunk = 16
	}
	if err := writeChunks(w, maxBody-chunk, chunk); err != nil || i%8 != 0 {
		return err
	}
	_, err := io.WriteString(w, "0\r\n\r\n")
	return err
}

// sendEndlessHead sends most of a head as large as is allowed.
func sendEndlessHead(_ int, w io.Writer) error {
	if _, err := io.WriteString(w, "POST /form/1 HTTP/1.1\r\nHost: h\r\n"); err != nil {
		return err
	}
	for range 60 {
		if _, err := fmt.Fprintf(w, "X-More: %s\r\n", strings.Repeat("x", 1000)); err != nil {
			return err
		}
	}
	return nil
}

// sendPipelined sends small requests and then one that stops short of its end, with a trailer
// announced and extensions of its chunks.
func sendPipelined(i int, w io.Writer) error {
	for range 4 {
		if err := writeHead(w, i, "Content-Length: 1000"); err != nil {
			return err
		}
		if err := writePieces(w, 1000, 1000); err != nil {
			return err
		}
	}
	if err := writeHead(w, i, "Transfer-Encoding: chunked\r\nTrailer: X-T"); err != nil {
		return err
	}
	_, err := io.WriteString(w, strings.Repeat("400;e=\"x\"\r\n"+strings.Repeat("x", 1024)+"\r\n", maxBody>>11)+"0\r\nX-T: ")
	return err
}

// sendOversized sends a body far over the limit, declared in advance or just sent.
func sendOversized(i int, w io.Writer) error {
	if i%2 == 0 {
		if err := writeHead(w, i, fmt.Sprint("Content-Length: ", 64*maxBody)); err != nil {
			return err
		}
		return writePieces(w, 8*maxBody, 64<<10)
	}
	if err := writeHead(w, i, "Transfer-Encoding: chunked"); err != nil {
		return err
	}
	return writeChunks(w, 8*maxBody, 64<<10)
}

var _ = Describe("An instance whose clients are not controlled", Ordered, ContinueOnFailure, func() {
	var program string
	BeforeAll(func() { program = buildProgram(GinkgoT().TempDir()) })

	// Guards against a process that clients take over its memory, or whose slots they hold so
	// that others get no answer.
	DescribeTable("lives within its limits and serves others",
		func(send func(i int, w io.Writer) error) {
			c := &crowd{instance: startInstance(program, GinkgoT().TempDir(), memoryMB)}
			AddReportEntry("before", fmt.Sprintf("%.0f MiB", c.instance.memory("VmHWM")))
			defer c.leave()
			c.gather(send)
			c.instance.expectWithinLimits()
			c.instance.expectServed("small", 100)
			c.leave()
			c.instance.expectServed("large", maxBody)
			c.instance.expectWithinLimits()
		},
		Entry("many large bodies that stop short of their end", sendLegal),
		Entry("many chunked bodies that stop short of their end", sendChunked),
		Entry("bodies far over the limit", sendOversized),
		Entry("heads that never end", sendEndlessHead),
		Entry("requests one after the other without waiting, the last one short of its end", sendPipelined),
	)

	// Guards against a port whose connections are all taken by clients that send nothing.
	It("serves others beside many idle connections to each port", func() {
		n := startInstance(program, GinkgoT().TempDir(), memoryMB)
		for _, address := range []string{n.front, n.ready, n.control} {
			c := &crowd{instance: n, address: address}
			defer c.leave()
			c.gather(func(int, io.Writer) error { return nil })
		}
		n.expectWithinLimits()
		n.expectServed("small", 100)
		n.expectReady()
	})

	// Guards against messages to the peers' port that stop short of their end.
	It("lives within its limits beside many messages that stop short", func() {
		n := startInstance(program, GinkgoT().TempDir(), memoryMB)
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

	// Guards against a full port that closes connections whose request was passed on.
	It("cuts no request in progress for many new connections", func() {
		n := startInstance(program, GinkgoT().TempDir(), memoryMB)
		n.engine.WorkTime = 3 * time.Second
		codes := make(chan int, 20)
		for i := range cap(codes) {
			go func() { codes <- n.send(fmt.Sprint("busy-", i), 100) }()
		}
		time.Sleep(500 * time.Millisecond)
		c := &crowd{instance: n}
		defer c.leave()
		c.gather(func(int, io.Writer) error { return nil })
		for range cap(codes) {
			Eventually(codes, "20s").Should(Receive(Equal(http.StatusOK)))
		}
	})

	// Guards against a budget that refuses what the configuration allows: the smallest instance,
	// the largest body that the platform's sites allow, a server that takes its time.
	It("serves a single body of 4 MiB to a slow server with 144 MB", func() {
		n := startInstance(program, GinkgoT().TempDir(), 144)
		n.engine.WorkTime = 2 * time.Second
		Expect(n.send("single", 4<<20)).To(Equal(http.StatusOK))
	})
})
