package coordinator

import (
	"context"
	"errors"
	"time"

	"primrosehook/allotter"
)

// Entry is one record of the lease. Each is appended on the condition that it
// follows the last entry that its writer has read, so every entry in the log is
// valid.
type Entry struct {
	Instance string `msgpack:"i"`
	// Machine shows whether a successor runs on the machine of the holder.
	Machine string `msgpack:"m"`
	Address string `msgpack:"a"`
	// Era is the era of the log that the writer knew. In another one the entry's
	// condition held by chance, and it counts for nothing.
	Era int64 `msgpack:"e"`
	// Fence is the fencing token; zero means the entry's own offset plus one.
	Fence   int64 `msgpack:"f"`
	Release bool  `msgpack:"r"`
	// Clear is set by a holder that was free to send orders: all earlier holders have sent
	// none for long enough. Builds before UPGRADES.md set it and read it on releases only.
	Clear bool `msgpack:"c"`
	// Entitled are the instances that have a part of the caps of client accounts, nil for none.
	Entitled *allotter.Entitled `msgpack:"n,omitempty"`
	// Late are the holder's orders that may still be executed, nil in entries of builds before
	// formats 4.
	Late *LateOrders `msgpack:"lo,omitempty"`
}

// LogRecord is one record of the lease's log.
type LogRecord struct {
	Offset int64
	Value  []byte
}

// ErrOffsetMismatch is returned by an append whose condition does not hold.
var ErrOffsetMismatch = errors.New("the log ends at another offset")

// Log stores the entries of the lease.
type Log interface {
	// Read returns the records from an offset on, or the oldest that are left
	// if those were deleted, and where to read on.
	Read(ctx context.Context, from int64, wait time.Duration) ([]LogRecord, int64, error)
	// Append adds a record if the log ends at an offset. After an error other
	// than ErrOffsetMismatch the record may be in the log, now or later.
	Append(ctx context.Context, value []byte, at int64) error
}
