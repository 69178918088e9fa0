package connector_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/jonboulle/clockwork"

	"primrosehook/connector"
)

// cannedConn is a connection that answers each write with the same bytes.
type cannedConn struct {
	net.Conn
	answer string
	left   string
}

func (c *cannedConn) Dial(context.Context, string) (net.Conn, error) { return c, nil }

func (c *cannedConn) Write(p []byte) (int, error) {
	c.left = c.answer
	return len(p), nil
}

func (c *cannedConn) Read(p []byte) (int, error) {
	n := copy(p, c.left)
	c.left = c.left[n:]
	return n, nil
}

func (c *cannedConn) Close() error { return nil }

// Quiet has the connection reused.
func (c *cannedConn) Quiet() bool { return true }

// BenchmarkExchange measures a request and its answer with ten fields, without a network.
func BenchmarkExchange(b *testing.B) {
	c := &cannedConn{answer: "HTTP/1.1 200 OK\r\nDate: Mon, 07 Dec 2026 06:00:00 GMT\r\nServer: engine/1.2\r\n" +
		"Content-Type: application/json\r\nX-Request-Id: 4c8d2f6e-0a8e-4b55-9b0d-6a4f5a8e3c21\r\n" +
		"X-Signature: 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08\r\nX-Load: 3,0,8,100\r\n" +
		"Cache-Control: no-store\r\nKeep-Alive: timeout=5\r\nVary: Accept\r\nContent-Length: 2\r\n\r\n{}"}
	p := connector.NewPool("a", clockwork.NewRealClock(), &connector.DialCounter{}, connector.WithDialer(c))
	q := connector.Request{Method: http.MethodGet, Target: "/", Host: "h"}
	b.ReportAllocs()
	for b.Loop() {
		a, err := p.Do(context.Background(), q, func(http.Header, bool) bool { return true })
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, a.Body)
		a.Close(true)
	}
}
