package coordinator

import (
	"context"

	"primrosehook/registrar"
	"primrosehook/stocker"
)

// Outcome is what a server says to an order.
type Outcome int

// The outcomes of an order.
const (
	// Unknown orders may be carried out, now or later.
	Unknown Outcome = iota
	// Accepted orders are being carried out.
	Accepted
	// Holds means that what was ordered is so already.
	Holds
	// Conflict means that another order is under way or that the server has
	// accepted other orders than expected.
	Conflict
	// Rejected orders can't be carried out there.
	Rejected
	// Unsent orders never reached the server.
	Unsent
)

// Order is what is sent to a server.
type Order struct {
	stocker.Order
	// Expected is the server's count of orders before this one.
	Expected int64
	Holder   string
	Fence    int64
}

// Engines sends orders to servers.
type Engines interface {
	// Send sends an order once. Guard is asked right before it is written;
	// if it says no, nothing is written and the outcome is Rejected.
	Send(ctx context.Context, s registrar.Server, o Order, guard func() bool) (Outcome, error)
	// Report asks a server what it holds.
	Report(ctx context.Context, s registrar.Server) (Stock, error)
}

// Stock is what a server says of itself, as of some hundred milliseconds ago.
type Stock struct {
	// Orders counts the orders that it has accepted; Busy is set while one is
	// under way.
	Orders   int64
	Busy     bool
	Holdings []registrar.Holding
}
