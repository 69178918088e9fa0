// Package reuser estimates which parts of prompts the servers hold in their KV caches, so that they
// need no prefill again. Cache is what one server holds, as seen by the owner of its schedule
// (package pacer). Estimator is what an instance expects of servers whose owners it asks now and
// then. Neither does I/O, and neither is safe for concurrent use.
package reuser

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// MaxParts bounds the parts of a prompt that are kept and sent; the rest is merged into the last.
const MaxParts = 16

// Part is a part of a prompt.
type Part struct {
	// Hash is 4 bytes long, since each reservation carries it: among 1,000 parts of a server, a
	// part is mistaken for another one once in four million look-ups.
	Hash   uint32
	Tokens int
}

// Prompt is a prompt in parts, for a model and, unless Adapter is zero, an adapter.
type Prompt struct {
	Model, Adapter uint32
	Parts          []Part
}

// NewPrompt returns a prompt without parts.
func NewPrompt(model, adapter string) *Prompt {
	return &Prompt{Model: hash(model), Adapter: hash(adapter)}
}

// Add appends a part.
func (p *Prompt) Add(id string, tokens int) {
	part := Part{Hash: hash(id), Tokens: min(max(tokens, 0), maxTokens)}
	if len(p.Parts) < MaxParts {
		p.Parts = append(p.Parts, part)
		return
	}
	last := &p.Parts[MaxParts-1]
	last.Hash, last.Tokens = uint32(next(uint64(last.Hash), part.Hash)), min(last.Tokens+part.Tokens, maxTokens)
}

// Tokens returns the number of tokens of all parts.
func (p *Prompt) Tokens() int {
	sum := 0
	for _, part := range p.Parts {
		sum += max(part.Tokens, 0)
	}
	return sum
}

// root is the hash from which the chain of the parts begins.
func (p *Prompt) root() uint64 { return uint64(p.Model)<<32 | uint64(p.Adapter) }

// next returns the hash of a chain of parts that goes on with another part.
func next(chain uint64, part uint32) uint64 {
	var b [12]byte
	binary.LittleEndian.PutUint64(b[:], chain)
	binary.LittleEndian.PutUint32(b[8:], part)
	return xxhash.Sum64(b[:])
}

// hash returns a hash of the text that is the same on all instances, zero for no text only.
func hash(text string) uint32 {
	if text == "" {
		return 0
	}
	return max(uint32(xxhash.Sum64String(text)), 1)
}
