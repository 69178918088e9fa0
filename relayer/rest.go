package relayer

import (
	"net/http"
	"time"

	"go.uber.org/zap"
)

const (
	// discardTime bounds for how long the rest of a body that is refused is read, so that a client that
	// sends all of it before it reads finds the refusal instead of a reset: 4 MiB take 2.7 s at 12 Mbit/s.
	discardTime = 3 * time.Second
	// discardBytes bounds how much of it is read: the largest body that the sites allow.
	discardBytes = 4 << 20
	// serverDiscards is how much of a body net/http reads itself, on connections that it keeps.
	serverDiscards = 256 << 10
)

// closeUnread has the connection closed after the answer to a request whose body is not read, and the
// rest of the body discarded.
func (x *exchange) closeUnread() {
	x.writer.Header().Set("Connection", "close")
	x.unread = true
}

// discardRest sends the answer of closeUnread, and reads the rest of the body into a small buffer until
// it ends, the client pauses for maxRestTime or a bound is reached. Without it the connection would be
// closed with unread bytes, and reset.
func (x *exchange) discardRest() {
	if !x.unread {
		return
	}
	control := http.NewResponseController(x.writer)
	if err := control.Flush(); err != nil {
		x.log.Debug("relay: refusal was not delivered", zap.Error(err))
		return
	}
	// A client that waits for a 100 sends no body once it has another answer.
	expects := x.request.Header.Get("Expect") != ""
	var buffer [firstBodyBytes]byte
	end := x.clock.Now().Add(discardTime)
	for total := 0; total < discardBytes && !expects && !x.draining.Load(); {
		now := x.clock.Now()
		if !now.Before(end) {
			return
		}
		if err := control.SetReadDeadline(now.Add(min(maxRestTime, end.Sub(now)))); err != nil {
			x.log.Debug("relay: connection has no deadlines", zap.Error(err))
			return
		}
		n, err := x.request.Body.Read(buffer[:])
		total += n
		if err != nil {
			return
		}
	}
}
