// Package driver is the adapter to model engines. docs/PROTOCOLS.md describes
// the HTTP form.
package driver

import (
	"context"
	"time"
)

// The operations of an order.
const (
	OpLoad   = "load"
	OpUnload = "unload"
	OpRole   = "role"
	// OpFence changes nothing but the least fencing token that a fencing engine
	// accepts, so that every older order is refused from then on.
	OpFence = "fence"
)

// The states of a model or adapter in the memory of an engine.
const (
	StateLoading   = "loading"
	StateReady     = "ready"
	StateUnloading = "unloading"
)

// The outcomes of an order, as an engine reports them.
const (
	OutcomeRunning = "running"
	OutcomeDone    = "done"
	OutcomeFailed  = "failed"
	OutcomeRefused = "refused"
)

// The roles of an engine.
const (
	RoleMixed   = "mixed"
	RolePrefill = "prefill"
	RoleDecode  = "decode"
)

// Weights identifies what an engine loads: a model, or an adapter on a model.
type Weights struct {
	Model   string `json:"model" msgpack:"m"`
	Adapter string `json:"adapter,omitempty" msgpack:"a,omitempty"`
	Version string `json:"version,omitempty" msgpack:"v,omitempty"`
}

// LoadedWeights is one model or adapter in an engine's memory.
type LoadedWeights struct {
	Weights
	State string `json:"state" msgpack:"s"`
	// MemoryMB is the size of the weights in memory.
	MemoryMB int64 `json:"memory" msgpack:"mb"`
}

// OrderOutcome is the outcome of an order that reached an engine, as the engine
// reports it.
type OrderOutcome struct {
	ID      string `json:"id" msgpack:"i"`
	Outcome string `json:"outcome" msgpack:"o"`
}

// Load is the short report that an engine includes in every answer.
type Load struct {
	// Running is the number of requests in the batch, Waiting the number of
	// those not in it yet.
	Running int `json:"running" msgpack:"r"`
	Waiting int `json:"waiting" msgpack:"w"`
	// UsedMB is the memory in use.
	UsedMB int64 `json:"used" msgpack:"u"`
}

// Report is an engine's full report. It may be out of date, see Age.
type Report struct {
	Engine string `json:"engine" msgpack:"e"`
	// Incarnation changes with every start of the engine.
	Incarnation string `json:"boot" msgpack:"b"`
	// Age is the age of the reported values according to the engine.
	Age time.Duration `json:"age" msgpack:"g"`
	Load
	Role string `json:"role" msgpack:"ro"`
	// TotalMB is the accelerator memory; ReserveMB is the part of it that
	// in-flight requests may use.
	TotalMB   int64 `json:"total" msgpack:"t"`
	ReserveMB int64 `json:"reserve" msgpack:"rs"`
	// MaxBatch is the number of requests that run at once.
	MaxBatch int             `json:"batch" msgpack:"bt"`
	Loaded   []LoadedWeights `json:"residents" msgpack:"res"`
	// Orders are the newest orders that reached the engine.
	Orders []OrderOutcome `json:"orders" msgpack:"ord"`
	// Fence is the highest fencing token that the engine has seen.
	Fence int64 `json:"fence" msgpack:"f"`
}

// Order is an instruction to change what an engine has loaded, its role or its
// fencing token.
type Order struct {
	// ID is unique; an engine runs an ID at most once as long as it remembers it.
	ID string `json:"id" msgpack:"i"`
	// Fence is the fencing token of the lease holder that sends the order.
	Fence int64  `json:"fence" msgpack:"f"`
	Op    string `json:"op" msgpack:"o"`
	Weights
	Role string `json:"role,omitempty" msgpack:"r,omitempty"`
	// MemoryMB is the size of the weights in memory.
	MemoryMB int64 `json:"memory,omitempty" msgpack:"mb,omitempty"`
}

// Request is one generation.
type Request struct {
	// ID is unique and chosen by the entry instance.
	ID string `json:"id"`
	Weights
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	// Priority is higher for requests that run first.
	Priority int `json:"priority"`
	// Seed makes the answer deterministic; with zero it need not be.
	Seed int64 `json:"seed,omitempty"`
	// SkipTokens is the number of tokens to skip at the start of a deterministic
	// answer.
	SkipTokens int `json:"from,omitempty"`
}

// Token is one token of an answer. The last one has Finish set.
type Token struct {
	// Offset numbers the tokens of an answer from 0.
	Offset int    `json:"offset"`
	Text   string `json:"text,omitempty"`
	// Finish is "stop" or "length".
	Finish string `json:"finish,omitempty"`
	// PromptTokens is the number of tokens in the prompt, on the last token.
	PromptTokens int `json:"prompt,omitempty"`
	// Load is set on the last token.
	Load *Load `json:"load,omitempty"`
}

// CacheEvent reports that an engine gained or, with Evicted, lost a cached prefix.
// Events arrive late and some are missing.
type CacheEvent struct {
	Seq int64 `json:"seq"`
	// Prefix is the hash of a prompt's prefix, see Prefixes.
	Prefix  uint64 `json:"prefix"`
	Model   string `json:"model"`
	Evicted bool   `json:"gone,omitempty"`
}

// Stream is the answer to a request that is being generated.
type Stream interface {
	// Next returns the next token, or io.EOF after the last one.
	Next() (Token, error)
	// Ready reports whether the next token has already arrived, so that Next
	// returns without waiting.
	Ready() bool
	// Close closes the stream and cancels the generation unless it is finished.
	// The generation behind a stream that was cut continues, so that it can be
	// resumed, unless the context of the call has ended.
	Close() error
}

// Engine is the interface to one engine.
type Engine interface {
	Generate(ctx context.Context, request Request) (Stream, error)
	// Resume returns the rest of the answer to a request from a token offset
	// on.
	Resume(ctx context.Context, id string, from int) (Stream, error)
	Cancel(ctx context.Context, id string) error
	Order(ctx context.Context, order Order) error
	Report(ctx context.Context) (Report, error)
	// Events returns the cache events after a sequence number.
	Events(ctx context.Context, after int64) ([]CacheEvent, error)
	// Export returns the KV cache of a prefix; Import loads it into the engine.
	Export(ctx context.Context, model string, prefix uint64) ([]byte, error)
	Import(ctx context.Context, model string, prefix uint64, data []byte) error
}
