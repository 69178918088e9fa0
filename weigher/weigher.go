// Package weigher decodes JSON of others within bounds. A text of a bounded size may still take many
// times its size once it is decoded: a million empty objects are 3 MB of text, and hundreds of MB as a
// slice of structs. So not only its bytes are bounded, but its values too, and both are charged to a
// memory budget before they are held.
package weigher

import (
	"context"
	"encoding/json"
	"errors"
	"io"

	"primrosehook/reserver"
)

// Limits bound a text.
type Limits struct {
	Bytes int64
	// Values counts objects, lists, and their elements and fields.
	Values int
}

const (
	// byteWeight is what a byte of a text is charged: the decoder doubles its buffer, and holds both
	// meanwhile. valueWeight is what a value is charged: a struct of some strings in a slice that is
	// doubled.
	byteWeight, valueWeight = 3, 256
	// firstCharge is the first step in which a text is charged, in bytes.
	firstCharge = 16 << 10
)

// Errors of texts that are not decoded.
var (
	ErrTooLarge = errors.New("text is too large")
	ErrTooMany  = errors.New("text has too many values")
	ErrMemory   = errors.New("no memory for the text")
	ErrMore     = errors.New("text has more than one value")
)

// Decode decodes the first JSON value of a text. What it takes is charged to a budget as an answer, in
// turn, until Decode returns; nil charges nothing. A text that does not fit until the context ends is
// not decoded.
func Decode(ctx context.Context, text io.Reader, limits Limits, memory *reserver.Reserver, into any) error {
	_, err := decode(ctx, text, limits, memory, into)
	return err
}

// DecodeWhole is Decode for a text that must have no more than one value.
func DecodeWhole(ctx context.Context, text io.Reader, limits Limits, memory *reserver.Reserver, into any) error {
	d, err := decode(ctx, text, limits, memory, into)
	if err != nil {
		return err
	}
	if _, err = d.Token(); err == nil {
		return ErrMore
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

func decode(ctx context.Context, text io.Reader, limits Limits, memory *reserver.Reserver, into any) (*json.Decoder, error) {
	r := &reader{ctx: ctx, text: text, left: limits.Bytes, maxValues: limits.Values}
	if memory != nil {
		r.held, _ = memory.Acquire(reserver.Answer, 0) // nothing always fits
		defer r.held.Release()
	}
	d := json.NewDecoder(r)
	return d, d.Decode(into)
}

// Check returns an error if a text exceeds limits.
func Check(text []byte, limits Limits) error {
	var c counter
	if int64(len(text)) > limits.Bytes {
		return ErrTooLarge
	}
	if c.add(text); c.values > limits.Values {
		return ErrTooMany
	}
	return nil
}

// reader passes a text on as long as it is within its bounds and its memory is reserved.
type reader struct {
	ctx  context.Context
	text io.Reader
	left int64
	counter
	maxValues int
	held      *reserver.Reservation
	// weight is what the text so far weighs, charged what is reserved for it.
	weight, charged int64
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, ErrTooLarge
	}
	n, err := r.text.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	before := r.values
	r.add(p[:n])
	if r.values > r.maxValues {
		return 0, ErrTooMany
	}
	r.weight += int64(n)*byteWeight + int64(r.values-before)*valueWeight
	for r.weight > r.charged {
		more := max(r.charged, firstCharge)
		if !r.held.TryTurn(r.ctx, more, nil) {
			return 0, ErrMemory
		}
		r.charged += more
	}
	return n, err
}

// counter counts the values of a text that may come in parts.
type counter struct {
	values            int
	inString, escaped bool
}

func (c *counter) add(part []byte) {
	for _, b := range part {
		switch {
		case c.escaped:
			c.escaped = false
		case c.inString:
			c.escaped, c.inString = b == '\\', b != '"'
		case b == '"':
			c.inString = true
		case b == '{' || b == '[' || b == ',' || b == ':':
			c.values++
		}
	}
}
