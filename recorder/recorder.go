// Package recorder is the adapter to the platform's log service.
//
// The log is append-only and numbers its records. It keeps them for a limited
// time, accepts a limited number of appends per second and has outages. It is
// the only means by which instances reach agreement. docs/PROTOCOLS.md
// describes the HTTP form.
package recorder

import (
	"context"
	"time"
)

// Record is one record of a stream.
type Record struct {
	// Offset is the record's position in its stream. Offsets start at 0 and
	// have no gaps; retention drops the oldest records.
	Offset int64 `json:"offset"`
	// Data is the payload as it was appended.
	Data []byte `json:"data"`
}

// Batch is the result of a read.
type Batch struct {
	// First is the oldest offset that the log still keeps.
	First int64 `json:"first"`
	// Next is the offset that the next append will get.
	Next int64 `json:"next"`
	// Records are consecutive and start at the requested offset, or at First if
	// retention has dropped that one.
	Records []Record `json:"records"`
}

// Log is the interface to the log service.
type Log interface {
	// Append appends a record and returns its offset. The judge.Verdict of an
	// error says whether the record may be in the log nevertheless.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns at most limit records from an offset on. If there are none
	// yet, it waits up to the given time for one.
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Batch, error)
}
