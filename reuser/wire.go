package reuser

import (
	"encoding/binary"
	"errors"
)

// errMalformed means that the encoding of a prompt is not one of MarshalBinary.
var errMalformed = errors.New("malformed prompt")

// hashSize is the length of a hash on the wire, in bytes.
const hashSize = 4

// MarshalBinary implements encoding.BinaryMarshaler: the hashes of the model and of the adapter, and
// for each part its hash and its tokens as a varint. Each reservation carries a prompt, so
// three parts take 26 bytes at most if none has more than 16,383 tokens.
func (p *Prompt) MarshalBinary() ([]byte, error) {
	out := binary.LittleEndian.AppendUint32(make([]byte, 0, 2*hashSize+len(p.Parts)*(hashSize+2)), p.Model)
	out = binary.LittleEndian.AppendUint32(out, p.Adapter)
	for _, part := range p.Parts {
		out = binary.AppendUvarint(binary.LittleEndian.AppendUint32(out, part.Hash), uint64(max(part.Tokens, 0)))
	}
	return out, nil
}

// maxTokens bounds the tokens of a part, so that their sum does not overflow.
const maxTokens = 1 << 30

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (p *Prompt) UnmarshalBinary(in []byte) error {
	if len(in) < 2*hashSize {
		return errMalformed
	}
	*p = Prompt{Model: binary.LittleEndian.Uint32(in), Adapter: binary.LittleEndian.Uint32(in[hashSize:])}
	for in = in[2*hashSize:]; len(in) > 0; {
		if len(in) <= hashSize || len(p.Parts) == MaxParts {
			return errMalformed
		}
		tokens, n := binary.Uvarint(in[hashSize:])
		if n <= 0 || tokens > maxTokens {
			return errMalformed
		}
		p.Parts = append(p.Parts, Part{Hash: binary.LittleEndian.Uint32(in), Tokens: int(tokens)})
		in = in[hashSize+n:]
	}
	return nil
}
