package entryassembler

import "net/http"

// front handles clients' requests. While the instance stops, each answer has
// the header Connection: close; idle connections stay open, since a request may
// already be on its way on them, and so do those without a request so far.
func (e *Entry) front(w http.ResponseWriter, q *http.Request) {
<<<<<<< HEAD
=======
	// A full gate closes connections, and so does the end of the grace period, possibly while a
	// request is read. The answer could not be delivered.
	if c, ok := peeker.Client(q.Context()); ok {
		if client := c.(*clientConn); !client.gate.begin(client) {
			panic(http.ErrAbortHandler)
		}
	}
>>>>>>> 05307f5 (Entry instance: correct a comment on closed connections)
	if e.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	e.relayer.ServeHTTP(w, q)
}
