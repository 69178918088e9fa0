package coordinator

import (
	"context"

	"primrosehook/registrar"
	"primrosehook/serviceplanner"
)

// Outcome is the result of one attempt to send an order.
type Outcome int

// The outcomes of an order.
const (
	// Unknown orders may be executed, now or later.
	Unknown Outcome = iota
	// Accepted orders are being executed.
	Accepted
	// AlreadyApplied means that the order had already taken effect.
	AlreadyApplied
	// Conflict means that another order is under way or that the server has
	// accepted other orders than expected.
	Conflict
	// Rejected orders can't be executed on this server.
	Rejected
	// NotSent orders never reached the server.
	NotSent
)

// Order is an order as it is sent to a server.
type Order struct {
	serviceplanner.Order
	// ExpectedOrders is the number of orders that the server must have accepted
	// before this one.
	ExpectedOrders int64
	Holder         string
	Fence          int64
}

// OrderSender sends orders to servers.
type OrderSender interface {
	// Send sends an order once. It calls guard right before writing the order;
	// if guard returns false, nothing is written and the outcome is Rejected.
	Send(ctx context.Context, s registrar.Server, o Order, guard func() bool) (Outcome, error)
	// Report asks a server for its state.
	Report(ctx context.Context, s registrar.Server) (ServerReport, error)
}

// ServerReport is a server's report of its own state, some hundred milliseconds
// old.
type ServerReport struct {
	// Orders is how many orders the server has accepted; Busy is set while one
	// is under way.
	Orders int64
	Busy   bool
	Loaded []registrar.LoadedModel
	// Cached are the models that the server can load without the weight store.
	Cached []string
}
