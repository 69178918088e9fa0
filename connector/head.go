package connector

import (
	"bytes"
	"errors"
	"io"
)

const (
	// byteWeight and lineWeight are how many bytes a byte and a line of a head take once it is parsed: a
	// head of 64 KiB whose fields have names of a few bytes takes over a megabyte.
	byteWeight, lineWeight = 3, 192
	// freeHeadWeight is what a head may weigh without being charged: some 5 KB, or 80 fields.
	freeHeadWeight = 16 << 10
)

var errHeadMemory = errors.New("no memory for the head of the answer")

// headWeigher charges what is read of a connection while a head is awaited.
type headWeigher struct {
	source io.Reader
	// awaiting is set while a head is awaited.
	awaiting bool
	// grow charges what the heads that are read for a request weigh beyond what is charged already, nil
	// for nothing.
	grow            func(int64) bool
	weight, charged int64
}

// begin begins to weigh the heads that are read for a request.
func (w *headWeigher) begin(grow func(int64) bool) {
	w.grow, w.weight, w.charged = grow, 0, freeHeadWeight
}

// Read implements io.Reader.
func (w *headWeigher) Read(p []byte) (int, error) {
	n, err := w.source.Read(p)
	if !w.awaiting || w.grow == nil {
		return n, err
	}
	w.weight += int64(n)*byteWeight + int64(bytes.Count(p[:n], []byte("\n")))*lineWeight
	for w.weight > w.charged {
		if !w.grow(w.charged) {
			return 0, errHeadMemory
		}
		w.charged *= 2
	}
	return n, err
}
