package entryassembler

import "net/http"

// front handles clients' requests. While the instance stops, each answer has
// the header Connection: close; idle connections stay open, since a request may
// already be on its way on them, and so do those without a request so far.
func (e *Entry) front(w http.ResponseWriter, q *http.Request) {
	if e.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	e.relayer.ServeHTTP(w, q)
}
